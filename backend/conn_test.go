package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
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

// TestResetThatHasUnreadSeesIsNoEnd guards against a reset of which the reader of a body doesn't
// hear because the host has asked meanwhile whether there is anything to read.
func TestResetThatHasUnreadSeesIsNoEnd(t *testing.T) {
	server, stop, err := fakeserver.New(func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginUnframed(rq)
		co.Printf("part")
		time.Sleep(20 * time.Millisecond) // a reset drops what the host hasn't read
		co.Reset()
		return false
	})
	require.NoError(t, err)
	t.Cleanup(stop)
	pool, closePool := backend.New()
	t.Cleanup(closePool)
	co, err := pool.Get(t.Context(), server.Address(), 0)
	require.NoError(t, err)
	rq, err := http.NewRequest(http.MethodGet, "http://server/", nil)
	require.NoError(t, err)
	ex, err := co.Send(t.Context(), pool, rq, nil, func(*http.Response) bool { return true })
	require.NoError(t, err)
	defer ex.Abort()
	_, err = io.ReadFull(ex.Response.Body, make([]byte, len("part")))
	require.NoError(t, err)
	for range 10 {
		require.False(t, co.HasUnread())
		time.Sleep(10 * time.Millisecond)
	}
	_, err = io.ReadAll(ex.Response.Body)
	require.True(t, backend.IsBrokenOff(err), "%v", err)
}
