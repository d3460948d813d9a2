package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// cutAnswers are whole answers by their framing, with a verb for the ID of the request. Each
// may be cut in its header, and the framed ones in their bodies too.
var cutAnswers = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n" + platform.HeaderSignature + ": s\r\nContent-Length: 14\r\n\r\nid: 1\ndata: 1\n",
	"chunks":  "HTTP/1.1 200 OK\r\n" + platform.HeaderSignature + ": s\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n",
	"channel": "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest-Id: %s\r\n" + platform.HeaderSignature + ": s\r\n\r\n",
}

// TestAnswerCutAnywhereIsNoSuccess guards against callers that get an empty or short success
// because a server closed its connection in the header or the body of an answer: at each
// byte, on new and kept connections, at the first attempt and at one that resumes a stream.
func TestAnswerCutAnywhereIsNoSuccess(t *testing.T) {
	for framing, answer := range cutAnswers {
		t.Run(framing, func(t *testing.T) {
			var cutAt atomic.Int64
			handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				switch {
				case strings.HasPrefix(rq.ID, "warm"):
					co.Respond(rq, http.StatusOK, "ok")
					return true
				case strings.HasPrefix(rq.ID, "resume") && rq.Header.Get("Last-Event-ID") == "":
					co.BeginStream(rq)
					co.WriteEvent(1)
					co.Reset()
					return false
				}
				_, _ = io.WriteString(co, fmt.Sprintf(answer, rq.ID)[:cutAt.Load()])
				return false
			}
			fx := newFixture(t, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)}, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)})
			for cut := range len(answer) - 1 {
				cutAt.Store(int64(cut))
				number := fmt.Sprintf("%02d", cut)
				fx.get("warm" + number)
				for ix, path := range []string{nonIdempotentPath, idempotentPath, nonResumablePath, resumablePath} {
					got := fx.post(path, fmt.Sprint("first", number, ix), "")
					require.False(t, got.err == nil && got.status < http.StatusMultipleChoices, "%s cut at byte %d: status %d, body %q", path, cut, got.status, got.body)
				}
				got := fx.post(resumablePath, "resume"+number, "")
				require.Error(t, got.err, "resumed stream cut at byte %d: %q", cut, got.body)
			}
		})
	}
}

// TestCallerThatOnlyStopsSendingGetsNoEmptySuccess guards against a success without a
// signature that net/http sends when a handler returns: the caller has closed its side of
// the connection and reads on.
func TestCallerThatOnlyStopsSendingGetsNoEmptySuccess(t *testing.T) {
	release := make(chan struct{})
	app := startServer(t, func(*fakeserver.Conn, fakeserver.Request) bool {
		<-release
		return false
	})
	t.Cleanup(func() { close(release) })
	fx := newFixture(t, []*fakeserver.Server{app}, []*fakeserver.Server{app})
	for ix, path := range []string{nonIdempotentPath, idempotentPath, resumablePath, "/unknown/"} {
		nc, reader := fx.dialRaw()
		_, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: r-%d\r\nAuthorization: Bearer %s\r\n\r\n", path, host, ix, key)
		require.NoError(t, err)
		require.NoError(t, nc.(*net.TCPConn).CloseWrite())
		answer, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.NotContains(t, string(answer), "200 OK", path)
	}
}

// TestLongBodyThatIsCutIsAskedForAgain guards against bodies that are passed on before they are
// whole although there is room for them: what a server then cuts can't be had elsewhere.
func TestLongBodyThatIsCutIsAskedForAgain(t *testing.T) {
	whole := strings.Repeat("x", 250<<10)
	var cut atomic.Bool
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if cut.CompareAndSwap(false, true) {
			co.Printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", rq.ID, platform.HeaderSignature, len(whole), whole[:len(whole)-1])
			return false
		}
		co.Respond(rq, http.StatusOK, whole)
		return true
	}
	fx := newFixture(t, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)}, nil)
	got := fx.get("r-1")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Len(t, got.body, len(whole))
}

// TestStreamThatEndsInsideAnEventIsNotComplete plays a stream without a length that ends
// with its connection in the middle of an event.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.Printf(streamBegin+"id: 1\ndata: piece 1\n\nid: 2\nda", rq.ID)
		return false
	}
	fx := newFixture(t, nil, []*fakeserver.Server{startServer(t, handler)})
	got := fx.post(nonResumablePath, "r-1", "prompt")
	require.Error(t, got.err, "the stream must not look complete")
	require.NotContains(t, got.body, "id: 2")
}

// TestCutAnswerWithNeitherLengthNorChunksIsNotComplete guards against an answer that ends
// with its connection, is cut, and reaches the caller as a whole one. The second server
// answers in full.
func TestCutAnswerWithNeitherLengthNorChunksIsNotComplete(t *testing.T) {
	const whole = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
	header := func(co *fakeserver.Conn, rq fakeserver.Request) {
		co.Printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: s\r\nConnection: close\r\n\r\n", rq.ID, platform.HeaderSignature)
	}
	for name, cut := range map[string]func(*fakeserver.Conn){
		"before the first event":      func(*fakeserver.Conn) {},
		"inside an event":             func(co *fakeserver.Conn) { co.Printf("id: 1\ndata: o") },
		"reset before an event":       func(co *fakeserver.Conn) { co.Reset() },
		"reset between two events":    func(co *fakeserver.Conn) { co.Printf("id: 1\ndata: one\n\n"); co.Reset() },
		"inside the second event":     func(co *fakeserver.Conn) { co.Printf("id: 1\ndata: one\n\nid: 2") },
		"reset inside a second event": func(co *fakeserver.Conn) { co.Printf("id: 1\ndata: one\n\nid: 2"); co.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				header(co, rq)
				if calls.Add(1) == 1 {
					cut(co)
					return false
				}
				for id := rq.LastEventID() + 1; id <= 2; id++ {
					co.Printf("id: %d\ndata: %s\n\n", id, []string{"one", "two"}[id-1])
				}
				return false
			}
			fx := newFixture(t, nil, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)})
			got := fx.post(resumablePath, "r-1", "prompt")
			require.NoError(t, got.err)
			require.Equal(t, whole, got.body)
			require.Equal(t, int64(2), calls.Load())
		})
	}
	t.Run("reset in a plain answer", func(t *testing.T) {
		handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			header(co, rq)
			co.Printf("half of the")
			co.Reset()
			return false
		}
		fx := newFixture(t, []*fakeserver.Server{startServer(t, handler)}, nil)
		require.NotEqual(t, http.StatusOK, fx.post(nonIdempotentPath, "r-1", "order").status)
	})
}

// TestAnswerThatEndsWithItsConnectionIsRelayed guards against sound answers that are taken
// to be cut because they have neither a length nor chunks.
func TestAnswerThatEndsWithItsConnectionIsRelayed(t *testing.T) {
	for name, body := range map[string]string{"short": "quote 7", "empty": "", "longer than is buffered": strings.Repeat("x", 300<<10)} {
		t.Run(name, func(t *testing.T) {
			handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				co.Printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: s\r\n\r\n%s", rq.ID, platform.HeaderSignature, body)
				return false
			}
			fx := newFixture(t, []*fakeserver.Server{startServer(t, handler)}, nil)
			for _, id := range []string{"r-1", "r-2"} {
				got := fx.post(nonIdempotentPath, id, "order")
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, body, got.body)
			}
		})
	}
}

// TestLongAnswerCutWithItsConnectionIsNotComplete guards against an answer whose beginning
// has been relayed and that looks complete to the caller although its server reset the
// connection.
func TestLongAnswerCutWithItsConnectionIsNotComplete(t *testing.T) {
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.Printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: s\r\n\r\n%s", rq.ID, platform.HeaderSignature, strings.Repeat("x", 300<<10))
		time.Sleep(50 * time.Millisecond) // a reset drops what the host hasn't read
		co.Reset()
		return false
	}
	fx := newFixture(t, []*fakeserver.Server{startServer(t, handler)}, nil)
	got := fx.post(nonIdempotentPath, "r-1", "order")
	require.True(t, got.err != nil || got.status != http.StatusOK)
}
