package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// requestsAfter is the number of requests that tests send once a server has given a
// notice of itself.
const requestsAfter = 30

// respondAs returns a handler that answers plain requests and streams, with additional
// header lines.
func respondAs(extra ...string) fakeserver.Handler {
	return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if rq.Header.Get(platform.HeaderPromptPrefix) == "" {
			co.Respond(rq, http.StatusOK, "ok", extra...)
			return true
		}
		co.BeginStream(rq, extra...)
		co.WriteEvent(1)
		co.EndStream()
		return true
	}
}

// postVaried sends a request whose prompt, on routes to engines, has another prefix for
// each number.
func (fx *fixture) postVaried(path string, number int) clientResponse {
	id := fmt.Sprint("varied-", number)
	if path == resumablePath {
		return fx.post(path, id, "", fmt.Sprintf("%s: %x:10,b:10", platform.HeaderPromptPrefix, number+1))
	}
	return fx.post(path, id, "")
}

// sendUntilReached sends requests to a path until a server has got one, and returns how
// many it has got.
func (fx *fixture) sendUntilReached(se *fakeserver.Server, path string) int {
	for ix := 0; requestCount(se) == 0; ix++ {
		require.Less(fx.t, ix, 100, "the server gets no request")
		fx.postVaried(path, ix)
	}
	return requestCount(se)
}

// sendMore sends further requests and returns how often each status came.
func (fx *fixture) sendMore(path string) map[int]int {
	statuses := map[int]int{}
	for ix := range requestsAfter {
		statuses[fx.postVaried(path, ix).status]++
	}
	return statuses
}

func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	tests := []struct {
		name    string
		handler fakeserver.Handler
		path    string
	}{
		{"whole answer", respondAs(fakeserver.Leaving), idempotentPath},
		{"stream", respondAs(fakeserver.Leaving), resumablePath},
		{"rejection", func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Reject(rq, fakeserver.Leaving)
			return true
		}, idempotentPath},
		{"failure", func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Respond(rq, http.StatusInternalServerError, "failed", fakeserver.Leaving)
			return true
		}, idempotentPath},
		{"answer to another request", func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			earlier := rq
			earlier.ID = "earlier"
			co.Respond(earlier, http.StatusOK, "ok", fakeserver.Leaving)
			co.Respond(rq, http.StatusOK, "ok")
			return true
		}, idempotentPath},
		{"answer that breaks off", func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: s\r\nContent-Length: 10\r\n%s\r\n\r\nhal", rq.ID, platform.HeaderSignature, fakeserver.Leaving)
			return false
		}, idempotentPath},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			leaving, staying := startServer(t, test.handler), startServer(t, respondAs())
			servers := []*fakeserver.Server{leaving, staying}
			fx := newFixture(t, servers, servers)
			fx.store.SetErrorStatus(http.StatusServiceUnavailable) // the list goes on saying that both are ready
			got := fx.sendUntilReached(leaving, test.path)
			require.Equal(t, map[int]int{http.StatusOK: requestsAfter}, fx.sendMore(test.path))
			require.Equal(t, got, requestCount(leaving))
			require.Equal(t, 1, fx.logs.Count("server_leaving"))
		})
	}
}

func TestServersThatAllLeaveGetRequestsOnlyForAWhile(t *testing.T) {
	leaving := startServer(t, respondAs(fakeserver.Leaving))
	fx := newFixture(t, []*fakeserver.Server{leaving}, nil)
	require.Equal(t, http.StatusOK, fx.get("r-1").status)
	require.Equal(t, http.StatusOK, fx.get("r-2").status)
	fx.eventually(func() bool { return fx.get("later").status == http.StatusServiceUnavailable })
	got := requestCount(leaving)
	refused := fx.get("r-3")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Equal(t, got, requestCount(leaving))
}

func TestRestartedServerIsNotTakenToLeave(t *testing.T) {
	restarted, other := startServer(t, respondAs(fakeserver.Leaving)), startServer(t, respondAs())
	fx := newFixture(t, []*fakeserver.Server{other}, nil)
	list := func(startedAtMillis int64) {
		fx.store.PutStartedServer("restarted", "app", restarted.Address(), "ready", startedAtMillis)
	}
	list(1000)
	fx.eventually(func() bool { return fx.gateway.AvailableServerCount("app") == 2 })
	got := fx.sendUntilReached(restarted, idempotentPath)
	restarted.SetHandler(respondAs())
	fx.store.DeleteServer("restarted")
	fx.eventually(func() bool { return fx.gateway.AvailableServerCount("app") == 1 })
	list(1000)
	fx.eventually(func() bool { return fx.gateway.AvailableServerCount("app") == 2 })
	fx.sendMore(idempotentPath)
	require.Equal(t, got, requestCount(restarted), "the entry came back without a new start")
	list(2000)
	fx.eventually(func() bool { return fx.get("r-1").status == http.StatusOK && requestCount(restarted) > got })
}

func TestOtherServerAtAddressDoesNotMakeServerLeave(t *testing.T) {
	other := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.Respond(rq, http.StatusMisdirectedRequest, "not that one", "Not-Executed: 1", fakeserver.Leaving)
		return true
	})
	fx := newFixture(t, []*fakeserver.Server{other, startServer(t, respondAs())}, nil)
	fx.sendUntilReached(other, idempotentPath)
	require.Zero(t, fx.logs.Count("server_leaving"))
}

func TestConnectionsToLeavingServerAreNotKept(t *testing.T) {
	leaving := startServer(t, respondAs(fakeserver.Leaving))
	fx := newFixture(t, []*fakeserver.Server{leaving}, nil)
	require.Equal(t, http.StatusOK, fx.get("r-1").status)
	require.Equal(t, http.StatusOK, fx.get("r-2").status)
	requests := leaving.Requests()
	require.NotEqual(t, requests[0].ConnectionNumber, requests[1].ConnectionNumber)
}
