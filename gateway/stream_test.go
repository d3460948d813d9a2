package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

func TestStreamResumedAfterLastCompleteEvent(t *testing.T) {
	for name, interrupt := range map[string]func(*fakeserver.Conn){
		"reset":           func(co *fakeserver.Conn) { co.Reset() },
		"close":           func(*fakeserver.Conn) {},
		"inside an event": func(co *fakeserver.Conn) { co.WriteChunk("id: 4\ndata: pie") },
		"missing event":   func(co *fakeserver.Conn) { co.WriteEvent(5) },
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				first, last := 1, 3
				if calls.Add(1) > 1 {
					if _, err := fmt.Sscan(rq.Header.Get("Last-Event-Id"), &first); err != nil {
						return false
					}
					first, last = first+1, 6
				}
				co.BeginStream(rq)
				for id := first; id <= last; id++ {
					co.WriteEvent(id)
				}
				if last == 6 {
					co.EndStream()
					return true
				}
				interrupt(co)
				return false
			}
			one, two := startServer(t, handler), startServer(t, handler)
			fx := newFixture(t, nil, []*fakeserver.Server{one, two})
			got := fx.post(resumablePath, "r-1", "prompt")
			require.NoError(t, got.err)
			var want strings.Builder
			for id := 1; id <= 6; id++ {
				fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", id, id)
			}
			require.Equal(t, want.String(), got.body)
			require.Len(t, one.Requests(), 1)
			require.Len(t, two.Requests(), 1)
		})
	}
}

func TestNonResumableStreamAborted(t *testing.T) {
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		co.WriteEvent(1)
		return false
	}
	one, two := startServer(t, handler), startServer(t, handler)
	fx := newFixture(t, nil, []*fakeserver.Server{one, two})
	got := fx.post(nonResumablePath, "r-1", "prompt")
	require.ErrorIs(t, got.err, io.ErrUnexpectedEOF, "the stream must not look complete")
	require.Equal(t, 1, requestCount(one, two))
}

func TestIdleStreamResumed(t *testing.T) {
	var calls atomic.Int64
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		if calls.Add(1) == 1 {
			co.WriteEvent(1)
			co.AwaitClose()
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
	require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", got.body)
}

// TestCallerGoesOnWithItsStream plays a caller that goes on with a stream at another host,
// after the last event that it has: the engine is told, and the log shows it.
func TestCallerGoesOnWithItsStream(t *testing.T) {
	engine := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		co.WriteEvent(rq.LastEventID() + 1)
		co.EndStream()
		return true
	})
	fx := newFixture(t, nil, []*fakeserver.Server{engine})
	got := fx.post(resumablePath, "r-1", "prompt", "Last-Event-Id: 5")
	require.NoError(t, got.err)
	require.Equal(t, "id: 6\ndata: piece 6\n\n", got.body)
	require.Equal(t, "5", fx.logs.RequestEvents("r-1")["placed"]["resume_after"])
	require.Equal(t, http.StatusOK, fx.post(resumablePath, "r-2", "prompt").status)
	require.NotContains(t, fx.logs.RequestEvents("r-2")["placed"], "resume_after")
}
