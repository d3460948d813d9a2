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

func TestOlderListChangesNothing(t *testing.T) {
	di := directory.New()
	require.True(t, di.Replace(start, 9, []directory.Server{ready("a"), ready("b")}))
	require.False(t, di.Replace(start.Add(time.Second), 8, nil))
	require.False(t, di.Apply(start.Add(time.Second), 8, []directory.Server{{ID: "a", State: directory.Removed}}))
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di))
	require.Equal(t, start, di.ConfirmedAt())
}

func TestChangesAreApplied(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a"), ready("b")})
	leaving := ready("a")
	leaving.State = directory.Draining
	require.True(t, di.Apply(start, 10, []directory.Server{leaving, {ID: "b", State: directory.Removed}, ready("c")}))
	require.Equal(t, []mp.ServerID{"a", "c"}, ids(di))
	require.Equal(t, directory.Draining, di.Servers()[0].State)
	require.False(t, di.Apply(start, 11, []directory.Server{ready("c")}), "nothing new")
}

func TestAListThatWasHandedOutIsNotChanged(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("b"), ready("a")})
	before := di.Servers()
	di.Apply(start, 10, []directory.Server{{ID: "a", State: directory.Removed}, ready("c")})
	require.Equal(t, []directory.Server{ready("a"), ready("b")}, before)
	require.Equal(t, []mp.ServerID{"b", "c"}, ids(di))
	di.Replace(start, 11, []directory.Server{ready("d")})
	require.Equal(t, []mp.ServerID{"d"}, ids(di))
}

// TestEntriesThatLapsedInAnOutageAreKeptForAWhile plays the store's return:
// servers whose entries lapsed write them again within two seconds.
func TestEntriesThatLapsedInAnOutageAreKeptForAWhile(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a"), ready("b"), ready("c")})
	back := start.Add(5 * time.Second)
	di.Replace(back, 20, []directory.Server{ready("a")})
	require.Equal(t, []mp.ServerID{"a", "b", "c"}, ids(di))
	di.Apply(back.Add(time.Second), 21, []directory.Server{ready("b")})
	require.False(t, di.Expire(back.Add(2*time.Second)))
	require.True(t, di.Expire(back.Add(2500*time.Millisecond)))
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di), "the one that stayed away is gone")
}

func TestEntryThatVanishesInCalmTimesIsGoneAtOnce(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a"), ready("b")})
	require.True(t, di.Replace(start.Add(time.Second), 10, []directory.Server{ready("a")}))
	require.Equal(t, []mp.ServerID{"a"}, ids(di))
}

func TestLeavingServerIsNotKept(t *testing.T) {
	di := directory.New()
	leaving := ready("a")
	leaving.State = directory.Draining
	di.Replace(start, 9, []directory.Server{leaving, ready("b")})
	di.Replace(start.Add(5*time.Second), 20, []directory.Server{ready("b")})
	require.Equal(t, []mp.ServerID{"b"}, ids(di))
}

func TestConfirmNeedsTheSameRevision(t *testing.T) {
	di := directory.New()
	di.Replace(start, 9, []directory.Server{ready("a")})
	require.False(t, di.Confirm(start.Add(time.Second), 8))
	require.True(t, di.Confirm(start.Add(time.Second), 9))
	require.Equal(t, start.Add(time.Second), di.ConfirmedAt())
}
