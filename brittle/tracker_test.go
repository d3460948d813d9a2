package brittle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/brittle"
)

var (
	server  = brittle.Server{ID: "e", Service: "s", StartedAtMillis: 1, Slots: 4}
	says    = brittle.Word{Brittle: true, Limit: 3}
	saysNot = brittle.Word{}
)

// newAlone returns the tracker of a host without others, which has long been running.
func newAlone() *brittle.Tracker { return brittle.New("self", "dc-1", start.Add(-time.Hour)) }

// TestWordInSomeAnswersOnly guards against a brittle time that ends with one answer without the
// word, or that never ends.
func TestWordInSomeAnswersOnly(t *testing.T) {
	tr := newAlone()
	require.Empty(t, tr.RecordWord(start, server, saysNot))
	require.True(t, tr.IsIdle())
	require.Len(t, tr.RecordWord(start, server, says), 1)
	now := start
	for range 10 {
		now = now.Add(time.Second)
		tr.RecordWord(now, server, saysNot)
		require.Empty(t, tr.RecordWord(now.Add(500*time.Millisecond), server, says))
		require.True(t, tr.IsBrittle(now.Add(500*time.Millisecond), server))
	}
	for range 5 {
		now = now.Add(time.Second)
		tr.RecordWord(now, server, saysNot)
	}
	require.False(t, tr.IsBrittle(now, server))
	require.Equal(t, []brittle.Change{{Service: "s", Limit: 3, Age: 4500 * time.Millisecond}}, tr.Expire(now))
	tr.Expire(now.Add(time.Minute))
	require.True(t, tr.IsIdle())
}

// TestRestartedServerIsSound guards against a server that counts as brittle because it was so
// before its start, and against an answer of the earlier start.
func TestRestartedServerIsSound(t *testing.T) {
	tr := newAlone()
	other, restarted := server, server
	other.ID, restarted.StartedAtMillis = "other", 2
	for ix := range 5 {
		now := start.Add(time.Duration(ix) * time.Second)
		tr.RecordWord(now, other, says)
		tr.RecordWord(now, restarted, saysNot)
		tr.RecordWord(now, server, says)
	}
	now := start.Add(4 * time.Second)
	require.False(t, tr.IsBrittle(now, restarted))
	require.True(t, tr.IsBrittle(now, other))
}

// TestPlaces guards against more requests than slots, and against a place that counts as free
// after a rejection or behind a request that was given up.
func TestPlaces(t *testing.T) {
	tr := newAlone()
	tr.RecordWord(start, server, says)
	require.True(t, tr.HasPlace(start, server, 3))
	require.False(t, tr.HasPlace(start, server, 4))
	tr.RecordAbandonment(start, server)
	require.Equal(t, 3, tr.Places(start, server))
	require.Equal(t, 4, tr.Places(start.Add(2*time.Second), server))
	tr.RecordRejection(start.Add(2*time.Second), server)
	require.Zero(t, tr.Places(start.Add(2500*time.Millisecond), server))
	require.Equal(t, 4, tr.Places(start.Add(4*time.Second), server))
}

// TestHostsHearOfBrittleServers guards against a host that learns only from its own answers, and
// against a word that hosts tell each other in a circle.
func TestHostsHearOfBrittleServers(t *testing.T) {
	one, two := newAlone(), brittle.New("two", "dc-1", start.Add(-time.Hour))
	one.RecordWord(start, server, says)
	now := start.Add(time.Second)
	changes := two.Merge(now, one.Reports(now, false), false)
	require.Equal(t, []brittle.Change{{Service: "s", Source: brittle.SourcePeer, Limit: 3, Age: time.Second}}, changes)
	require.True(t, two.IsBrittle(now, server))
	require.Empty(t, two.Reports(now, false))
	require.Len(t, two.Reports(now, true), 1)
	require.NoError(t, two.Reports(now, true).Check())
}

// TestImpossibleReportsAreRefused guards against a faulty host that changes what others know.
func TestImpossibleReportsAreRefused(t *testing.T) {
	tooMany := brittle.Reports{}
	for _, name := range "abcdefghij" {
		tooMany[mp.ServiceName(name)] = brittle.Report{}
	}
	for _, reports := range []brittle.Reports{
		tooMany, {"": {}}, {"s": {Limit: -1}}, {"s": {Limit: 1 << 40}}, {"s": {Age: -1}}, {"s": {Age: mp.Duration(time.Hour)}},
		{"s": {DeniedAge: 1}}, {"s": {Rejections: make([]brittle.Rejection, 100)}}, {"s": {Rejections: []brittle.Rejection{{Server: "e", Age: -1}}}},
	} {
		require.Error(t, reports.Check(), "%+v", reports)
	}
	require.NoError(t, brittle.Reports{"s": {Limit: 3, Age: 2, DeniedAge: 1, Rejections: []brittle.Rejection{{Server: "e"}}}}.Check())
}
