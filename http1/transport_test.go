package http1_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/http1"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// roundTrip sends a request to a server that answers with raw bytes. It returns the status
// and the body of the response.
func roundTrip(t *testing.T, raw string) (int, string, error) {
	t.Helper()
	server, stop, err := fakeserver.New(func(co *fakeserver.Conn, _ fakeserver.Request) bool {
		co.Printf("%s", raw)
		return false
	})
	require.NoError(t, err)
	t.Cleanup(stop)
	tr := http1.Transport{Transport: &http.Transport{}}
	t.Cleanup(tr.CloseIdleConnections)
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address(), nil)
	require.NoError(t, err)
	response, err := tr.RoundTrip(rq)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// TestSoundResponsesPass guards against sound responses that are refused, with interim ones
// before them, in each framing.
func TestSoundResponsesPass(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n",
		"neither": "HTTP/1.1 200 OK\r\n\r\nsound",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound",
	} {
		status, body, err := roundTrip(t, raw)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusOK, status, name)
		require.Equal(t, "sound", body, name)
	}
	status, _, err := roundTrip(t, "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, 599, status)
}

func TestInvalidFieldNameIsRefused(t *testing.T) {
	for _, name := range []string{"X Filler", "X-Filler ", "Content-Length ", "Transfer-Encoding "} {
		_, _, err := roundTrip(t, "HTTP/1.1 200 OK\r\n"+name+": 5\r\n\r\nsound")
		require.ErrorIs(t, err, http1.ErrMalformed, name)
	}
}

func TestInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		_, _, err := roundTrip(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
		require.ErrorIs(t, err, http1.ErrMalformed, status)
	}
}
