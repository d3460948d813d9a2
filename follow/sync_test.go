package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/platform"
)

// startFollower starts a follower that reads the list rarely, and waits for its first list.
func startFollower(t *testing.T, store *stubStore, opts ...follow.Option) (*follow.Follower, *follow.View) {
	t.Helper()
	store.put("servers/a", entry)
	store.put("op/config", configuration)
	view := follow.NewView()
	fo, stop := follow.New(store, view, append(opts, follow.WithListInterval(time.Hour))...)
	t.Cleanup(stop)
	<-view.Ready()
	return fo, view
}

// TestSyncShowsWhatTheStoreHadBeforeTheCall guards against a list that lacks a server that was
// listed before the call, because the watch missed it.
func TestSyncShowsWhatTheStoreHadBeforeTheCall(t *testing.T) {
	store := newStubStore()
	fo, view := startFollower(t, store)
	for count := 2; count < 6; count++ {
		store.put(mp.ConfigKey(fmt.Sprint("servers/", count)), entry)
		require.NoError(t, fo.Sync(t.Context()))
		require.Len(t, view.Load().Servers, count)
	}
}

func TestConcurrentSyncsShareListCalls(t *testing.T) {
	store := newStubStore()
	fo, _ := startFollower(t, store, follow.WithSyncInterval(func() time.Duration { return 50 * time.Millisecond }))
	before := store.listCalls("servers/")
	var group sync.WaitGroup
	const calls = 100
	for range calls {
		group.Go(func() { _ = fo.Sync(t.Context()) })
	}
	group.Wait()
	require.Less(t, store.listCalls("servers/")-before, calls/10)
}

func TestSyncFailsIfTheStoreIsUnavailable(t *testing.T) {
	store := newStubStore()
	fo, _ := startFollower(t, store)
	store.fail(errors.New("down"))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, fo.Sync(ctx), context.DeadlineExceeded)
	store.fail(nil)
	require.NoError(t, fo.Sync(t.Context()))
}

// TestGapInTheConfirmationsOfTheListIsKnown guards against a host that takes its lists for
// complete although servers may have come and gone between two of them.
func TestGapInTheConfirmationsOfTheListIsKnown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	fo, view := startFollower(t, newStubStore(), follow.WithClock(clock), follow.WithMaxListGap(time.Second))
	confirm := func(after time.Duration) time.Time {
		clock.Advance(after)
		fo.Confirm(follow.Confirmation{ListPosition: view.Load().ListPosition, ListAt: clock.Now()})
		return clock.Now()
	}
	confirm(time.Second)
	require.Zero(t, view.Load().ListGapEndedAt)
	endedAt := confirm(time.Second + time.Millisecond)
	require.Equal(t, endedAt, view.Load().ListGapEndedAt)
	confirm(time.Second)
	require.Equal(t, endedAt, view.Load().ListGapEndedAt)
}

// TestSyncDoesNotWaitForTheConfiguration guards against a list that counts as read only once the
// configuration is, which may be large.
func TestSyncDoesNotWaitForTheConfiguration(t *testing.T) {
	store := newStubStore()
	fo, _ := startFollower(t, store)
	store.put("servers/b", entry)
	store.failPrefix(platform.OperatorPrefix, errors.New("down"))
	require.NoError(t, fo.Sync(t.Context()))
}

// TestSyncAcceptsAListThatTheWatchIsAheadOf guards against a long list that never counts as read,
// because changes arrive while its pages are.
func TestSyncAcceptsAListThatTheWatchIsAheadOf(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := newStubStore()
	fo, view := startFollower(t, store, follow.WithClock(clock), follow.WithSyncInterval(func() time.Duration { return 0 }))
	known := view.Load()
	clock.Advance(time.Millisecond)
	fo.MergeServers(clock.Now(), later(known, 9), known.Servers)
	clock.Advance(time.Millisecond)
	require.NoError(t, fo.Sync(t.Context()))

	clock.Advance(time.Millisecond)
	store.put("servers/c", entry)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, fo.Sync(ctx), "the list has a server of which the host hasn't heard")
}

// TestCopyOfTheStoreIsNoCompleteList guards against a copy that is taken to list all servers,
// although those that it lacks haven't registered again.
func TestCopyOfTheStoreIsNoCompleteList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	fo, view := startFollower(t, newStubStore(), follow.WithClock(clock))
	known := view.Load()
	clock.Advance(time.Millisecond)
	fo.MergeServers(clock.Now(), mp.Position{Era: known.ListPosition.Era + 1, Revision: 1}, known.Servers)
	require.Equal(t, clock.Now().Add(directory.ReregisterTimeout), view.Load().ListGapEndedAt)
}
