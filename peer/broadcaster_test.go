package peer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/peer"
)

// busyDelegate is the delegate of a host with requests at many servers.
type busyDelegate struct {
	recordingDelegate
	loads      map[mp.ServerID]peer.Load
	recipients []peer.Address
}

func (bd *busyDelegate) LocalPeers() []peer.Address { return bd.recipients }
func (bd *busyDelegate) LocalLoads(int) (map[mp.ServerID]peer.Load, peer.Digest) {
	return bd.loads, peer.Digest{Version: 7, ListPosition: mp.Position{Revision: 9}}
}

// TestLoadUpdateOfManyServersStillArrives guards against load updates that are dropped,
// with the versions in them, because there are more servers than fit into a datagram.
func TestLoadUpdateOfManyServersStillArrives(t *testing.T) {
	receiving := netip.MustParseAddrPort(loopback.Address())
	sending := netip.AddrPortFrom(netip.MustParseAddrPort(loopback.Address()).Addr(), receiving.Port())
	receiver := &recordingDelegate{}
	stop, err := peer.NewLoadBroadcaster("host-1", peer.Member{}, receiving.String(), receiver, receiver)
	require.NoError(t, err)
	t.Cleanup(stop)
	sender := &busyDelegate{loads: map[mp.ServerID]peer.Load{}, recipients: []peer.Address{peer.Address(receiving.String())}}
	const servers = 6200
	for ix := range servers {
		sender.loads[mp.ServerID(fmt.Sprintf("i-%010x", ix))] = peer.Load{PrefillTokens: mp.Tokens(ix + 1)}
	}
	stop, err = peer.NewLoadBroadcaster("host-2", peer.Member{}, sending.String(), sender, sender)
	require.NoError(t, err)
	t.Cleanup(stop)
	require.Eventually(t, func() bool { return len(receiver.received()) > 0 }, 20*time.Second, time.Millisecond)
	update := receiver.received()[0]
	require.Equal(t, mp.Version(7), update.Version)
	require.Equal(t, mp.Position{Revision: 9}, update.ListPosition)
	require.Contains(t, update.Loads, mp.ServerID(fmt.Sprintf("i-%010x", servers-1)), "the servers with the most load are left")
}
