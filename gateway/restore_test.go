package gateway_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// TestListOfEarlierEraIsNotSpread guards against the list of an earlier era that hosts
// send each other, because its revision is higher than the one that the restored store
// has given out so far.
func TestListOfEarlierEraIsNotSpread(t *testing.T) {
	fx := newFixture(t, []*fakeserver.Server{startServer(t, respondWith("ok"))}, nil)
	known := fx.gateway.StateFor(peer.State{}).ListPosition
	earlier := peer.ListPosition{Era: known.Era - 1, Revision: known.Revision + 100}
	later := peer.ListPosition{Era: known.Era + 1, Revision: 1}
	packed, err := directory.Pack([]directory.Server{{ID: "n", Service: "app", Address: "127.0.0.1:1", Slots: 1, State: directory.Ready}})
	require.NoError(t, err)
	require.NotNil(t, fx.gateway.StateFor(peer.State{Digest: peer.Digest{ListPosition: earlier}}).PackedServers, "a host of an earlier era gets no list")
	require.Nil(t, fx.gateway.StateFor(peer.State{Digest: peer.Digest{ListPosition: later}}).PackedServers)
	fx.gateway.MergeState(time.Now().Add(time.Minute), peer.State{Digest: peer.Digest{ListPosition: earlier}, PackedServers: packed})
	require.Equal(t, known.Era, fx.gateway.StateFor(peer.State{}).Era)
	fx.gateway.MergeState(time.Now(), peer.State{Digest: peer.Digest{ListPosition: later}, PackedServers: packed})
	require.Equal(t, later, fx.gateway.StateFor(peer.State{}).ListPosition)
}

// TestHostWithoutStoreLearnsOfRestoreFromPeers guards against a host that can't reach the
// store and keeps to the list of an earlier era, or passes it on, because the restored
// store has given out fewer revisions.
func TestHostWithoutStoreLearnsOfRestoreFromPeers(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fx := newFixture(t, []*fakeserver.Server{app}, nil)
	saved := fx.store.Snapshot()
	for ix := range 20 {
		fx.putServer("app-9", "app", fmt.Sprintf("127.0.0.1:%d", 1+ix), "ready")
	}
	fed := fx.startFedHost(dialTCP)
	fx.eventually(func() bool { return fed.AvailableServerCount("app") == 2 })
	fx.store.Restore(saved)
	fx.putServer("app-0", "app", app.Address(), "draining")
	fx.putServer("app-1", "app", app.Address(), "ready")
	fx.eventually(func() bool { return fed.StateFor(peer.State{}).Era == 2 })
	fx.eventually(func() bool { return fed.AvailableServerCount("app") == 1 })
	require.Equal(t, mp.Era(2), fx.gateway.StateFor(peer.State{}).Era)
}

// dialTCP opens an ordinary connection to another host.
func dialTCP(ctx context.Context, address peer.Address) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", string(address))
}
