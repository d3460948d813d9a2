package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/httpserver"
)

// hookedListener calls onRead for what each of its connections has read, before the
// server gets it.
type hookedListener struct {
	net.Listener
	onRead func(data string)
}

func (hl hookedListener) Accept() (net.Conn, error) {
	conn, err := hl.Listener.Accept()
	return &hookedConn{Conn: conn, onRead: hl.onRead}, err
}

type hookedConn struct {
	net.Conn
	onRead func(data string)
}

func (hc *hookedConn) Read(data []byte) (int, error) {
	count, err := hc.Conn.Read(data)
	if count > 1 { // the first byte may be read in the background
		hc.onRead(string(data[:count]))
	}
	return count, err
}

// serveHooked serves "ok" on a loopback address and returns a connection to it.
func serveHooked(t *testing.T, onRead func(se *httpserver.Server, data string)) (*httpserver.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var server atomic.Pointer[httpserver.Server]
	hooked := hookedListener{Listener: listener, onRead: func(data string) { onRead(server.Load(), data) }}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "ok") })
	se, stop := httpserver.New(hooked, handler, func(err error) { t.Error(err) })
	t.Cleanup(stop)
	server.Store(se)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return se, conn
}

// get sends a request and returns its response.
func get(t *testing.T, conn net.Conn, path string) *http.Response {
	t.Helper()
	_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	return response
}

// TestRequestThatIsReadAsADrainBeginsIsAnswered guards against connections that are closed
// under a request which the server has read.
func TestRequestThatIsReadAsADrainBeginsIsAnswered(t *testing.T) {
	drained := make(chan error, 1)
	closing := make(chan struct{})
	_, conn := serveHooked(t, func(se *httpserver.Server, data string) {
		if strings.Contains(data, "/last ") {
			go func() {
				drained <- se.Drain(context.Background(), func() bool {
					select {
					case <-closing:
					default:
						close(closing) // the idle connections have been told to end
					}
					return false
				})
			}()
			<-closing
		}
	})
	require.False(t, get(t, conn, "/first").Close)
	require.True(t, get(t, conn, "/last").Close)
	require.NoError(t, <-drained)
}

// TestDrainEndsIdleConnections guards against a server that waits for callers which keep
// their connections open.
func TestDrainEndsIdleConnections(t *testing.T) {
	se, conn := serveHooked(t, func(*httpserver.Server, string) {})
	get(t, conn, "/first")
	require.NoError(t, se.Drain(context.Background(), func() bool { return false }))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// TestDrainingServerAnswersNewConnectionsWhileBusy guards against callers that are reset
// because a host which still has requests in flight has closed its listener.
func TestDrainingServerAnswersNewConnectionsWhileBusy(t *testing.T) {
	var busy atomic.Bool
	busy.Store(true)
	se, conn := serveHooked(t, func(*httpserver.Server, string) {})
	drained := make(chan error, 1)
	polled := make(chan struct{}, 1)
	go func() {
		drained <- se.Drain(context.Background(), func() bool {
			select {
			case polled <- struct{}{}:
			default:
			}
			return busy.Load()
		})
	}()
	<-polled
	require.True(t, get(t, conn, "/new").Close)
	busy.Store(false)
	select {
	case err := <-drained:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the server does not end")
	}
}
