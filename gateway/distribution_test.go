package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/gateway"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

const (
	// A slow connection carries slowChunk bytes in each slowInterval.
	slowChunk    = 16 << 10
	slowInterval = 20 * time.Millisecond
)

// slowConn is a connection that carries data slowly, without longer pauses.
type slowConn struct{ net.Conn }

// Read implements io.Reader.
func (sc slowConn) Read(data []byte) (int, error) {
	count, err := sc.Conn.Read(data[:min(len(data), slowChunk)])
	time.Sleep(slowInterval)
	return count, err
}

// Write implements io.Writer.
func (sc slowConn) Write(data []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(data, slowChunk) {
		count, err := sc.Conn.Write(chunk)
		written += count
		if err != nil {
			return written, err
		}
		time.Sleep(slowInterval)
	}
	return written, nil
}

// dialThrough returns a dialer whose connections are wrapped.
func dialThrough(wrap func(net.Conn) net.Conn) peer.DialFunc {
	return func(ctx context.Context, address peer.Address) (net.Conn, error) {
		var dialer net.Dialer
		nc, err := dialer.DialContext(ctx, "tcp", string(address))
		if err != nil {
			return nil, err
		}
		return wrap(nc), nil
	}
}

func slow(nc net.Conn) net.Conn { return slowConn{Conn: nc} }

// narrowConn is a connection that carries promptBytes at once and whatever follows so
// slowly that a large transfer doesn't end.
type narrowConn struct {
	net.Conn
	read int
}

const (
	promptBytes    = 64 << 10
	narrowInterval = 300 * time.Millisecond
)

// Read implements io.Reader.
func (nc *narrowConn) Read(data []byte) (int, error) {
	if nc.read >= promptBytes {
		time.Sleep(narrowInterval)
		data = data[:min(len(data), 1)]
	}
	count, err := nc.Conn.Read(data)
	nc.read += count
	return count, err
}

func narrow(nc net.Conn) net.Conn { return &narrowConn{Conn: nc} }

// dialNobody fails, so that a host sends others only what they ask for.
func dialNobody(context.Context, peer.Address) (net.Conn, error) {
	return nil, errors.New("no connections from here")
}

// startFedHost starts a second host that the store doesn't serve and that opens
// connections to other hosts with the dialer.
func (fx *fixture) startFedHost(dial peer.DialFunc) *gateway.Gateway {
	settings := fx.peerSettings()
	settings.StoreAddress = loopback.Address()
	ga, stop, err := gateway.New(settings, gateway.WithLogger(zerolog.New(fx.logs)), gateway.WithPeerDialer(dial))
	require.NoError(fx.t, err)
	fx.t.Cleanup(stop)
	return ga
}

// withLargeRoutes adds routes of about a megabyte that can't be compressed much.
func withLargeRoutes(content map[string]any) {
	random := rand.New(rand.NewPCG(3, 3))
	routes := content["routes"].([]any)
	for ix := range 1200 {
		path := &strings.Builder{}
		for range 50 {
			fmt.Fprintf(path, "%016x", random.Uint64())
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("large-", ix), "host": "large.example", "path_prefix": "/" + path.String() + "/",
			"kind": "idempotent", "service": "app", "timeout_ms": 1000, "max_attempts": 1,
		})
	}
	content["routes"] = routes
}

// TestLargeConfigurationReachesHostWithSlowLink guards against a time limit on a transfer
// that doesn't depend on its size.
func TestLargeConfigurationReachesHostWithSlowLink(t *testing.T) {
	fx := newFixture(t, []*fakeserver.Server{startServer(t, respondWith("ok"))}, nil, gateway.WithPeerDialer(dialThrough(slow)))
	fed := fx.startFedHost(dialThrough(slow))
	fx.configure(withLargeRoutes)
	fx.eventually(func() bool { return fed.ConfigVersion() == mp.Version(fx.version) })
}

// TestLeavingServerIsKnownDuringLargeTransfer guards against servers that leave and are
// heard of only after a large configuration.
func TestLeavingServerIsKnownDuringLargeTransfer(t *testing.T) {
	app := startServer(t, respondWith("ok"))
	fx := newFixture(t, []*fakeserver.Server{app}, nil, gateway.WithPeerDialer(dialNobody))
	fed := fx.startFedHost(dialThrough(narrow))
	fx.eventually(func() bool { return fed.AvailableServerCount("app") == 1 })
	fx.configure(withLargeRoutes)
	fx.eventually(func() bool { return fx.logs.Count("configuration_behind") > 1 }) // the first and the large one
	fx.putServer("app-0", "app", app.Address(), "draining")
	fx.eventually(func() bool { return fed.AvailableServerCount("app") == 0 })
	require.Less(t, fed.ConfigVersion(), mp.Version(fx.version))
}
