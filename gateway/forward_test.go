package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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

// forwardPort is the port for forwarded requests, at the IP address of each host.
const forwardPort = "6900"

// forwardAddressOf returns the address for forwarded requests of the host at a gossip address.
func forwardAddressOf(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return net.JoinHostPort(ip, forwardPort)
}

// forwardPlay is a host that is partitioned from the backend servers while it has hosts to
// forward requests to.
type forwardPlay struct {
	*fixture
	hosts atomic.Pointer[[]peer.Address]
}

func newForwardPlay(t *testing.T, app []*fakeserver.Server) *forwardPlay {
	t.Helper()
	fp := &forwardPlay{}
	change := func(se *gateway.Settings) { se.ForwardAddress = forwardAddressOf(se.PeerAddress) }
	fp.fixture = newFixtureWith(t, change, app, nil, gateway.WithForwardPeers(fp.forwardPeers))
	return fp
}

func (fp *forwardPlay) forwardPeers() []peer.Address {
	if hosts := fp.hosts.Load(); hosts != nil {
		return *hosts
	}
	return nil
}

// partition partitions the host. It forwards to the addresses, in their order.
func (fp *forwardPlay) partition(hosts ...string) {
	var addresses []peer.Address
	for _, ho := range hosts {
		addresses = append(addresses, peer.Address(ho))
	}
	fp.hosts.Store(&addresses)
}

// startHost starts another host of the deployment and returns it with a function that ends it.
func (fp *forwardPlay) startHost(opts ...gateway.Option) (*fixture, func()) {
	fp.t.Helper()
	other := *fp.fixture
	other.settings = fp.peerSettings()
	other.settings.ForwardAddress = forwardAddressOf(other.settings.PeerAddress)
	stop := other.startStoppable(opts...)
	return &other, stop
}

// startPartitioned is newForwardPlay with one other host, to which requests are forwarded.
func startPartitioned(t *testing.T, app ...*fakeserver.Server) (*forwardPlay, *fixture) {
	t.Helper()
	fp := newForwardPlay(t, app)
	other, _ := fp.startHost()
	fp.partition(other.settings.PeerAddress)
	return fp, other
}

// startFakeHost starts a server in place of another host, and returns its gossip address and the
// number of its requests.
func startFakeHost(t *testing.T, handler http.HandlerFunc) (string, *atomic.Int64) {
	t.Helper()
	address := loopback.Address()
	listener, err := net.Listen("tcp", forwardAddressOf(address))
	require.NoError(t, err)
	requests := &atomic.Int64{}
	server := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, rq.Body)
		rw.Header().Set("Request-Id", rq.Header.Get("Request-Id"))
		handler(rw, rq)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return address, requests
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuseAs responds as a host that refuses a request.
func refuseAs(status int, kind string, headers ...string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Forward-Attempts", "0")
		rw.Header().Set("Forward-Kind", kind)
		for _, line := range headers {
			name, value, _ := strings.Cut(line, ": ")
			rw.Header().Set(name, value)
		}
		http.Error(rw, kind+": text", status)
	}
}

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
	requireNoForwardHeaders(t, seen[0].Header)
	requireNoForwardHeaders(t, got.header)
	events := fp.logs.RequestEvents("r-1") // of both hosts
	require.Equal(t, other.settings.ForwardAddress, events["forwarded"]["host"])
	require.Equal(t, "accepted", events["forward_received"]["outcome"])

	fp.partition()
	require.Equal(t, http.StatusOK, fp.get("r-2").status)
	require.NotContains(t, fp.logs.RequestEvents("r-2"), "forwarded")
}

func requireNoForwardHeaders(t *testing.T, header http.Header) {
	t.Helper()
	for name := range header {
		require.False(t, strings.HasPrefix(name, "Forward-"), name)
	}
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

// sendAsHost sends a request to the listener for hosts from the IP address of a gossip address.
func sendAsHost(t *testing.T, from, to string, headers ...string) (*http.Response, error) {
	t.Helper()
	ip, _, err := net.SplitHostPort(from)
	require.NoError(t, err)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: testTimeout}
	nc, err := dialer.Dial("tcp", forwardAddressOf(to))
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = nc.Close() })
	lines := append([]string{"GET " + idempotentPath + " HTTP/1.1", "Host: " + host, "Request-Id: r-hop", "Authorization: Bearer " + key}, headers...)
	_, _ = io.WriteString(nc, strings.Join(lines, "\r\n")+"\r\n\r\n") // a stranger's connection may be reset
	return http.ReadResponse(bufio.NewReader(nc), nil)
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

// startForwardedSoftware starts a partitioned host and two others, with engines of software
// versions, and returns a function that ends the first of the others.
func startForwardedSoftware(t *testing.T, handler func(software string) fakeserver.Handler, versions ...string) (*forwardPlay, [2]*fixture, func()) {
	t.Helper()
	fp := newForwardPlay(t, []*fakeserver.Server{startServer(t, respondWith("ok"))})
	fp.addSoftware(handler, versions...)
	fp.setResumableRoute("max_attempts", 2)
	first, stop := fp.startHost()
	second, _ := fp.startHost()
	for _, ho := range []*fixture{fp.fixture, first, second} {
		fp.eventually(func() bool {
			return ho.gateway.AvailableServerCount("engines") == len(versions) && int(ho.gateway.ConfigVersion()) == fp.version
		})
	}
	fp.partition(first.settings.PeerAddress, second.settings.PeerAddress)
	return fp, [2]*fixture{first, second}, stop
}

// TestForwardedStreamGoesOnThroughAnotherHost guards against streams that are cut, or joined from
// two software versions, when the host that they are forwarded to ends.
func TestForwardedStreamGoesOnThroughAnotherHost(t *testing.T) {
	relayed := make(chan struct{}, 1)
	var software atomic.Value
	handler := func(version string) fakeserver.Handler {
		return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.BeginStream(rq)
			if rq.LastEventID() == 0 {
				software.Store(version)
				co.WriteChunk(events(1, 2))
				relayed <- struct{}{}
				co.AwaitClose()
				return false
			}
			if software.Load() != version {
				co.WriteChunk("data: of another version\n\n")
				return false
			}
			co.WriteChunk(events(rq.LastEventID()+1, 4))
			co.EndStream()
			return true
		}
	}
	fp, hosts, stop := startForwardedSoftware(t, handler, oldSoftware, newSoftware)
	go func() {
		<-relayed
		fp.eventually(func() bool { return strings.Contains(fp.logs.Text(), "forward_received") })
		time.Sleep(200 * time.Millisecond) // the events are at the caller
		stop()
	}()
	got := fp.post(resumablePath, "r-1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, events(1, 4), got.body)
	require.Equal(t, "sig-r-1", got.header.Get(platform.HeaderSignature))
	requireNoForwardHeaders(t, got.header)
	last := fp.logs.RequestEvents("r-1")
	require.Equal(t, hosts[1].settings.ForwardAddress, last["forwarded"]["host"])
	require.Equal(t, software.Load(), last["forward_received"]["software"])
}

// TestForwardedStreamKeepsWithinItsAttempts guards against a stream that more servers get than
// its route allows, because the host that has given it up doesn't say so.
func TestForwardedStreamKeepsWithinItsAttempts(t *testing.T) {
	var calls atomic.Int64
	fp, _, _ := startForwardedSoftware(t, func(string) fakeserver.Handler {
		return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			calls.Add(1)
			co.BeginStream(rq)
			co.WriteChunk(events(rq.LastEventID()+1, rq.LastEventID()+2))
			return false
		}
	}, oldSoftware, oldSoftware, oldSoftware)
	got := fp.post(resumablePath, "r-1", "prompt")
	require.Error(t, got.err, "the stream must not look complete")
	require.LessOrEqual(t, calls.Load(), int64(2))
	require.Equal(t, events(1, 2*int(calls.Load())), got.body)
}

// TestStreamIsTakenUpThroughAnotherHost guards against take-ups that a partitioned host refuses
// though other hosts know the origin, and against those of unknown origin that are served.
func TestStreamIsTakenUpThroughAnotherHost(t *testing.T) {
	fp, hosts, _ := startForwardedSoftware(t, breakingEngine, oldSoftware, newSoftware)
	fp.setResumableRoute("max_attempts", 1)
	for _, ho := range hosts {
		fp.eventually(func() bool { return int(ho.gateway.ConfigVersion()) == fp.version })
	}
	for number := range resumedStreams {
		stream := fmt.Sprint("r-", number)
		software := hosts[number%2].begin(stream) // at a host that isn't partitioned
		got := fp.takeUp("again-"+stream, stream)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, software, softwareIn(t, got.body))
	}
	got := fp.takeUp("again-unknown", "nobody's")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	logged := fp.logs.RequestEvents("again-unknown")
	require.Contains(t, logged, "forwarded")
	require.NotContains(t, logged, "placed")
}

// TestPartitionTurnsAttemptsToAnotherHost guards against requests that are refused because they
// came before the host knew that it is partitioned.
func TestPartitionTurnsAttemptsToAnotherHost(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fp := newForwardPlay(t, []*fakeserver.Server{app})
	other, _ := fp.startHost()
	var cut atomic.Bool
	app.SetHandler(func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if cut.CompareAndSwap(false, true) { // the first attempt breaks off as the partition begins
			fp.partition(other.settings.PeerAddress)
			co.Reset()
			return false
		}
		co.Respond(rq, http.StatusOK, "quote")
		return true
	})
	got := fp.get("r-1")
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Equal(t, 1.0, fp.logs.RequestEvents("r-1")["forward_received"]["attempts"])
	require.Equal(t, true, fp.logs.RequestEvents("r-1")["forward_received"]["may_have_run"])
}

// TestSilentServerIsLeftForAnotherHost guards against streams that are cut because connections to
// servers hang while the host is partitioned.
func TestSilentServerIsLeftForAnotherHost(t *testing.T) {
	begun := make(chan struct{}, 1)
	fp, hosts, _ := startForwardedSoftware(t, func(string) fakeserver.Handler {
		return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.BeginStream(rq)
			if rq.LastEventID() == 0 {
				co.WriteChunk(events(1, 2))
				begun <- struct{}{}
				co.AwaitClose()
				return false
			}
			co.WriteChunk(events(rq.LastEventID()+1, 4))
			co.EndStream()
			return true
		}
	}, oldSoftware, oldSoftware)
	fp.setResumableRoute("gap_aim_ms", 100)
	fp.partition()
	go func() {
		<-begun
		fp.partition(hosts[0].settings.PeerAddress)
	}()
	got := fp.post(resumablePath, "r-1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, events(1, 4), got.body)
	received := fp.logs.RequestEvents("r-1")["forward_received"]
	require.Equal(t, 1.0, received["attempts"])
	require.Equal(t, true, received["may_have_run"])
	require.Equal(t, oldSoftware, received["software"])
}

// TestServerThatSaysItLeavesToAnotherHostGetsNoMoreRequests guards against requests to a server
// whose word that it leaves this host has passed on.
func TestServerThatSaysItLeavesToAnotherHostGetsNoMoreRequests(t *testing.T) {
	leaving := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.Respond(rq, http.StatusOK, "ok", "Server-Leaving: 1")
		return true
	})
	fp, _ := startPartitioned(t, startServer(t, respondWith("ok")), leaving)
	for number := 0; requestCount(leaving) == 0; number++ {
		require.Less(t, number, 40)
		require.Equal(t, http.StatusOK, fp.get(fmt.Sprint("r-", number)).status)
	}
	fp.partition()
	for number := range 10 {
		require.Equal(t, http.StatusOK, fp.get(fmt.Sprint("later-", number)).status)
	}
	require.Equal(t, 1, requestCount(leaving))
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
