package peer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/peer"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

func loadUpdate(host mp.HostID, sequence uint64, prefillTokens mp.Tokens) peer.LoadUpdate {
	return peer.LoadUpdate{
		From:     peer.Member{DataCentre: "dc-1"},
		Host:     host,
		Sequence: sequence,
		Loads:    map[mp.ServerID]peer.Load{"e": {PrefillTokens: prefillTokens, Streams: 1}},
	}
}

func TestLoadTableKeepsLatestUpdateOfEachHost(t *testing.T) {
	lt := peer.NewLoadTable("h2")
	lt.Add(start, loadUpdate("h1", 1, 100))
	lt.Add(start, loadUpdate("h3", 1, 10))
	lt.Add(start, loadUpdate("h1", 3, 50))
	lt.Add(start, loadUpdate("h1", 2, 7000)) // arrives out of order
	require.Equal(t, peer.Load{PrefillTokens: 60, Streams: 2}, lt.Total("e"))
	aggregate := loadUpdate("h9", 1, 1000)
	aggregate.Aggregate, aggregate.From.DataCentre = true, "dc-2"
	lt.Add(start, aggregate)
	require.Equal(t, mp.Tokens(1060), lt.Total("e").PrefillTokens)
	require.Equal(t, mp.Tokens(65), lt.DataCentreLoads(map[mp.ServerID]peer.Load{"e": {PrefillTokens: 5}})["e"].PrefillTokens, "loads of other data centres are not included")
	require.Equal(t, 1, lt.ReaderOrder(start))
}

func TestLoadTableExpiresHostsWithoutUpdates(t *testing.T) {
	lt := peer.NewLoadTable("h2")
	lt.Add(start, loadUpdate("h1", 9, 100))
	lt.Expire(start.Add(time.Second))
	require.Zero(t, lt.Total("e"))
	require.Equal(t, 1, lt.ReaderOrder(start.Add(time.Second)), "the host still counts as live")
	lt.Expire(start.Add(2 * time.Second))
	require.Zero(t, lt.ReaderOrder(start.Add(2*time.Second)))
	lt.Add(start.Add(3*time.Second), loadUpdate("h1", 1, 5)) // after a restart
	require.Equal(t, mp.Tokens(5), lt.Total("e").PrefillTokens)
}

// TestMemberList guards against a member list that contains the host itself, mixes up
// data centres, or keeps members that nobody has seen for their lifetime.
func TestMemberList(t *testing.T) {
	self := peer.Member{Address: "10.0.0.1:1", DataCentre: "dc-1"}
	ml := peer.NewMemberList(self, []peer.Address{"10.0.0.1:1", "10.0.0.9:1"}, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, peer.Address("10.0.0.9:1"), ml.RandomPeer(start))
	ml.MarkSeen(start, peer.Member{Address: "10.0.0.2:1", DataCentre: "dc-1"})
	ml.MarkSeen(start, self)
	ml.AddReported(start, []peer.Member{{Address: "10.0.1.1:1", DataCentre: "dc-2"}})
	require.Equal(t, []peer.Address{"10.0.0.2:1"}, ml.LocalPeers(start))
	require.Equal(t, []peer.Address{"10.0.1.1:1"}, ml.RemoteContacts(start))
	require.Equal(t, 2, ml.Count(start))
	require.Equal(t, 1, ml.Count(start.Add(20*time.Second)), "reported members expire sooner")
	require.Zero(t, ml.Count(start.Add(time.Minute)))
}
