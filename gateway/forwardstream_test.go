package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

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
