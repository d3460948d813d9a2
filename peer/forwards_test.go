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

// accepting is the digest of a host that accepts forwards.
var accepting = peer.Digest{AcceptsForwards: true}

func newForwardTable() *peer.ForwardTable {
	return peer.NewForwardTable(peer.Member{Address: "10.0.0.1:1", DataCentre: "dc-1"}, rand.New(rand.NewPCG(1, 1)))
}

// hostIn returns a host of a data centre.
func hostIn(dc mp.DataCentreID, number int) peer.Member {
	return peer.Member{Address: peer.Address(fmt.Sprintf("10.0.%s.%d:1", dc[3:], number)), DataCentre: dc}
}

// hostsOf returns the hosts of a table, those of the lower data centres first.
func hostsOf(ft *peer.ForwardTable, now time.Time) []peer.Address {
	return ft.Hosts(now, func(dc mp.DataCentreID) int { return int(dc[3]) })
}

// aggregateOf returns an aggregate of a data centre with the hosts that accept forwards.
func aggregateOf(dc mp.DataCentreID, hosts ...peer.Address) peer.LoadUpdate {
	return peer.LoadUpdate{From: peer.Member{DataCentre: dc}, Host: "h", Sequence: 1, Aggregate: true, Forwards: hosts}
}

func TestForwardTableOrdersHosts(t *testing.T) {
	ft := newForwardTable()
	for number := range 20 {
		ft.Add(start, hostIn("dc-1", number+2), accepting)
	}
	ft.AddUpdate(start, aggregateOf("dc-3", "10.0.3.1:1"))
	ft.AddUpdate(start, peer.LoadUpdate{From: hostIn("dc-2", 1), Digest: accepting})
	ft.Add(start, peer.Member{Address: "10.0.0.1:1", DataCentre: "dc-1"}, accepting) // itself
	first := map[peer.Address]bool{}
	for range 50 {
		hosts := hostsOf(ft, start)
		require.Len(t, hosts, 22)
		require.Equal(t, []peer.Address{"10.0.2.1:1", "10.0.3.1:1"}, hosts[20:])
		first[hosts[0]] = true
	}
	require.Greater(t, len(first), 10, "hosts share the forwards")
}

// TestForwardTableForgets guards against forwards to hosts that don't accept them any more, or
// that nobody has heard of lately, however many hosts send updates.
func TestForwardTableForgets(t *testing.T) {
	near, far := hostIn("dc-1", 2), hostIn("dc-2", 1)
	for _, peers := range []int{1, 50, 200} {
		ft := newForwardTable()
		interval := peer.UpdateInterval(peers)
		ft.SetUpdateInterval(interval)
		ft.AddUpdate(start, peer.LoadUpdate{From: near, Digest: accepting})
		ft.AddUpdate(start, aggregateOf("dc-2", far.Address))
		require.Len(t, hostsOf(ft, start.Add(7*interval)), 2, "two updates of an idle host are lost")
		require.Equal(t, []peer.Address{far.Address}, hostsOf(ft, start.Add(1500*time.Millisecond+8*interval)))
		require.Empty(t, hostsOf(ft, start.Add(3*time.Second+16*interval)))
	}
	ft := newForwardTable()
	ft.Add(start, near, accepting)
	ft.AddUpdate(start, peer.LoadUpdate{From: near})
	require.Empty(t, hostsOf(ft, start))
	ft.AddUpdate(start, aggregateOf("dc-2", far.Address, "10.0.2.2:1"))
	ft.AddUpdate(start, aggregateOf("dc-2", "10.0.2.2:1"))
	require.Equal(t, []peer.Address{"10.0.2.2:1"}, hostsOf(ft, start))
}

// TestForwardTableIsBounded guards against a table that grows with what faulty hosts send.
func TestForwardTableIsBounded(t *testing.T) {
	ft := newForwardTable()
	for _, address := range []peer.Address{"", "x", "10.0.0.1", "10.0.0.1:x"} {
		ft.Add(start, peer.Member{Address: address, DataCentre: "dc-1"}, accepting)
	}
	require.Empty(t, hostsOf(ft, start))
	for number := range 10_000 {
		ft.Add(start, peer.Member{Address: peer.Address(fmt.Sprintf("10.1.%d.%d:1", number/250, number%250)), DataCentre: "dc-1"}, accepting)
	}
	require.Len(t, hostsOf(ft, start), 4096)
	require.Len(t, ft.Listed(start, true), 8)
	require.Equal(t, []peer.Address{"10.0.0.1:1"}, newForwardTable().Listed(start, true))
	require.Empty(t, newForwardTable().Listed(start, false))
}
