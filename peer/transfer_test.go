package peer_test

import (
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/peer"
)

// configuredDelegate is the delegate of a host with a configuration. It hands that out once
// it is released.
type configuredDelegate struct {
	recordingDelegate
	configuration peer.Configuration
	asked         chan struct{}
	released      chan struct{}
}

func (cd *configuredDelegate) Configuration() peer.Configuration {
	cd.asked <- struct{}{}
	<-cd.released
	return cd.configuration
}

// requestConfiguration asks a node for a configuration newer than a version and returns
// the connection.
func requestConfiguration(t *testing.T, node peer.Address, version string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", string(node))
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_, err = io.WriteString(nc, `{"jsonrpc":"2.0","id":1,"method":"state.configuration","params":{"version":`+version+`}}`)
	require.NoError(t, err)
	return nc
}

func readConfiguration(t *testing.T, nc net.Conn) peer.Configuration {
	t.Helper()
	var response struct{ Result peer.Configuration }
	require.NoError(t, json.NewDecoder(nc).Decode(&response))
	return response.Result
}

// TestConfigurationIsSentToFewHostsAtOnce guards against a host that sends its
// configuration to all others at once, so that all get it late, and against one that
// sends none any more after receivers that broke off.
func TestConfigurationIsSentToFewHostsAtOnce(t *testing.T) {
	const maxTransfers = 4
	self := peer.Member{Address: peer.Address(loopback.Address())}
	delegate := &configuredDelegate{
		configuration: peer.Configuration{Version: 7, Compressed: []byte("seven")},
		asked:         make(chan struct{}, 100), released: make(chan struct{}),
	}
	_, stop, err := peer.New(self, nil, delegate)
	require.NoError(t, err)
	t.Cleanup(stop)
	var receivers []net.Conn
	for range maxTransfers {
		receivers = append(receivers, requestConfiguration(t, self.Address, "6"))
		<-delegate.asked
	}
	for range 3 {
		require.Zero(t, readConfiguration(t, requestConfiguration(t, self.Address, "6")).Version, "another host has it soon")
	}
	require.NoError(t, receivers[0].Close())
	close(delegate.released)
	for _, nc := range receivers[1:] {
		require.Equal(t, delegate.configuration, readConfiguration(t, nc))
	}
	require.Eventually(t, func() bool {
		return readConfiguration(t, requestConfiguration(t, self.Address, "6")).Version == mp.Version(7)
	}, 20*time.Second, 10*time.Millisecond)
	require.Zero(t, readConfiguration(t, requestConfiguration(t, self.Address, "7")).Version, "the receiver has it already")
}
