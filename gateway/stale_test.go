package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// soleVersionTimeout is the timeout of the resumable route. Hosts that have known one version
// for twice as long take it for the only one.
const soleVersionTimeout = 200 * time.Millisecond

// startSole starts a gateway with one engine of the old software and waits until its history of
// the service reaches back far enough to tell where a stream began.
func startSole(t *testing.T) (*fixture, *atomic.Int64) {
	t.Helper()
	resumed := &atomic.Int64{}
	fx := startSoftware(t, func(software string) fakeserver.Handler {
		return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			if rq.LastEventID() > 0 {
				resumed.Add(1)
			}
			return breakingEngine(software)(co, rq)
		}
	}, oldSoftware)
	fx.setResumableRoute("timeout_ms", soleVersionTimeout.Milliseconds())
	time.Sleep(2 * soleVersionTimeout)
	got := fx.takeUp("before", "r-before")
	require.NoError(t, got.err)
	require.Equal(t, oldSoftware, softwareIn(t, got.body), "one version has served")
	resumed.Store(0)
	return fx, resumed
}

// requireNotResumed requires that a request was refused and no server went on with the stream.
func requireNotResumed(t *testing.T, got clientResponse, resumed *atomic.Int64) {
	t.Helper()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status, "%q", got.body)
	require.Zero(t, resumed.Load())
}

// TestHostBehindTheStoreDoesNotTakeItsVersionForTheOnlyOne guards against a stream that began at a
// server of which this host hasn't heard yet, and goes on at one of another software version.
func TestHostBehindTheStoreDoesNotTakeItsVersionForTheOnlyOne(t *testing.T) {
	for name, isCutOff := range map[string]bool{"missed the change": false, "cut off from the store": true} {
		t.Run(name, func(t *testing.T) {
			fx, resumed := startSole(t)
			fx.store.SetDropEvents(true)
			if isCutOff {
				fx.store.SetErrorStatus(http.StatusServiceUnavailable)
			}
			fx.addSoftware(breakingEngine, newSoftware)
			got := fx.takeUp("again", "r-elsewhere")
			requireNotResumed(t, got, resumed)
		})
	}
}

// TestHostBehindTheStoreDoesNotTellOthersWhereAStreamBegan guards against the same at a host that
// has just started and asks one that hasn't heard of the new server.
func TestHostBehindTheStoreDoesNotTellOthersWhereAStreamBegan(t *testing.T) {
	fx, resumed := startSole(t)
	second := fx.startHost("dc-1")
	second.eventually(func() bool {
		return second.takeUp(fmt.Sprint("warm-", time.Now().UnixNano()), "r-before").status == http.StatusOK
	})
	resumed.Store(0)
	fx.store.SetDropEvents(true)
	fx.store.SetErrorStatus(http.StatusServiceUnavailable)
	fx.addSoftware(breakingEngine, newSoftware)
	third := fx.startHost("dc-1")
	got := third.takeUp("again", "r-elsewhere")
	requireNotResumed(t, got, resumed)
}

// TestHostBehindTheStoreReadsItForACallerThatNamesNoStream guards against the same for a caller
// that doesn't say which stream it takes up.
func TestHostBehindTheStoreReadsItForACallerThatNamesNoStream(t *testing.T) {
	fx, resumed := startSole(t)
	fx.store.SetDropEvents(true)
	fx.addSoftware(breakingEngine, newSoftware)
	got := fx.post(resumablePath, "again", "prompt", "Last-Event-Id: 2")
	requireNotResumed(t, got, resumed)
}

// TestCopyOfTheStoreDoesNotMakeAVersionTheOnlyOne guards against the same when the store has come
// back from a copy that lacks the new server.
func TestCopyOfTheStoreDoesNotMakeAVersionTheOnlyOne(t *testing.T) {
	fx, resumed := startSole(t)
	saved := fx.store.Snapshot()
	fx.store.SetDropEvents(true)
	fx.addSoftware(breakingEngine, newSoftware)
	fx.store.Restore(saved)
	got := fx.takeUp("again", "r-elsewhere")
	requireNotResumed(t, got, resumed)
}

// TestQuestionsThatWaitForTheStoreLeaveRoomForOthers guards against a host that doesn't tell of a
// stream of which it has a record, because questions after others take all its connections.
func TestQuestionsThatWaitForTheStoreLeaveRoomForOthers(t *testing.T) {
	fx, _ := startSole(t)
	second := fx.startHost("dc-1")
	require.Equal(t, oldSoftware, fx.begin("r-1"))
	fx.store.SetErrorStatus(http.StatusServiceUnavailable)
	var group sync.WaitGroup
	const crowd = 60
	for number := range crowd {
		group.Go(func() { second.takeUp(fmt.Sprint("crowd-", number), fmt.Sprint("r-unknown-", number)) })
	}
	defer group.Wait()
	time.Sleep(20 * time.Millisecond) // some of them wait
	got := second.takeUp("again", "r-1")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, "%q", got.body)
}
