package keptconn_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/http1"
	"github.com/mangopaddle/mangopaddle/keptconn"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// TestBodyOfMalformedResponseIsClosed guards against a body that nobody closes, for which
// http.Transport keeps a goroutine.
func TestBodyOfMalformedResponseIsClosed(t *testing.T) {
	server, stop, err := fakeserver.New(func(co *fakeserver.Conn, _ fakeserver.Request) bool {
		co.Printf("HTTP/1.1 200 OK\r\nX Filler: 1\r\nContent-Length: 4\r\n\r\nodd.")
		return true
	})
	require.NoError(t, err)
	t.Cleanup(stop)
	transport := &http.Transport{DialContext: keptconn.Dial(&net.Dialer{})}
	t.Cleanup(transport.CloseIdleConnections)
	for number := 1; number <= 2; number++ {
		ctx, use := keptconn.Trace(t.Context(), "id")
		rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address(), nil)
		require.NoError(t, err)
		response, err := transport.RoundTrip(rq)
		require.NoError(t, err)
		require.ErrorIs(t, use.Check(response), http1.ErrMalformed)
		_, err = io.ReadAll(response.Body)
		require.ErrorContains(t, err, "closed response body")
		require.Equal(t, number, server.Requests()[number-1].ConnectionNumber, "the connection is not used again")
	}
}
