package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

const (
	oldSoftware = "v1"
	newSoftware = "v2"
)

// startSoftware starts a gateway with an engine of each of some software versions.
func startSoftware(t *testing.T, handler func(software string) fakeserver.Handler, versions ...string) *fixture {
	t.Helper()
	fx := newFixture(t, []*fakeserver.Server{startServer(t, respondWith("ok"))}, nil)
	fx.addSoftware(handler, versions...)
	fx.setResumableRoute("max_attempts", len(versions))
	fx.eventually(func() bool { return fx.gateway.AvailableServerCount("engines") == len(versions) })
	return fx
}

// TestStreamGoesOnOnlyAtTheSoftwareThatBeganIt guards against a stream that is joined from the
// events of engines of two software versions in one answer.
func TestStreamGoesOnOnlyAtTheSoftwareThatBeganIt(t *testing.T) {
	for name, silent := range map[string]bool{"broken off": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			var began atomic.Value // the software of the engine that gets the first request
			handler := func(software string) fakeserver.Handler {
				return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
					co.BeginStream(rq)
					if !began.CompareAndSwap(nil, software) {
						co.WriteChunk(events(rq.LastEventID()+1, 4))
						co.EndStream()
						return true
					}
					co.WriteChunk(events(1, 2))
					if silent {
						time.Sleep(4 * time.Second)
					}
					return false
				}
			}
			fx := startSoftware(t, handler, oldSoftware, newSoftware)
			fx.setResumableRoute("gap_aim_ms", 100)
			got := fx.post(resumablePath, "r-1", "prompt")
			require.Error(t, got.err, "no other engine runs the software that began the stream: %q", got.body)
			require.Equal(t, events(1, 2), got.body)

			began = atomic.Value{}
			fx.addSoftware(handler, oldSoftware, newSoftware)
			fx.eventually(func() bool { return fx.gateway.AvailableServerCount("engines") == 4 })
			got = fx.post(resumablePath, "r-2", "prompt")
			require.NoError(t, got.err)
			require.Equal(t, events(1, 4), got.body)
		})
	}
}

// breakingEngine writes two events and breaks off; a request that resumes the stream gets the
// rest, with the name of the software as its data.
func breakingEngine(software string) fakeserver.Handler {
	return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		first := rq.LastEventID() + 1
		co.WriteChunk(fmt.Sprintf("id: %d\ndata: %s\n\nid: %d\ndata: %s\n\n", first, software, first+1, software))
		if first == 1 {
			return false
		}
		co.EndStream()
		return true
	}
}

// softwareIn returns the software versions of the events of a stream.
func softwareIn(t *testing.T, body string) string {
	t.Helper()
	isOld, isNew := strings.Contains(body, "data: "+oldSoftware), strings.Contains(body, "data: "+newSoftware)
	require.NotEqual(t, isOld, isNew, "events of one version are expected: %q", body)
	if isOld {
		return oldSoftware
	}
	return newSoftware
}

// begin begins a stream that breaks off and returns the software version that began it.
func (fx *fixture) begin(id string) string {
	fx.t.Helper()
	got := fx.post(resumablePath, id, "prompt")
	require.Error(fx.t, got.err)
	return softwareIn(fx.t, got.body)
}

// takeUp resumes a stream after its second event.
func (fx *fixture) takeUp(id, stream string) clientResponse {
	fx.t.Helper()
	return fx.post(resumablePath, id, "prompt", "Last-Event-Id: 2", "Resumes: "+stream)
}

// startHost starts another host of the same deployment.
func (fx *fixture) startHost(dc mp.DataCentreID) *fixture {
	fx.t.Helper()
	second := *fx
	second.settings = fx.peerSettings()
	second.settings.DataCentre = dc
	second.settings.Regions = map[mp.DataCentreID]mp.RegionID{"dc-1": "region-1", "dc-2": "region-1"}
	second.start()
	return &second
}

// startStranger starts a host that doesn't find the others, as one does that starts after all
// others have ended.
func (fx *fixture) startStranger() *fixture {
	fx.t.Helper()
	stranger := *fx
	stranger.setNewAddresses()
	stranger.start()
	return &stranger
}

// originSource returns the source of the origin that a host has found for a request.
func (fx *fixture) originSource(id string) any {
	return fx.logs.RequestEvents(id)["stream_resumed"]["source"]
}

const (
	resumedStreams = 8 // enough that some of them begin at each of two versions
	// toldAfter is a time after which a host has told others of the streams that it began.
	toldAfter = time.Second
)

// TestCallerResumesStreamAtTheSoftwareThatBeganIt guards against a stream that is joined from the
// events of two software versions because the caller took it up again.
func TestCallerResumesStreamAtTheSoftwareThatBeganIt(t *testing.T) {
	fx := startSoftware(t, breakingEngine, oldSoftware, newSoftware)
	fx.setResumableRoute("max_attempts", 1)
	for number := range resumedStreams {
		stream := fmt.Sprint("r-", number)
		software := fx.begin(stream)
		got := fx.takeUp(fmt.Sprint("again-", number), stream)
		require.NoError(t, got.err)
		require.Equal(t, software, softwareIn(t, got.body))
	}
}

// TestOtherHostResumesStreamAtTheSoftwareThatBeganIt is the same at hosts that did not begin the
// stream: one that was there, and one that has started since.
func TestOtherHostResumesStreamAtTheSoftwareThatBeganIt(t *testing.T) {
	for _, dc := range []mp.DataCentreID{"dc-1", "dc-2"} {
		t.Run(string(dc), func(t *testing.T) {
			fx := startSoftware(t, breakingEngine, oldSoftware, newSoftware)
			fx.setResumableRoute("max_attempts", 1)
			second := fx.startHost(dc)
			began := map[string]string{}
			for number := range resumedStreams {
				stream := fmt.Sprint("r-", number)
				began[stream] = fx.begin(stream)
			}
			tries := 0
			for stream, software := range began {
				second.eventually(func() bool { // the second host learns of each stream without asking
					tries++
					id := fmt.Sprint("told-", tries)
					got := second.takeUp(id, stream)
					return got.err == nil && got.status == http.StatusOK && softwareIn(t, got.body) == software && fx.originSource(id) == "host"
				})
			}
			time.Sleep(toldAfter) // the second host tells of the streams that it took up
			third := fx.startHost(dc)
			for stream, software := range began {
				got := third.takeUp("asked-"+stream, stream)
				require.NoError(t, got.err)
				require.Equal(t, software, softwareIn(t, got.body))
				require.Equal(t, "peer", fx.originSource("asked-"+stream))
			}
			require.Positive(t, fx.logs.Count("origin_told"))
		})
	}
}

// TestStreamOfUnknownSoftwareIsNotResumed guards against a stream that goes on at the software
// that is left after all hosts have ended, with which it may not have begun.
func TestStreamOfUnknownSoftwareIsNotResumed(t *testing.T) {
	fx := startSoftware(t, breakingEngine, oldSoftware)
	fx.setResumableRoute("max_attempts", 1)
	fx.begin("r-1")
	var calls atomic.Int64
	fx.addSoftware(func(software string) fakeserver.Handler {
		return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			calls.Add(1)
			return breakingEngine(software)(co, rq)
		}
	}, newSoftware)
	fx.removeEngines(oldSoftware)
	stranger := fx.startStranger()
	got := stranger.takeUp("again-1", "r-1")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Zero(t, calls.Load())
	require.Equal(t, "unknown", fx.originSource("again-1"))

	got = stranger.post(resumablePath, "again-2", "prompt", "Last-Event-Id: 2")
	require.NoError(t, got.err, "a caller that names no stream expects one version")
	require.Equal(t, newSoftware, softwareIn(t, got.body))

	fx.eventually(func() bool { return fx.gateway.AvailableServerCount("engines") == 1 })
	got = fx.takeUp("again-3", "r-1")
	require.Equal(t, http.StatusServiceUnavailable, got.status, "no engine runs the software that began the stream")
	got = fx.post(resumablePath, "again-4", "prompt", "Last-Event-Id: 2")
	require.Equal(t, http.StatusServiceUnavailable, got.status, "two versions have served")
	require.Equal(t, int64(1), calls.Load())
}

// TestLongWaitDoesNotMakeAStreamYoung guards against a host that has just started and takes the
// version that is left for the one that began a stream, because its caller has much time left.
func TestLongWaitDoesNotMakeAStreamYoung(t *testing.T) {
	fx := startSoftware(t, breakingEngine, newSoftware)
	fx.setResumableRoute("timeout_ms", 0)
	got := fx.startStranger().post(resumablePath, "again-1", "prompt", "Last-Event-Id: 2", "Resumes: r-1", "Deadline-Ms: 200000")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
}
