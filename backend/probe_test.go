package backend_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/backend"
)

// probe probes an address and returns the pool, too.
func probe(t *testing.T, address string) (*backend.Pool, error) {
	t.Helper()
	po, closePool := backend.New()
	t.Cleanup(closePool)
	return po, po.Probe(t.Context(), address)
}

// listen returns a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func TestProbeKeepsItsConnection(t *testing.T) {
	address := listen(t).Addr().String()
	po, err := probe(t, address)
	require.NoError(t, err)
	_, err = po.Get(t.Context(), address, time.Minute)
	require.NoError(t, err)
	require.Equal(t, int64(1), po.DialCount())
}

func TestProbeOfEndedServerIsRefused(t *testing.T) {
	listener := listen(t)
	require.NoError(t, listener.Close())
	_, err := probe(t, listener.Addr().String())
	require.True(t, backend.IsRefused(err), "%v", err)
}

// TestProbeOfServerThatIsEndingIsRefused guards against a crashed server that counts as running
// because its system still accepted a connection, which it then closes with the port.
func TestProbeOfServerThatIsEndingIsRefused(t *testing.T) {
	listener := listen(t)
	go func() {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		_ = listener.Close()
		_ = nc.Close()
	}()
	_, err := probe(t, listener.Addr().String())
	require.True(t, backend.IsRefused(err), "%v", err)
}

// TestProbeOfFullServerSucceeds guards against a server that counts as ended because it resets
// the connections that are too many.
func TestProbeOfFullServerSucceeds(t *testing.T) {
	listener := listen(t)
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
		}
	}()
	_, err := probe(t, listener.Addr().String())
	require.NoError(t, err)
}
