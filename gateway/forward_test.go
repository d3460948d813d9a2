package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/gateway"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

func TestPartitionedHostServesThroughAnotherHost(t *testing.T) {
	app := startServer(t, respondWith("quote 7"))
	fp, other := startPartitioned(t, app)
	got := fp.post(idempotentPath+"a%2Fb?x=1&y=%20", "r-1", "body", "Model: m")
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Equal(t, "quote 7", got.body)
	require.Equal(t, "sig-r-1", got.header.Get(platform.HeaderSignature))
	seen := app.Requests()
	require.Len(t, seen, 1)
	require.Equal(t, idempotentPath+"a%2Fb?x=1&y=%20", seen[0].URI)
	require.Equal(t, "body", seen[0].Body)
	require.Equal(t, "org-one", seen[0].Header.Get("Tenant"))
	require.Equal(t, "app-0", seen[0].Header.Get(platform.HeaderExpectInstance))
	require.Equal(t, "m", seen[0].Header.Get("Model"))
	require.Empty(t, seen[0].Header.Get("Authorization"))
	left, err := strconv.Atoi(seen[0].Header.Get("Deadline-Ms"))
	require.NoError(t, err)
	require.Positive(t, left)
	require.LessOrEqual(t, left, 10_000, "what is left of the caller's time")
	requireNoForwardHeaders(t, seen[0].Header)
	requireNoForwardHeaders(t, got.header)
	events := fp.logs.RequestEvents("r-1") // of both hosts
	require.Equal(t, other.settings.ForwardAddress, events["forwarded"]["host"])
	require.Equal(t, "accepted", events["forward_received"]["outcome"])

	fp.partition()
	require.Equal(t, http.StatusOK, fp.get("r-2").status)
	require.NotContains(t, fp.logs.RequestEvents("r-2"), "forwarded")
}

// TestForwardedRequestThatMayHaveRunIsNotSentTwice guards against a request that runs at two
// hosts because the connection to the first broke off.
func TestForwardedRequestThatMayHaveRunIsNotSentTwice(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fp := newForwardPlay(t, []*fakeserver.Server{app})
	other, _ := fp.startHost()
	broken, requests := startFakeHost(t, breakOff)
	fp.partition(broken, other.settings.PeerAddress)
	require.Equal(t, http.StatusGatewayTimeout, fp.post(nonIdempotentPath, "r-1", "order").status)
	require.Zero(t, requestCount(app))
	require.Equal(t, http.StatusOK, fp.post(idempotentPath, "r-2", "query").status)
	require.Equal(t, int64(2), requests.Load())
	require.Equal(t, 1, requestCount(app))
}

// TestUnreachableHostIsPassedOver guards against requests that fail, though none ran, because a
// host has ended since it said that it accepts them.
func TestUnreachableHostIsPassedOver(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fp := newForwardPlay(t, []*fakeserver.Server{app})
	other, _ := fp.startHost()
	fp.partition(loopback.Address(), other.settings.PeerAddress)
	require.Equal(t, http.StatusOK, fp.post(nonIdempotentPath, "r-1", "order").status)
	require.Equal(t, 1, requestCount(app))
}

func TestRefusalOfOtherHostsIsPassedOnAfterThree(t *testing.T) {
	fp := newForwardPlay(t, []*fakeserver.Server{startServer(t, respondWith("ok"))})
	var hosts []string
	var counts []*atomic.Int64
	for range 4 {
		ho, requests := startFakeHost(t, refuseAs(http.StatusServiceUnavailable, "overloaded", "Not-Executed: 1", "Retry-After: 0.70"))
		hosts, counts = append(hosts, ho), append(counts, requests)
	}
	fp.partition(hosts...)
	got := fp.post(nonIdempotentPath, "r-1", "order")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "0.70", got.header.Get("Retry-After"))
	require.Empty(t, got.header.Get("Not-Executed"))
	require.Equal(t, []int64{1, 1, 1, 0}, []int64{counts[0].Load(), counts[1].Load(), counts[2].Load(), counts[3].Load()})
}

// TestOutcomeOfOtherHostIsPassedOn guards against requests that run again, or are said not to
// have run, after another host has made its attempts.
func TestOutcomeOfOtherHostIsPassedOn(t *testing.T) {
	signed := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Forward-Attempts", "1") // the other host's retry budget is spent
		rw.Header().Set(platform.HeaderSignature, "s")
		rw.WriteHeader(http.StatusInternalServerError)
	}
	fp := newForwardPlay(t, []*fakeserver.Server{startServer(t, respondWith("ok"))})
	for want, handler := range map[int]http.HandlerFunc{
		http.StatusBadGateway:          refuseAs(http.StatusBadGateway, "backend_failed"),
		http.StatusGatewayTimeout:      refuseAs(http.StatusGatewayTimeout, "outcome_unknown"),
		http.StatusUnauthorized:        refuseAs(http.StatusUnauthorized, "unauthorized", "Not-Executed: 1"),
		http.StatusInternalServerError: signed,
	} {
		first, _ := startFakeHost(t, handler)
		second, requests := startFakeHost(t, handler)
		fp.partition(first, second)
		require.Equal(t, want, fp.get(fmt.Sprint("r-", want)).status)
		require.Zero(t, requests.Load(), want)
	}
}

// TestPartitionedHostsDoNotForwardInCircles guards against a request that goes on from host to
// host when none of them reaches a backend server.
func TestPartitionedHostsDoNotForwardInCircles(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fp := newForwardPlay(t, []*fakeserver.Server{app})
	other, _ := fp.startHost(gateway.WithForwardPeers(func() []peer.Address { return []peer.Address{peer.Address(fp.settings.PeerAddress)} }))
	fp.partition(other.settings.PeerAddress)
	app.Crash()
	for id, path := range map[string]string{"r-1": idempotentPath, "r-2": nonIdempotentPath} {
		got := fp.post(path, id, "body")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
	}
	require.Equal(t, 2, fp.logs.Count("forward_received"))
	require.Equal(t, 2, fp.logs.Count("forwarded"))
}

// TestListenerForHostsServesNoStrangers guards against clients that pass as a host.
func TestListenerForHostsServesNoStrangers(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fp := newForwardPlay(t, []*fakeserver.Server{app})
	other, _ := fp.startHost()
	hop := []string{"Forward-Attempts: 0", "Forward-Version: 1"}
	_, err := sendAsHost(t, "127.0.0.1:1", other.settings.PeerAddress, hop...)
	require.Error(t, err)
	require.Zero(t, requestCount(app))
	fp.eventually(func() bool { return strings.Contains(fp.logs.Text(), `"reason":"stranger"`) })

	got, err := sendAsHost(t, fp.settings.PeerAddress, other.settings.PeerAddress, hop...)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.StatusCode)
	require.Equal(t, "1", got.Header.Get("Forward-Attempts"))
	require.Equal(t, "app-0", got.Header.Get("Forward-Server"))
}

// TestHostWithOlderConfigurationRefusesForwardedRequest guards against requests that are served
// by a configuration which the host that admitted them has left.
func TestHostWithOlderConfigurationRefusesForwardedRequest(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fp := newForwardPlay(t, []*fakeserver.Server{app})
	other, _ := fp.startHost()
	for header, status := range map[string]int{"Forward-Version: 99": http.StatusServiceUnavailable, "Forward-Version: x": http.StatusBadRequest} {
		got, err := sendAsHost(t, fp.settings.PeerAddress, other.settings.PeerAddress, "Forward-Attempts: 0", header)
		require.NoError(t, err)
		require.Equal(t, status, got.StatusCode)
		require.Equal(t, "1", got.Header.Get("Not-Executed"))
		require.Equal(t, "r-hop", got.Header.Get("Request-Id"))
	}
	require.Zero(t, requestCount(app))
}

// TestCallersCannotSetTheHeadersBetweenHosts guards against callers that take away each other's
// attempts, or have streams joined from two versions.
func TestCallersCannotSetTheHeadersBetweenHosts(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fp, _ := startPartitioned(t, app)
	fakes := []string{"Forward-Attempts: 900", "Forward-Version: 99", "Forward-Software: v9", "Forward-Repeat: 1", "Forward-Kind: overloaded", "Not-Executed: 1"}
	require.Equal(t, http.StatusOK, fp.get("r-1", fakes...).status)
	require.Equal(t, 0.0, fp.logs.RequestEvents("r-1")["forward_received"]["attempts"])
	fp.partition()
	require.Equal(t, http.StatusOK, fp.get("r-2", fakes...).status)
	for _, seen := range app.Requests() {
		requireNoForwardHeaders(t, seen.Header)
	}
}

// TestCancelReachesTheServerThroughAnotherHost guards against servers that go on with requests
// whose callers have gone.
func TestCancelReachesTheServerThroughAnotherHost(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	app := startServer(t, func(co *fakeserver.Conn, _ fakeserver.Request) bool {
		close(started)
		co.AwaitClose()
		close(ended)
		return false
	})
	fp, _ := startPartitioned(t, app)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	require.Error(t, fp.send(ctx, http.MethodPost, nonIdempotentPath, "r-1", "order").err)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		require.Fail(t, "the server's connection stays open")
	}
}

// TestLongBodiesAreForwardedWhole sends bodies with a length and in chunks.
func TestLongBodiesAreForwardedWhole(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fp, other := startPartitioned(t, app)
	fp.allowUploads()
	fp.eventually(func() bool { return int(other.gateway.ConfigVersion()) == fp.version })
	upload := strings.Repeat("u", 3<<20)
	require.Equal(t, http.StatusOK, fp.post(nonIdempotentPath, "r-1", upload).status)
	nc, reader := fp.dialRaw()
	_, err := fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: r-2\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		nonIdempotentPath, host, key, len(upload), upload)
	require.NoError(t, err)
	got, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer got.Body.Close()
	require.Equal(t, http.StatusOK, got.StatusCode)
	for _, seen := range app.Requests() {
		require.Len(t, seen.Body, len(upload))
	}
	require.Equal(t, 2, requestCount(app))
}

// TestDrainingHostRefusesForwardedRequests guards against requests that are cut because the host
// that they were forwarded to ends, and against those under way there that are.
func TestDrainingHostRefusesForwardedRequests(t *testing.T) {
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	app := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if rq.ID == "r-1" {
			<-release
		}
		co.Respond(rq, http.StatusOK, "ok")
		return true
	})
	fp, stopping := startPartitioned(t, app)
	t.Cleanup(finish)
	other, _ := fp.startHost()
	underWay := make(chan clientResponse, 1)
	go func() { underWay <- fp.post(nonIdempotentPath, "r-1", "order") }()
	fp.eventually(func() bool { return requestCount(app) == 1 })
	wait := stopping.drain()
	fp.partition(stopping.settings.PeerAddress, other.settings.PeerAddress)
	require.Equal(t, http.StatusOK, fp.post(nonIdempotentPath, "r-2", "order").status)
	require.Equal(t, 2, fp.logs.Count("forwarded")-1, "r-2 at both hosts")
	finish()
	require.Equal(t, http.StatusOK, (<-underWay).status)
	require.NoError(t, wait())
}

// TestHostThatDoesNotKnowThePartitionedOneServesItsRequests guards against a request that isn't
// served, and looks as if it might have run, because the other host knows only hosts that it has
// heard of.
func TestHostThatDoesNotKnowThePartitionedOneServesItsRequests(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fp := newForwardPlay(t, []*fakeserver.Server{app})
	stranger := *fp.fixture
	stranger.setNewAddresses()
	stranger.settings.ForwardAddress = forwardAddressOf(stranger.settings.PeerAddress)
	stranger.settings.DataCentre = "dc-2"
	stranger.settings.Regions = map[mp.DataCentreID]mp.RegionID{"dc-1": "region-1", "dc-2": "region-1"}
	stranger.start()
	fp.partition(stranger.settings.PeerAddress)
	for number := range 3 {
		got := fp.post(nonIdempotentPath, fmt.Sprint("r-", number), "body")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, "%q", got.body)
	}
}
