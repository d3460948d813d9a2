package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

func ready(id mp.ServerID) directory.Server {
	return directory.Server{ID: id, Service: "app", State: directory.Ready}
}

func ids(di *directory.Directory) []mp.ServerID {
	var found []mp.ServerID
	for _, se := range di.Servers() {
		found = append(found, se.ID)
	}
	return found
}

func TestOlderRevisionIsIgnored(t *testing.T) {
	di := directory.New()
	require.True(t, di.Replace(start, 9, []directory.Server{ready("a"), ready("b")}))
	require.False(t, di.Replace(start.Add(time.Second), 8, nil))
	require.False(t, di.Apply(start.Add(time.Second), 8, []directory.Server{{ID: "a", State: directory.Removed}}))
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di))
	require.Equal(t, start, di.ConfirmedAt())
}

func TestApplyChanges(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a"), ready("b")})
	draining := ready("a")
	draining.State = directory.Draining
	require.True(t, di.Apply(start, 10, []directory.Server{draining, {ID: "b", State: directory.Removed}, ready("c")}))
	require.Equal(t, []mp.ServerID{"a", "c"}, ids(di))
	require.Equal(t, directory.Draining, di.Servers()[0].State)
	require.False(t, di.Apply(start, 11, []directory.Server{ready("c")}), "an unchanged entry")
}

func TestReturnedListIsImmutable(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("b"), ready("a")})
	before := di.Servers()
	di.Apply(start, 10, []directory.Server{{ID: "a", State: directory.Removed}, ready("c")})
	require.Equal(t, []directory.Server{ready("a"), ready("b")}, before)
	require.Equal(t, []mp.ServerID{"b", "c"}, ids(di))
	di.Replace(start, 11, []directory.Server{ready("d")})
	require.Equal(t, []mp.ServerID{"d"}, ids(di))
}

// TestServersAreRetainedAfterStoreOutage guards against the loss of live servers
// whose entries expired while the store was unavailable: they register again within
// two seconds of its return.
func TestServersAreRetainedAfterStoreOutage(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a"), ready("b"), ready("c")})
	di.RecordFailure(start.Add(3 * time.Second))
	returned := start.Add(5 * time.Second)
	di.Replace(returned, 20, []directory.Server{ready("a")})
	require.Equal(t, []mp.ServerID{"a", "b", "c"}, ids(di))
	di.Apply(returned.Add(time.Second), 21, []directory.Server{ready("b")})
	require.False(t, di.Expire(returned.Add(2*time.Second)))
	require.True(t, di.Expire(returned.Add(2500*time.Millisecond)))
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di), "the server that did not register again is removed")
}

func TestMissingServerIsRemovedWithoutOutage(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a"), ready("b")})
	require.True(t, di.Replace(start.Add(time.Second), 10, []directory.Server{ready("a")}))
	require.Equal(t, []mp.ServerID{"a"}, ids(di))
}

func TestDrainingServerIsNotRetained(t *testing.T) {
	di := directory.New()
	draining := ready("a")
	draining.State = directory.Draining
	di.Replace(start, 9, []directory.Server{draining, ready("b")})
	di.RecordFailure(start.Add(3 * time.Second))
	di.Replace(start.Add(5*time.Second), 20, []directory.Server{ready("b")})
	require.Equal(t, []mp.ServerID{"b"}, ids(di))
}

func TestConfirmRequiresSameRevision(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a")})
	require.False(t, di.Confirm(start.Add(time.Second), 8))
	require.True(t, di.Confirm(start.Add(time.Second), 9))
	require.Equal(t, start.Add(time.Second), di.ConfirmedAt())
}

// TestRetainedServersAreNotListed guards against a server whose entry is gone and that
// other hosts take for listed, because one that retains it tells them so.
func TestRetainedServersAreNotListed(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a"), ready("b")})
	di.RecordFailure(start.Add(3 * time.Second))
	di.Replace(start.Add(5*time.Second), 20, []directory.Server{ready("a")})
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di))
	require.Equal(t, []directory.Server{ready("a")}, di.Listed())
	di.Expire(start.Add(8 * time.Second))
	require.Equal(t, []directory.Server{ready("a")}, di.Listed())
}

// TestOldListWithoutFailureIsNoOutage guards against a server that leaves while another
// host takes over from the one that read the store, and is retained as after an outage.
func TestOldListWithoutFailureIsNoOutage(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a"), ready("b")})
	di.RecordFailure(start.Add(500 * time.Millisecond))
	di.Confirm(start.Add(time.Second), 9) // another host was served
	di.Replace(start.Add(4*time.Second), 10, []directory.Server{ready("a")})
	require.Equal(t, []mp.ServerID{"a"}, ids(di))
}
