package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// maxUselessBytes is how much a backend server may send that is of no use to the caller
// until the gateway closes the connection, with room for socket buffers.
const maxUselessBytes = 16 << 20

// writeUntilClosed writes a text again and again until the peer has closed the
// connection, and returns the number of bytes written. It gives up after limit bytes.
func writeUntilClosed(co *fakeserver.Conn, text string, limit int) int {
	block := strings.Repeat(text, 1+(16<<10)/len(text))
	written := 0
	for written < limit {
		count, err := io.WriteString(co, block)
		written += count
		if err != nil {
			break
		}
	}
	return written
}

// TestBytesWithoutEndAreCutOff plays backend servers that send bytes that are no answer
// until the gateway closes the connection. It must do so soon, and the caller must not
// be told that the request did not run.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	heads := map[string]struct{ head, repeated string }{
		"status line": {"", "x"},
		"header": {
			"HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
		},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"body of another answer": {
			"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + platform.HeaderSignature + ": s\r\n\r\n", "bytes without end ",
		},
		"chunks of another answer": {
			"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + platform.HeaderSignature + ": s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n",
		},
		"unsigned body": {"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\n", "bytes without end "},
		"trailer": {
			"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n" + platform.HeaderSignature + ": s\r\nTransfer-Encoding: chunked\r\nTrailer: X-Filler\r\n\r\n0\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
		},
	}
	for name, fault := range heads {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			done := make(chan struct{})
			app := startServer(t, func(co *fakeserver.Conn, _ fakeserver.Request) bool {
				defer close(done)
				co.Printf("%s", fault.head)
				written.Store(int64(writeUntilClosed(co, fault.repeated, 2*maxUselessBytes)))
				return false
			})
			fx := newFixture(t, []*fakeserver.Server{app}, nil)
			got := fx.post(nonIdempotentPath, "r-1", "order")
			if got.err == nil {
				require.Equal(t, http.StatusBadGateway, got.status)
			}
			<-done
			require.Less(t, written.Load(), int64(maxUselessBytes))
		})
	}
}

// TestAnswerWithoutEndIsCutOff plays a signed answer whose body never ends. The caller
// gets an answer that doesn't look complete.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	const sent = 200 << 20
	var written atomic.Int64
	done := make(chan struct{})
	app := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		defer close(done)
		co.Printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"+platform.HeaderSignature+": s\r\n\r\n", rq.ID)
		written.Store(int64(writeUntilClosed(co, "bytes without end ", sent)))
		return false
	})
	fx := newFixture(t, []*fakeserver.Server{app}, nil)
	got := fx.post(nonIdempotentPath, "r-1", "order")
	require.Error(t, got.err, "the answer must not look complete")
	<-done
	require.Less(t, written.Load(), int64(sent))
}

// TestRejectionWithLongBodyLeavesNoBytesBehind plays a rejection with a body that is
// longer than what the gateway reads of it, and in the rest what looks like an answer to
// the next request.
func TestRejectionWithLongBodyLeavesNoBytesBehind(t *testing.T) {
	const discarded = 256 << 10
	forged := "HTTP/1.1 200 OK\r\nRequest-Id: r-2\r\n" + platform.HeaderSignature + ": s\r\nContent-Length: 6\r\n\r\nforged"
	app := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if rq.ID == "r-1" {
			co.Printf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-1\r\nNot-Executed: 1\r\nContent-Length: %d\r\n\r\n%s",
				discarded+len(forged), strings.Repeat("x", discarded))
			time.Sleep(50 * time.Millisecond)
			return true
		}
		if rq.ConnectionNumber == 1 {
			co.Printf("%s", forged) // the rest of the body of the rejection
		}
		co.Respond(rq, http.StatusOK, "own")
		return true
	})
	fx := newFixture(t, []*fakeserver.Server{app}, nil)
	require.Equal(t, http.StatusServiceUnavailable, fx.post(nonIdempotentPath, "r-1", "").status)
	require.Equal(t, "own", fx.post(nonIdempotentPath, "r-2", "").body)
}

// TestMisdirectionWithoutIdentifierMayBeOfAnotherRequest plays a late statement that
// another server has the address, without an identifier, on a connection in use again.
// It doesn't say that the present request did not run, so this must not be sent again.
func TestMisdirectionWithoutIdentifierMayBeOfAnotherRequest(t *testing.T) {
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if rq.ID == "r-2" {
			co.Printf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n")
		}
		co.Respond(rq, http.StatusOK, "own "+rq.ID)
		return true
	}
	app := startServer(t, handler)
	fx := newFixture(t, []*fakeserver.Server{app}, nil)
	require.Equal(t, "own r-1", fx.post(nonIdempotentPath, "r-1", "").body)
	second := startServer(t, handler)
	fx.putServer("app-second", "app", second.Address(), "ready")
	got := fx.post(nonIdempotentPath, "r-2", "")
	require.Equal(t, "own r-2", got.body)
	require.Equal(t, 2, requestCount(app, second), "each request ran once")
}

// streamBegin is the header of a stream that ends with its connection.
const streamBegin = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n" + platform.HeaderSignature + ": s\r\nContent-Type: text/event-stream\r\n\r\n"

// TestStalledStreamIsResumed plays engines that stop after the first event, but go on
// sending bytes. The stream must go on at another engine.
func TestStalledStreamIsResumed(t *testing.T) {
	stalls := map[string]func(co *fakeserver.Conn){
		"byte now and then": func(co *fakeserver.Conn) {
			for {
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(co, "1\r\nx\r\n"); err != nil {
					return
				}
			}
		},
		"comments": func(co *fakeserver.Conn) {
			for {
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(co, "9\r\n: still\n\n\r\n"); err != nil {
					return
				}
			}
		},
		"events without identifiers, without end": func(co *fakeserver.Conn) {
			writeUntilClosed(co, "10\r\ndata: nothing\n\n\n\r\n", 2*maxUselessBytes)
		},
	}
	for name, stall := range stalls {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				co.BeginStream(rq)
				if calls.Add(1) == 1 {
					co.WriteEvent(1)
					stall(co)
					return false
				}
				co.WriteEvent(2)
				co.EndStream()
				return true
			}
			fx := newFixture(t, nil, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)})
			fx.setResumableRoute("gap_aim_ms", 50)
			got := fx.post(resumablePath, "r-1", "prompt")
			require.NoError(t, got.err)
			require.Contains(t, got.body, "id: 1\n")
			require.True(t, strings.HasSuffix(got.body, "id: 2\ndata: piece 2\n\n"), "the stream ends with its last event")
		})
	}
}

// TestCommentsAreNoFirstEvent plays an engine that sends comments without end and no
// event. The request must go to another engine.
func TestCommentsAreNoFirstEvent(t *testing.T) {
	var calls atomic.Int64
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		if calls.Add(1) == 1 {
			for {
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(co, "9\r\n: still\n\n\r\n"); err != nil {
					return false
				}
			}
		}
		co.WriteEvent(1)
		co.EndStream()
		return true
	}
	fx := newFixture(t, nil, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)})
	fx.setResumableRoute("target_latency_ms", 100)
	got := fx.post(resumablePath, "r-1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: piece 1\n\n", got.body)
}

// TestSlowStreamIsNotCut plays a stream whose events are slower than the target, and
// split over many writes.
func TestSlowStreamIsNotCut(t *testing.T) {
	engine := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		for id := range 4 {
			for _, part := range strings.SplitAfter(fmt.Sprintf("id: %d\ndata: slow\n\n", id+1), ":") {
				time.Sleep(60 * time.Millisecond)
				co.WriteChunk(part)
			}
		}
		co.EndStream()
		return true
	})
	fx := newFixture(t, nil, []*fakeserver.Server{engine, startServer(t, respondWith("unused"))})
	fx.setResumableRoute("gap_aim_ms", 50)
	for { // until the engine that streams was chosen
		got := fx.post(resumablePath, "r-1", "prompt")
		if got.body == "unused" {
			continue
		}
		require.NoError(t, got.err)
		require.Contains(t, got.body, "id: 4\n")
		require.Len(t, engine.Requests(), 1)
		return
	}
}

// TestNewCallerDuringStopIsAnswered stops the gateway while a request is in flight. A
// caller that connects after new requests are refused gets an answer, not a reset.
func TestNewCallerDuringStopIsAnswered(t *testing.T) {
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	app := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		<-release
		co.Respond(rq, http.StatusOK, "done")
		return true
	})
	t.Cleanup(finish)
	fx := newFixture(t, []*fakeserver.Server{app}, nil)
	slow := make(chan clientResponse, 1)
	go func() { slow <- fx.post(nonIdempotentPath, "r-slow", "") }()
	fx.eventually(func() bool { return requestCount(app) == 1 })
	drained := make(chan error, 1)
	go func() { drained <- fx.gateway.Drain(context.Background()) }()
	fx.eventually(func() bool { return fx.logs.Count("stopping") > 0 })
	refused := false
	for deadline := time.Now().Add(testTimeout); !refused && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		got := fx.get("r-probe", "Deadline-Ms: 200")
		require.NoError(t, got.err)
		refused = got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "stopping")
	}
	require.True(t, refused, "requests are refused at the end of the stop")
	for range 20 {
		got := fx.get("r-late", "Deadline-Ms: 200")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
	}
	finish()
	require.Equal(t, "done", (<-slow).body)
	require.NoError(t, <-drained)
}

// TestRepeatedRefusalIsOfTheEarlierRequest guards against a refusal that an engine writes once
// more on a kept connection and that is taken for one of the present request, which runs.
func TestRepeatedRefusalIsOfTheEarlierRequest(t *testing.T) {
	const refusal = "HTTP/1.1 %d Refused\r\n%sNot-Executed: 1\r\n" + platform.HeaderSignature + ": s\r\nContent-Length: 0\r\n\r\n"
	for name, refused := range map[string]struct {
		status   int
		idLine   string
		secondID string
	}{
		"of another request":           {503, "Request-Id: r-1\r\n", "r-2"},
		"of one with the same ID":      {503, "Request-Id: r-1\r\n", "r-1"},
		"rate limit of the same ID":    {429, "Request-Id: r-1\r\n", "r-1"},
		"misdirection of the same ID":  {421, "Request-Id: r-1\r\n", "r-1"},
		"overload without an ID":       {503, "", "r-2"},
		"rate limit without an ID":     {429, "", "r-2"},
		"misdirection without an ID":   {421, "", "r-2"},
		"invalid request without ID":   {400, "", "r-2"},
		"of the same, without ID":      {503, "", "r-1"},
		"interim, then of another one": {503, "Request-Id: r-1\r\n", "r-3"},
	} {
		t.Run(name, func(t *testing.T) {
			var refusals atomic.Int64
			handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				if refusals.Add(1) == 1 {
					co.Printf(refusal, http.StatusServiceUnavailable, "Request-Id: "+rq.ID+"\r\n")
					return true
				}
				if rq.ID == "r-3" {
					co.Printf("HTTP/1.1 103 Early Hints\r\n\r\n")
				}
				if rq.ConnectionNumber == 1 { // the earlier refusal once more
					co.Printf(refusal, refused.status, refused.idLine)
				}
				co.Respond(rq, http.StatusOK, "ran")
				return true
			}
			app := startServer(t, handler)
			fx := newFixture(t, []*fakeserver.Server{app}, nil)
			require.Equal(t, http.StatusServiceUnavailable, fx.post(nonIdempotentPath, "r-1", "order").status)
			got := fx.post(nonIdempotentPath, refused.secondID, "order")
			require.Equal(t, "ran", got.body, "status %d", got.status)
			require.Equal(t, 2, requestCount(app), "the request ran once")
		})
	}
}
