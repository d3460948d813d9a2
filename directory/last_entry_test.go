package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
)

// entry returns an entry of server a.
func entry(state directory.State, born, sequence int64) directory.Server {
	return directory.Server{ID: "a", Service: "app", State: state, StartedAtMillis: born, Sequence: sequence}
}

func list(servers ...directory.Server) []directory.Server { return servers }

func position(era mp.Era, revision mp.Revision) mp.Position {
	return mp.Position{Era: era, Revision: revision}
}

// TestLeavingServerOfCopyIsNotReady guards against requests to a server that leaves,
// because the store came back from a copy in which it was ready.
func TestLeavingServerOfCopyIsNotReady(t *testing.T) {
	for name, copied := range map[string]directory.Server{
		"earlier sequence": entry(directory.Ready, 1, 5),
		"same sequence":    entry(directory.Ready, 1, 7),
	} {
		t.Run(name, func(t *testing.T) {
			di := directory.New()
			di.Replace(start, position(1, 20), list(entry(directory.Ready, 1, 5)))
			di.Apply(start.Add(time.Second), position(1, 21), list(entry(directory.Draining, 1, 7)))
			di.Replace(start.Add(3*time.Second), position(2, 19), list(copied))
			di.Replace(start.Add(4*time.Second), position(2, 20), list(copied))
			require.Equal(t, list(entry(directory.Draining, 1, 7)), di.Servers())
			require.Equal(t, list(copied), di.Listed(), "other hosts get what the store lists")
			di.Replace(start.Add(5*time.Second), position(2, 21), list(entry(directory.Draining, 1, 9)))
			require.Equal(t, list(entry(directory.Draining, 1, 9)), di.Servers())
			di.Replace(start.Add(6*time.Second), position(2, 22), list(entry(directory.Ready, 2, 1)))
			require.Equal(t, list(entry(directory.Ready, 2, 1)), di.Servers(), "the server has started again")
		})
	}
}

// TestGoneServerOfCopyIsNotUsed guards against requests to a server that is gone, because
// the store came back from a copy that still lists it.
func TestGoneServerOfCopyIsNotUsed(t *testing.T) {
	di := directory.New()
	di.Replace(start, position(1, 20), list(entry(directory.Ready, 1, 5), ready("b")))
	di.Replace(start.Add(time.Second), position(1, 21), list(ready("b")))
	di.Replace(start.Add(3*time.Second), position(2, 19), list(entry(directory.Ready, 1, 5), ready("b")))
	require.Equal(t, []mp.ServerID{"b"}, ids(di))
	require.Equal(t, list(entry(directory.Ready, 1, 5)), di.Distrusted())
	require.False(t, di.Expire(start.Add(4*time.Second)))
	di.Replace(start.Add(5*time.Second), position(3, 18), list(entry(directory.Ready, 1, 5), ready("b")))
	require.Equal(t, []mp.ServerID{"b"}, ids(di), "restored once more")
	di.Apply(start.Add(6*time.Second), position(3, 19), list(entry(directory.Ready, 1, 8)))
	require.Equal(t, []mp.ServerID{"a", "b"}, ids(di), "it has written again")
}

// TestEntryThatStaysInRestoredStoreIsTrusted guards against a sound server that is never
// used again, because its entry had disappeared before the copy came back.
func TestEntryThatStaysInRestoredStoreIsTrusted(t *testing.T) {
	di := directory.New()
	di.Replace(start, position(1, 20), list(entry(directory.Ready, 1, 5)))
	di.Replace(start.Add(time.Second), position(1, 21), nil)
	for seconds := 3; seconds < 18; seconds++ {
		now := start.Add(time.Duration(seconds) * time.Second)
		di.Replace(now, position(2, 19), list(entry(directory.Ready, 1, 5)))
		require.False(t, di.Expire(now))
		require.Empty(t, di.Servers())
	}
	require.True(t, di.Confirm(start.Add(18*time.Second), position(2, 19)))
	require.True(t, di.Expire(start.Add(18*time.Second)))
	require.Equal(t, []mp.ServerID{"a"}, ids(di))
}

// TestCopyThatNobodyConfirmsIsNotTrusted guards against requests to a server that leaves or is
// gone, because the store was read once after it came back from a copy and not again.
func TestCopyThatNobodyConfirmsIsNotTrusted(t *testing.T) {
	for name, left := range map[string][]directory.Server{"leaving": list(entry(directory.Draining, 1, 7)), "gone": nil} {
		t.Run(name, func(t *testing.T) {
			di := directory.New()
			di.Replace(start, position(1, 20), list(entry(directory.Ready, 1, 5)))
			di.Replace(start.Add(time.Second), position(1, 21), left)
			di.Replace(start.Add(3*time.Second), position(2, 19), list(entry(directory.Ready, 1, 5)))
			di.RecordFailure(start.Add(4 * time.Second))
			for seconds := 4; seconds < 60; seconds++ {
				di.Expire(start.Add(time.Duration(seconds) * time.Second))
				require.ElementsMatch(t, left, di.Servers(), "%d s", seconds)
			}
		})
	}
}

// TestServerGoneLongAgoIsForgotten guards against memory that grows with each server that
// ever left.
func TestServerGoneLongAgoIsForgotten(t *testing.T) {
	di := directory.New()
	di.Replace(start, position(1, 20), list(entry(directory.Ready, 1, 5)))
	di.Replace(start.Add(time.Second), position(1, 21), nil)
	di.Expire(start.Add(61 * time.Second))
	di.Replace(start.Add(62*time.Second), position(2, 19), list(entry(directory.Ready, 1, 5)))
	require.Equal(t, []mp.ServerID{"a"}, ids(di))
}

// TestSequenceAloneIsNoChange guards against servers that are set up anew each time they
// write that they are alive.
func TestSequenceAloneIsNoChange(t *testing.T) {
	di := directory.New()
	require.True(t, di.Replace(start, position(1, 20), list(entry(directory.Ready, 1, 5))))
	require.False(t, di.Replace(start, position(1, 21), list(entry(directory.Ready, 1, 6))))
	require.Equal(t, list(entry(directory.Ready, 1, 6)), di.Listed())
}
