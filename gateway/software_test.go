package gateway_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
