package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// coolDown is longer than a server that has rejected a request is avoided anyway.
const coolDown = 250 * time.Millisecond

// rejectFor returns a handler that rejects all requests, with values of Retry-After.
func rejectFor(values ...string) fakeserver.Handler {
	lines := make([]string, len(values))
	for ix, value := range values {
		lines[ix] = "Retry-After: " + value
	}
	return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.Reject(rq, lines...)
		return true
	}
}

func TestServerThatWantsAPauseGetsNoRequests(t *testing.T) {
	failing := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.Respond(rq, http.StatusServiceUnavailable, "busy", "Retry-After: 30")
		return true
	}
	tests := []struct {
		name    string
		handler fakeserver.Handler
		path    string
	}{
		{"seconds", rejectFor("30"), idempotentPath},
		{"fraction", rejectFor("29.5"), idempotentPath},
		{"several, the longest holds", rejectFor("0.01", "30", "soon"), idempotentPath},
		{"hours", rejectFor("1e9"), idempotentPath},
		{"stream", rejectFor("30"), resumablePath},
		{"may have run", failing, idempotentPath},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			paused, other := startServer(t, test.handler), startServer(t, respondAs())
			servers := []*fakeserver.Server{paused, other}
			fx := newFixture(t, servers, servers)
			fx.sendUntilReached(paused, test.path)
			time.Sleep(coolDown)
			require.Equal(t, map[int]int{http.StatusOK: requestsAfter}, fx.sendMore(test.path))
			require.Equal(t, 1, requestCount(paused))
			require.Equal(t, 1, fx.logs.Count("server_paused"))
		})
	}
}

func TestRetryAfterThatAsksForNoPauseIsIgnored(t *testing.T) {
	for _, value := range []string{"0", "-5", "NaN", "Inf", "soon", "Fri, 31 Dec 2027 23:59:59 GMT", ""} {
		t.Run(value, func(t *testing.T) {
			server := startServer(t, rejectFor(value))
			fx := newFixture(t, []*fakeserver.Server{server}, nil)
			fx.get("r-1")
			server.SetHandler(respondAs())
			require.Equal(t, http.StatusOK, fx.get("r-2").status)
			require.Zero(t, fx.logs.Count("server_paused"))
		})
	}
}

func TestCallersAreToldWhenTheFirstServerWantsRequestsAgain(t *testing.T) {
	servers := []*fakeserver.Server{startServer(t, rejectFor("12")), startServer(t, rejectFor("8"))}
	fx := newFixture(t, servers, nil)
	for ix := range 10 {
		fx.get(fmt.Sprint("r-", ix))
	}
	require.LessOrEqual(t, requestCount(servers...), 2)
	refused := fx.get("later")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 7.0)
	require.Less(t, after, 9.0) // the spread of the callers that return is at most a second
	require.Equal(t, 1, requestCount(servers[0]))
}

func TestRestartEndsThePauseOfAServer(t *testing.T) {
	server := startServer(t, rejectFor("3600"))
	fx := newFixture(t, []*fakeserver.Server{startServer(t, respondAs())}, nil)
	fx.store.PutStartedServer("restarted", "app", server.Address(), "ready", 1000)
	fx.eventually(func() bool { return fx.gateway.AvailableServerCount("app") == 2 })
	fx.sendUntilReached(server, idempotentPath)
	server.SetHandler(respondAs())
	time.Sleep(coolDown)
	fx.sendMore(idempotentPath)
	require.Equal(t, 1, requestCount(server))
	fx.store.PutStartedServer("restarted", "app", server.Address(), "ready", 2000)
	fx.eventually(func() bool { return fx.get("r-1").status == http.StatusOK && requestCount(server) > 1 })
}

func TestLateRepeatedRejectionStartsNoPause(t *testing.T) {
	var requests atomic.Int32
	server := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if requests.Add(1) > 1 {
			earlier := rq
			earlier.ID = "r-1"
			co.Reject(earlier, "Retry-After: 30")
		}
		co.Respond(rq, http.StatusOK, "ok")
		return true
	})
	fx := newFixture(t, []*fakeserver.Server{server}, nil)
	for ix := range 5 {
		require.Equal(t, http.StatusOK, fx.get(fmt.Sprint("r-", ix+1)).status)
	}
	require.Zero(t, fx.logs.Count("server_paused"))
}

func TestStreamIsNotResumedAtAServerThatWantsAPause(t *testing.T) {
	paused := startServer(t, rejectFor("30"))
	fx := newFixture(t, nil, []*fakeserver.Server{paused, startServer(t, respondAs())})
	fx.sendUntilReached(paused, resumablePath)
	breaking := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		co.WriteEvent(1)
		return false
	})
	fx.putServer("engine-1", "engines", breaking.Address(), "ready")
	fx.eventually(func() bool { return fx.postVaried(resumablePath, 7).err != nil })
	require.Equal(t, 1, requestCount(paused))
}
