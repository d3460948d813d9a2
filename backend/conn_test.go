package backend_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/backend"
)

// TestUnreadBytesShowThatTheHostIsLate guards against a sound server that counts as silent
// because the host has not read its bytes yet.
func TestUnreadBytesShowThatTheHostIsLate(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	pool, closePool := backend.New()
	defer closePool()
	co, err := pool.Get(context.Background(), listener.Addr().String(), 0)
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()

	require.False(t, co.HasUnread())
	_, err = server.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	require.Eventually(t, co.HasUnread, 20*time.Second, time.Millisecond)

	rq, err := http.NewRequest(http.MethodGet, "http://server/", nil)
	require.NoError(t, err)
	ex, err := co.Send(context.Background(), pool, rq, nil, func(*http.Response) bool { return true })
	require.NoError(t, err)
	defer ex.Abort()
	require.False(t, co.HasUnread(), "the response was read")
	co.Interrupt()
	require.False(t, co.HasUnread())
}
