package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // deterministic cases
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

func ready(id mp.ServerID) directory.Server {
	return directory.Server{ID: id, Service: "app", State: directory.Ready}
}

// revision is a position in the era of a store that reports none.
func revision(number mp.Revision) mp.Position { return mp.Position{Revision: number} }

func ids(di *directory.Directory) []mp.ServerID {
	var found []mp.ServerID
	for _, se := range di.Servers() {
		found = append(found, se.ID)
	}
	return found
}

func TestOlderRevisionIsIgnored(t *testing.T) {
	di := directory.New()
	require.True(t, di.Replace(start, revision(9), []directory.Server{ready("a"), ready("b")}))
	require.False(t, di.Replace(start.Add(time.Second), revision(8), nil))
	require.False(t, di.Apply(start.Add(time.Second), revision(8), []directory.Server{{ID: "a", State: directory.Removed}}))
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di))
	require.Equal(t, start, di.ConfirmedAt())
}

func TestApplyChanges(t *testing.T) {
	di := directory.New()
	di.Replace(start, revision(9), []directory.Server{ready("a"), ready("b")})
	draining := ready("a")
	draining.State = directory.Draining
	require.True(t, di.Apply(start, revision(10), []directory.Server{draining, {ID: "b", State: directory.Removed}, ready("c")}))
	require.Equal(t, []mp.ServerID{"a", "c"}, ids(di))
	require.Equal(t, directory.Draining, di.Servers()[0].State)
	require.False(t, di.Apply(start, revision(11), []directory.Server{ready("c")}), "an unchanged entry")
}

func TestReturnedListIsImmutable(t *testing.T) {
	di := directory.New()
	di.Replace(start, revision(9), []directory.Server{ready("b"), ready("a")})
	before := di.Servers()
	di.Apply(start, revision(10), []directory.Server{{ID: "a", State: directory.Removed}, ready("c")})
	require.Equal(t, []directory.Server{ready("a"), ready("b")}, before)
	require.Equal(t, []mp.ServerID{"b", "c"}, ids(di))
	di.Replace(start, revision(11), []directory.Server{ready("d")})
	require.Equal(t, []mp.ServerID{"d"}, ids(di))
}

// TestServersAreRetainedAfterStoreOutage guards against the loss of live servers
// whose entries expired while the store was unavailable: they register again within
// two seconds of its return.
func TestServersAreRetainedAfterStoreOutage(t *testing.T) {
	di := directory.New()
	di.Replace(start, revision(9), []directory.Server{ready("a"), ready("b"), ready("c")})
	di.RecordFailure(start.Add(3 * time.Second))
	returned := start.Add(5 * time.Second)
	di.Replace(returned, revision(20), []directory.Server{ready("a")})
	require.Equal(t, []mp.ServerID{"a", "b", "c"}, ids(di))
	di.Apply(returned.Add(time.Second), revision(21), []directory.Server{ready("b")})
	require.False(t, di.Expire(returned.Add(2*time.Second)))
	require.True(t, di.Expire(returned.Add(2500*time.Millisecond)))
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di), "the server that did not register again is removed")
}

func TestMissingServerIsRemovedWithoutOutage(t *testing.T) {
	di := directory.New()
	di.Replace(start, revision(9), []directory.Server{ready("a"), ready("b")})
	require.True(t, di.Replace(start.Add(time.Second), revision(10), []directory.Server{ready("a")}))
	require.Equal(t, []mp.ServerID{"a"}, ids(di))
}

func TestDrainingServerIsNotRetained(t *testing.T) {
	di := directory.New()
	draining := ready("a")
	draining.State = directory.Draining
	di.Replace(start, revision(9), []directory.Server{draining, ready("b")})
	di.RecordFailure(start.Add(3 * time.Second))
	di.Replace(start.Add(5*time.Second), revision(20), []directory.Server{ready("b")})
	require.Equal(t, []mp.ServerID{"b"}, ids(di))
}

func TestConfirmRequiresSameRevision(t *testing.T) {
	di := directory.New()
	di.Replace(start, revision(9), []directory.Server{ready("a")})
	require.False(t, di.Confirm(start.Add(time.Second), revision(8)))
	require.True(t, di.Confirm(start.Add(time.Second), revision(9)))
	require.Equal(t, start.Add(time.Second), di.ConfirmedAt())
}

// TestRetainedServersAreNotListed guards against a server whose entry is gone and that
// other hosts take for listed, because one that retains it tells them so.
func TestRetainedServersAreNotListed(t *testing.T) {
	di := directory.New()
	di.Replace(start, revision(9), []directory.Server{ready("a"), ready("b")})
	di.RecordFailure(start.Add(3 * time.Second))
	di.Replace(start.Add(5*time.Second), revision(20), []directory.Server{ready("a")})
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di))
	require.Equal(t, []directory.Server{ready("a")}, di.Listed())
	di.Expire(start.Add(8 * time.Second))
	require.Equal(t, []directory.Server{ready("a")}, di.Listed())
}

// TestOldListWithoutFailureIsNoOutage guards against a server that leaves while another
// host takes over from the one that read the store, and is retained as after an outage.
func TestOldListWithoutFailureIsNoOutage(t *testing.T) {
	di := directory.New()
	di.Replace(start, revision(9), []directory.Server{ready("a"), ready("b")})
	di.RecordFailure(start.Add(500 * time.Millisecond))
	di.Confirm(start.Add(time.Second), revision(9)) // another host was served
	di.Replace(start.Add(4*time.Second), revision(10), []directory.Server{ready("a")})
	require.Equal(t, []mp.ServerID{"a"}, ids(di))
}

// TestServersMissingFromTheCopyAreRetained guards against the loss of servers that
// registered after the copy was taken from which the store has come back, and against
// ones that are gone and are kept for ever.
func TestServersMissingFromTheCopyAreRetained(t *testing.T) {
	di := directory.New()
	di.Replace(start, mp.Position{Era: 1, Revision: 20}, []directory.Server{ready("a"), ready("b"), ready("c")})
	returned := start.Add(time.Second)
	require.False(t, di.Replace(returned, mp.Position{Era: 2, Revision: 12}, []directory.Server{ready("a")}))
	require.Equal(t, []mp.ServerID{"a", "b", "c"}, ids(di))
	require.Equal(t, []directory.Server{ready("a")}, di.Listed())
	di.Apply(returned.Add(time.Second), mp.Position{Era: 2, Revision: 13}, []directory.Server{ready("b")})
	require.True(t, di.Expire(returned.Add(2500*time.Millisecond)))
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di))
}

// TestSecondRestoreProlongsRetention guards against servers that are dropped because the
// store was restored once more before they could register again.
func TestSecondRestoreProlongsRetention(t *testing.T) {
	di := directory.New()
	di.Replace(start, mp.Position{Era: 1, Revision: 20}, []directory.Server{ready("a"), ready("b")})
	di.Replace(start.Add(time.Second), mp.Position{Era: 2, Revision: 12}, []directory.Server{ready("a")})
	di.Replace(start.Add(3*time.Second), mp.Position{Era: 3, Revision: 11}, []directory.Server{ready("a")})
	require.False(t, di.Expire(start.Add(4*time.Second)))
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di))
	require.True(t, di.Expire(start.Add(6*time.Second)))
}

// TestChangesOfAnotherEraAreIgnored guards against changes that are applied to a list to
// which they don't belong.
func TestChangesOfAnotherEraAreIgnored(t *testing.T) {
	di := directory.New()
	di.Replace(start, mp.Position{Era: 2, Revision: 12}, []directory.Server{ready("a")})
	for _, era := range []mp.Era{1, 3} {
		require.False(t, di.Apply(start.Add(time.Second), mp.Position{Era: era, Revision: 20}, []directory.Server{ready("b")}))
	}
	require.Equal(t, mp.Position{Era: 2, Revision: 12}, di.Position())
	require.Equal(t, start, di.ConfirmedAt())
}

// TestNewestPositionWinsInAnyOrder guards against lists of several eras that arrive in
// another order than they were read, and leave a host with anything but the newest.
func TestNewestPositionWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type list struct {
			position mp.Position
			servers  []directory.Server
		}
		lists := map[mp.Position]list{}
		di, newest, now := directory.New(), list{}, start
		for range rapid.IntRange(1, 20).Draw(rt, "lists") {
			po := mp.Position{Era: mp.Era(rapid.IntRange(0, 3).Draw(rt, "era")), Revision: mp.Revision(rapid.IntRange(1, 9).Draw(rt, "revision"))}
			li, ok := lists[po]
			if !ok {
				li = list{position: po}
				for _, id := range []mp.ServerID{"a", "b", "c"} {
					if rapid.Bool().Draw(rt, "listed") {
						li.servers = append(li.servers, ready(id))
					}
				}
				lists[po] = li
			}
			if !po.Before(newest.position) {
				newest = li
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "millis")) * time.Millisecond)
			di.Replace(now, po, li.servers)
		}
		now = now.Add(time.Minute)
		di.Replace(now, newest.position, newest.servers) // what stands a minute later is no rest of a copy
		di.Expire(now)
		require.Equal(rt, newest.position, di.Position())
		require.ElementsMatch(rt, newest.servers, di.Servers())
	})
}
