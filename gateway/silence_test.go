package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/gateway"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
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

// streamNumber returns the number in the identifier of a request.
func streamNumber(rq fakeserver.Request) uint64 {
	number, _ := strconv.ParseUint(strings.TrimPrefix(rq.ID, "r-"), 10, 64) // the test writes it
	return number
}

// TestSoundServersThatFallSilentAnswerEveryStream guards against events that are lost, come
// twice or end early when servers fall silent at the moment in which others take over.
func TestSoundServersThatFallSilentAnswerEveryStream(t *testing.T) {
	const streams, events = 40, 4
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		random := rand.New(rand.NewPCG(uint64(rq.LastEventID()), streamNumber(rq)))
		co.BeginStream(rq)
		for id := rq.LastEventID() + 1; id <= events; id++ {
			if random.IntN(3) == 0 {
				time.Sleep(time.Duration(580+random.IntN(80)) * time.Millisecond) // around the idle timeout
			}
			co.WriteEvent(id)
		}
		co.EndStream()
		return true
	}
	servers := []*fakeserver.Server{startServer(t, handler), startServer(t, handler), startServer(t, handler)}
	fx := newFixture(t, nil, servers)
	fx.setResumableRoute("gap_aim_ms", 50)
	var want strings.Builder
	for id := 1; id <= events; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", id, id)
	}
	got := make([]clientResponse, streams)
	var group sync.WaitGroup
	for ix := range streams {
		group.Go(func() { got[ix] = fx.post(resumablePath, fmt.Sprint("r-", ix), "prompt") })
	}
	group.Wait()
	for ix := range streams {
		require.NoError(t, got[ix].err, "stream %d", ix)
		require.Equal(t, want.String(), got[ix].body, "stream %d", ix)
	}
	require.LessOrEqual(t, requestCount(servers...), streams*fakestore.MaxAttempts)
	require.Positive(t, fx.logs.Count("server_silent"))
}

// TestTakeOverLeavesOtherRequestsAlone guards against a request that is cut because another
// one used its connection before, was rejected there late and was then taken over.
func TestTakeOverLeavesOtherRequestsAlone(t *testing.T) {
	asked, inUse, answered := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var calls atomic.Int64
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		switch {
		case rq.ID == "r-2":
			close(inUse)
			<-answered
			co.Respond(rq, http.StatusOK, "own r-2")
		case calls.Add(1) == 1:
			<-asked
			co.Reject(rq)
		default:
			close(asked)
			<-inUse
			co.Respond(rq, http.StatusOK, "own r-1")
		}
		return true
	}
	servers := []*fakeserver.Server{startServer(t, handler), startServer(t, handler)}
	fx := newFixture(t, servers, nil)
	first, second := make(chan clientResponse, 1), make(chan clientResponse, 1)
	go func() { first <- fx.get("r-1") }()
	<-asked
	for ix, se := range servers {
		if se.Requests()[0].Header.Get(platform.HeaderExpectInstance) != fx.logs.RequestEvents("r-1")["server_silent"]["server"] {
			fx.putServer(fmt.Sprint("app-", ix), "app", se.Address(), "draining")
		}
	}
	fx.eventually(func() bool { return fx.gateway.AvailableServerCount("app") == 1 })
	go func() { second <- fx.post(nonIdempotentPath, "r-2", "order") }()
	require.Equal(t, "own r-1", (<-first).body)
	close(answered)
	require.Equal(t, "own r-2", (<-second).body)
}

// TestSilentServerIsKeptIfOthersWouldBeginTooLate guards against requests that engines read
// twice in vain when all are busy.
func TestSilentServerIsKeptIfOthersWouldBeginTooLate(t *testing.T) {
	answered, busy := make(chan struct{}), make(chan struct{})
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if rq.ID == "r-long" {
			close(busy)
			<-answered
		} else {
			time.Sleep(2 * soundSilence)
		}
		co.BeginStream(rq)
		co.WriteEvent(1)
		co.EndStream()
		return true
	}
	servers := []*fakeserver.Server{startServer(t, handler), startServer(t, handler)}
	fx := newFixture(t, nil, servers)
	long := make(chan clientResponse, 1)
	go func() { long <- fx.post(resumablePath, "r-long", "prompt", platform.HeaderTokenUsage+": 200000,10") }()
	<-busy
	got := fx.post(resumablePath, "r-1", "prompt", platform.HeaderTokenUsage+": 100,10")
	close(answered)
	require.Equal(t, "id: 1\ndata: piece 1\n\n", got.body)
	require.Equal(t, "id: 1\ndata: piece 1\n\n", (<-long).body)
	require.Equal(t, 2, requestCount(servers...))
	require.Equal(t, "overloaded", fx.logs.RequestEvents("r-1")["server_silent"]["outcome"])
}

// TestFailureOfOneServerDoesNotEndTheWaitForAnother guards against a failure that reaches the
// caller while a sound server is about to answer: that of the silent one or of the other.
func TestFailureOfOneServerDoesNotEndTheWaitForAnother(t *testing.T) {
	for name, statuses := range map[string][2]int{ // of the silent server and the other one
		"the silent server fails": {http.StatusInternalServerError, http.StatusOK},
		"the other one fails":     {http.StatusOK, http.StatusInternalServerError},
		"the other one is down":   {http.StatusOK, http.StatusServiceUnavailable},
	} {
		for _, path := range []string{idempotentPath, resumablePath} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				asked, failed := make(chan struct{}), make(chan struct{})
				var calls atomic.Int64
				handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
					number := calls.Add(1)
					if number == 2 {
						close(asked)
					}
					<-asked
					if status := statuses[number-1]; status != http.StatusOK {
						co.Respond(rq, status, "failed")
						close(failed)
						return true
					}
					<-failed
					time.Sleep(200 * time.Millisecond) // the failure comes first
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
}

// TestNoticesOfHedgedServersCount guards against requests to a server that has said, in
// answer to a request that another server was silent on, that it stops or wants a pause.
func TestNoticesOfHedgedServersCount(t *testing.T) {
	for name, line := range map[string]string{"leaving": "Server-Leaving: 1", "pause": "Retry-After: 60"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			handler := silentOnce(&calls, func() { time.Sleep(soundSilence) }, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				if calls.Load() == 2 {
					co.Reject(rq, line)
					return true
				}
				co.Respond(rq, http.StatusOK, "data: own\n\n")
				return true
			})
			servers := []*fakeserver.Server{startServer(t, handler), startServer(t, handler)}
			fx := newFixture(t, nil, servers)
			fx.setResumableRoute("gap_aim_ms", 50)
			got := fx.post(resumablePath, "r-1", "prompt")
			require.NoError(t, got.err)
			noticed := servers[0]
			if fx.logs.RequestEvents("r-1")["attempt_failed"]["server"] == "engine-1" {
				noticed = servers[1]
			}
			before := requestCount(noticed)
			for number := range 10 {
				fx.post(resumablePath, fmt.Sprintf("r-%d", 2+number), "prompt")
			}
			require.Equal(t, before, requestCount(noticed))
		})
	}
}
