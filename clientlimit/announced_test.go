package clientlimit_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/clientlimit"
)

// TestClientThatAnnouncesTooMuchReadsTheRefusal guards against a connection that is reset while the
// client still sends its body, so that it gets no response.
func TestClientThatAnnouncesTooMuchReadsTheRefusal(t *testing.T) {
	const limit, tries = 1000, 300
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if _, err := clientlimit.ReadBody(rw, rq, clientlimit.BodyOptions{Limit: limit}); err != nil {
			rw.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}))
	defer server.Close()
	transport := &http.Transport{DisableKeepAlives: true}
	for range tries {
		rq, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", 100*limit)))
		require.NoError(t, err)
		response, err := transport.RoundTrip(rq)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
		require.True(t, response.Close)
	}
}
