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

func sheet(host mp.HostID, sequence uint64, unread mp.Tokens) peer.LoadUpdate {
	return peer.LoadUpdate{
		From:     peer.Member{DataCentre: "dc-1"},
		Host:     host,
		Sequence: sequence,
		Loads:    map[mp.ServerID]peer.Load{"e": {PrefillTokens: unread, Streams: 1}},
	}
}

func TestSheetsCountTheNewestOfEachHost(t *testing.T) {
	sh := peer.NewLoadTable("h2")
	sh.Add(start, sheet("h1", 1, 100))
	sh.Add(start, sheet("h3", 1, 10))
	sh.Add(start, sheet("h1", 3, 50))
	sh.Add(start, sheet("h1", 2, 7000)) // overtaken on the way
	require.Equal(t, peer.Load{PrefillTokens: 60, Streams: 2}, sh.Total("e"))
	whole := sheet("h9", 1, 1000)
	whole.Aggregate, whole.From.DataCentre = true, "dc-2"
	sh.Add(start, whole)
	require.Equal(t, mp.Tokens(1060), sh.Total("e").PrefillTokens)
	require.Equal(t, mp.Tokens(65), sh.DataCentreLoads(map[mp.ServerID]peer.Load{"e": {PrefillTokens: 5}})["e"].PrefillTokens, "the sum is that of the data centre")
	require.Equal(t, 1, sh.Rank(start))
}

func TestSheetsOfSilentHostsExpire(t *testing.T) {
	sh := peer.NewLoadTable("h2")
	sh.Add(start, sheet("h1", 9, 100))
	sh.Expire(start.Add(time.Second))
	require.Zero(t, sh.Total("e"))
	require.Equal(t, 1, sh.Rank(start.Add(time.Second)), "it may still read the store")
	sh.Expire(start.Add(2 * time.Second))
	require.Zero(t, sh.Rank(start.Add(2*time.Second)))
	sh.Add(start.Add(3*time.Second), sheet("h1", 1, 5)) // it has started again
	require.Equal(t, mp.Tokens(5), sh.Total("e").PrefillTokens)
}

func TestMembers(t *testing.T) {
	self := peer.Member{Address: "10.0.0.1:1", DataCentre: "dc-1"}
	me := peer.NewMemberList(self, []peer.Address{"10.0.0.1:1", "10.0.0.9:1"}, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, peer.Address("10.0.0.9:1"), me.RandomPeer(start))
	me.MarkSeen(start, peer.Member{Address: "10.0.0.2:1", DataCentre: "dc-1"})
	me.MarkSeen(start, self)
	me.AddReported(start, []peer.Member{{Address: "10.0.1.1:1", DataCentre: "dc-2"}})
	require.Equal(t, []peer.Address{"10.0.0.2:1"}, me.LocalPeers(start))
	require.Equal(t, []peer.Address{"10.0.1.1:1"}, me.RemoteContacts(start))
	require.Equal(t, 2, me.Count(start))
	require.Equal(t, 1, me.Count(start.Add(20*time.Second)), "hearsay is forgotten sooner")
	require.Zero(t, me.Count(start.Add(time.Minute)))
}
