package peer_test

import (
	"fmt"
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
	lt := peer.NewLoadTable("h2", "dc-1")
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
	require.Equal(t, 1, lt.HostOrder(start))
}

func TestLoadTableExpiresHostsWithoutUpdates(t *testing.T) {
	lt := peer.NewLoadTable("h2", "dc-1")
	lt.Add(start, loadUpdate("h1", 9, 100))
	lt.Expire(start.Add(time.Second))
	require.Zero(t, lt.Total("e"))
	require.Equal(t, 1, lt.HostOrder(start.Add(time.Second)), "the host still counts as live")
	lt.Expire(start.Add(2 * time.Second))
	require.Zero(t, lt.HostOrder(start.Add(2*time.Second)))
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

// TestHostsOfADataCentreStayKnown plays gossip between 200 hosts of six data centres for
// a minute. A load update shows that its sender is alive, so that the hosts of a data
// centre, which send each other load updates, soon all know each other and go on doing so.
func TestHostsOfADataCentreStayKnown(t *testing.T) {
	const hosts, dataCentres = 200, 6
	random := rand.New(rand.NewPCG(7, 7))
	members := make([]peer.Member, hosts)
	lists := make([]*peer.MemberList, hosts)
	byAddress := map[peer.Address]int{}
	for ix := range hosts {
		members[ix] = peer.Member{Address: peer.Address(fmt.Sprintf("10.0.0.%d:1", ix)), DataCentre: mp.DataCentreID(fmt.Sprint("dc-", ix%dataCentres))}
		byAddress[members[ix].Address] = ix
	}
	seeds := []peer.Address{members[0].Address, members[1].Address, members[2].Address}
	for ix := range hosts {
		lists[ix] = peer.NewMemberList(members[ix], seeds, random)
	}
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		for ix := range hosts {
			exchanges := 0
			switch {
			case second < 5: // gossip is faster in the first seconds
				exchanges = 2
			case (second+ix)%3 == 0:
				exchanges = 1
			}
			for range exchanges {
				other := byAddress[lists[ix].RandomPeer(now)]
				lists[other].MarkSeen(now, members[ix])
				lists[other].AddReported(now, lists[ix].Sample(now, members[ix].DataCentre))
				lists[ix].MarkSeen(now, members[other])
				lists[ix].AddReported(now, lists[other].Sample(now, members[ix].DataCentre))
			}
			for _, local := range lists[ix].LocalPeers(now) { // load updates
				lists[byAddress[local]].MarkSeen(now, members[ix])
			}
		}
		if second < 10 {
			continue
		}
		for ix := range hosts {
			require.GreaterOrEqual(t, len(lists[ix].LocalPeers(now)), hosts/dataCentres-2, "host %d after %d s", ix, second)
		}
	}
}

// TestDataCentreOrder checks that aggregates order the data centres, and that one from
// which none arrive any more loses its place.
func TestDataCentreOrder(t *testing.T) {
	lt := peer.NewLoadTable("h2", "dc-2")
	for _, dc := range []mp.DataCentreID{"dc-1", "dc-3"} {
		aggregate := peer.LoadUpdate{From: peer.Member{DataCentre: dc}, Host: mp.HostID("first of " + dc), Sequence: 1, Aggregate: true}
		lt.Add(start, aggregate)
	}
	require.Equal(t, 1, lt.DataCentreOrder(start))
	require.Zero(t, lt.DataCentreOrder(start.Add(2*time.Second)))
}

// TestUpdatesOfAHostAreBounded checks that a host's load updates don't grow with the
// square of the hosts, and that a host which is heard of at that interval stays live.
func TestUpdatesOfAHostAreBounded(t *testing.T) {
	for _, peers := range []int{1, 8, 35, 50, 200, 1000} {
		interval := peer.UpdateInterval(peers)
		require.LessOrEqual(t, float64(peers)/interval.Seconds(), 200.0)
		lt := peer.NewLoadTable("h2", "dc-1")
		lt.SetUpdateInterval(interval)
		lt.Add(start, loadUpdate("h1", 1, 100))
		lt.Expire(start.Add(3 * interval))
		require.Equal(t, mp.Tokens(100), lt.Total("e").PrefillTokens, "two lost updates, %d peers", peers)
		require.Equal(t, 1, lt.HostOrder(start.Add(3*interval)))
		lt.Expire(start.Add(time.Second + 10*interval))
		require.Zero(t, lt.HostOrder(start.Add(time.Second+10*interval)))
	}
}
