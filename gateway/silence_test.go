package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/gateway"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// soundSilence is how long a sound server is silent in the middle of its answer. It is longer
// than the host waits until it asks another server.
const soundSilence = 1500 * time.Millisecond

// silentOnce is a handler that is silent in its first answer and then goes on with it; other
// handles the requests after that.
func silentOnce(calls *atomic.Int64, silent func(), other fakeserver.Handler) fakeserver.Handler {
	return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if calls.Add(1) > 1 {
			return other(co, rq)
		}
		co.BeginStream(rq)
		co.WriteEvent(1)
		silent()
		co.WriteEvent(2)
		co.EndStream()
		return true
	}
}

// withoutRetries is a setting with which no retry is allowed.
func withoutRetries(settings *gateway.Settings) {
	settings.RetryRatio, settings.RetrySlack = 0, 0
}

// TestSilentStreamIsNotAbortedUnlessAnotherServerGoesOn guards against a stream of a sound
// server that is aborted although no other server can go on with it.
func TestSilentStreamIsNotAbortedUnlessAnotherServerGoesOn(t *testing.T) {
	unused := func(*fakeserver.Conn, fakeserver.Request) bool { return false }
	cases := map[string]struct {
		servers int
		other   fakeserver.Handler
		change  func(*gateway.Settings)
		calls   int64
	}{
		"no other server":           {servers: 1, other: unused, calls: 1},
		"the retry budget is spent": {servers: 2, other: unused, change: withoutRetries, calls: 1},
		"the other server rejects": {servers: 2, calls: 2, other: func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Reject(rq)
			return true
		}},
		"the other server breaks off": {servers: 2, calls: 2, other: unused},
		"the other server fails": {servers: 2, calls: 2, other: func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Respond(rq, http.StatusInternalServerError, "error")
			return true
		}},
		"the other server refuses the rest": {servers: 2, calls: 2, other: func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Respond(rq, http.StatusBadRequest, "unknown event")
			return true
		}},
		"the other server has another address": {servers: 2, calls: 2, other: func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Respond(rq, http.StatusMisdirectedRequest, "")
			return true
		}},
		"the other server is silent too": {servers: 2, calls: 2, other: func(co *fakeserver.Conn, _ fakeserver.Request) bool {
			co.AwaitClose()
			return false
		}},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			handler := silentOnce(&calls, func() { time.Sleep(soundSilence) }, play.other)
			var servers []*fakeserver.Server
			for range play.servers {
				servers = append(servers, startServer(t, handler))
			}
			fx := newFixtureWith(t, play.change, nil, servers)
			fx.setResumableRoute("gap_aim_ms", 50)
			got := fx.post(resumablePath, "r-1", "prompt")
			require.NoError(t, got.err)
			require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", got.body)
			require.Equal(t, play.calls, calls.Load())
		})
	}
}

// TestSilentStreamIsNotAbortedWhenOthersAreUnreachable guards against a stream of a sound
// server that is aborted because the servers that could go on with it are gone.
func TestSilentStreamIsNotAbortedWhenOthersAreUnreachable(t *testing.T) {
	var calls atomic.Int64
	var servers []*fakeserver.Server
	handler := silentOnce(&calls, func() {
		for _, se := range servers {
			if len(se.Requests()) == 0 {
				se.Crash()
			}
		}
		time.Sleep(soundSilence)
	}, func(*fakeserver.Conn, fakeserver.Request) bool { return false })
	for range 6 {
		servers = append(servers, startServer(t, handler))
	}
	fx := newFixture(t, nil, servers)
	fx.setResumableRoute("gap_aim_ms", 50)
	got := fx.post(resumablePath, "r-1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", got.body)
}

// TestSilentServerIsLeftWhenAnotherGoesOn guards against two servers that go on with one
// request.
func TestSilentServerIsLeftWhenAnotherGoesOn(t *testing.T) {
	var calls atomic.Int64
	closed := make(chan struct{})
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		if calls.Add(1) == 1 {
			co.WriteEvent(1)
			co.AwaitClose()
			close(closed)
			return false
		}
		<-closed
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

// TestOtherServerIsLeftWhenSilentOneGoesOn guards against a server that goes on working on a
// request whose first server has gone on.
func TestOtherServerIsLeftWhenSilentOneGoesOn(t *testing.T) {
	var calls atomic.Int64
	asked, closed := make(chan struct{}), make(chan struct{})
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if calls.Add(1) > 1 {
			close(asked)
			co.AwaitClose()
			close(closed)
			return false
		}
		co.BeginStream(rq)
		co.WriteEvent(1)
		<-asked
		co.WriteEvent(2)
		<-closed
		co.WriteEvent(3)
		co.EndStream()
		return true
	}
	fx := newFixture(t, nil, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)})
	fx.setResumableRoute("gap_aim_ms", 50)
	got := fx.post(resumablePath, "r-1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n", got.body)
}

// TestSilentAnswerIsKeptUnlessAnotherServerAnswers guards against an answer that a caller
// doesn't get because its server was slow and no other one could answer.
func TestSilentAnswerIsKeptUnlessAnotherServerAnswers(t *testing.T) {
	for _, path := range []string{idempotentPath, resumablePath} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				if calls.Add(1) > 1 {
					co.Reject(rq)
					return true
				}
				time.Sleep(2 * soundSilence) // twice the target of the routes
				co.Respond(rq, http.StatusOK, "data: own\n\n")
				return true
			}
			servers := []*fakeserver.Server{startServer(t, handler), startServer(t, handler)}
			fx := newFixture(t, servers, servers)
			got := fx.post(path, "r-1", "")
			require.NoError(t, got.err)
			require.Equal(t, fmt.Sprint(http.StatusOK, " data: own\n\n"), fmt.Sprint(got.status, " ", got.body))
			require.Equal(t, int64(2), calls.Load())
		})
	}
}
