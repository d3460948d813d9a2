package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/origin"
	"github.com/mangopaddle/mangopaddle/peer"
)

const (
	originHosts   = 70 // of one data centre, besides the one that begins the streams
	originStreams = 40
)

// tellingDelegate is a host that has begun some streams, of which it tells once.
type tellingDelegate struct {
	recordingDelegate
	peers []peer.Address
	once  sync.Once
}

func (td *tellingDelegate) LocalPeers() []peer.Address { return td.peers }

func (td *tellingDelegate) Origins(int) origin.Report {
	var report origin.Report
	td.once.Do(func() {
		report = origin.Report{}
		for number := range originStreams {
			report.Add(originStream(number), "engines", "v1")
		}
	})
	return report
}

// askKey marks the context of a question, which tells its connections from those of gossip.
type askKey struct{}

func originStream(number int) mp.RequestID { return mp.RequestID(fmt.Sprint("r-", number)) }

// listenForOrigins listens for datagrams to a host and records the streams that it is told of.
func listenForOrigins(t *testing.T, address string, told func(mp.RequestID)) {
	t.Helper()
	conn, err := net.ListenPacket("udp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		data := make([]byte, 16<<10)
		for {
			count, _, err := conn.ReadFrom(data)
			if err != nil {
				return
			}
			var update peer.LoadUpdate
			if json.Unmarshal(data[:count], &update) != nil {
				continue
			}
			for _, stream := range update.Origins["engines"]["v1"] {
				told(stream)
			}
		}
	}()
}

// TestHostsThatAreAskedForAnOriginWereToldOfIt guards against origins that are lost in large data
// centres because those that keep them aren't the ones that are asked.
func TestHostsThatAreAskedForAnOriginWereToldOfIt(t *testing.T) {
	var mu sync.Mutex
	toldTo := map[mp.RequestID]map[string]bool{}
	total := 0
	self := loopback.Address()
	_, port, err := net.SplitHostPort(self)
	require.NoError(t, err)
	delegate := &tellingDelegate{}
	for len(delegate.peers) < originHosts {
		address := loopback.Address()
		host, _, _ := strings.Cut(address, ":")
		delegate.peers = append(delegate.peers, peer.Address(address))
		listenForOrigins(t, net.JoinHostPort(host, port), func(stream mp.RequestID) {
			mu.Lock()
			defer mu.Unlock()
			if toldTo[stream] == nil {
				toldTo[stream] = map[string]bool{}
			}
			toldTo[stream][address] = true
			total++
		})
	}
	stop, err := peer.NewLoadBroadcaster("host-1", peer.Member{DataCentre: "dc-1"}, self, delegate, delegate)
	require.NoError(t, err)
	t.Cleanup(stop)

	asked := map[string]bool{}
	dial := func(ctx context.Context, address peer.Address) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Value(askKey{}) != nil {
			asked[string(address)] = true
		}
		return nil, errors.New("no connections from here")
	}
	asking := peer.Member{Address: delegate.peers[0], DataCentre: "dc-1"}
	node, stopNode, err := peer.New(asking, nil, &recordingDelegate{}, peer.WithDialer(dial))
	require.NoError(t, err)
	t.Cleanup(stopNode)
	node.MarkSeen(peer.Member{Address: peer.Address(self), DataCentre: "dc-1"})
	for _, address := range delegate.peers[1:] {
		node.MarkSeen(peer.Member{Address: address, DataCentre: "dc-1"})
	}
	ctx := context.WithValue(t.Context(), askKey{}, true)
	for number := range originStreams {
		mu.Lock()
		clear(asked)
		mu.Unlock()
		_, ok := node.AskOrigin(ctx, peer.OriginRequest{Stream: originStream(number), Service: "engines", MaxAge: mp.Duration(time.Second)})
		require.False(t, ok)
		require.Eventually(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			for address := range asked {
				if !toldTo[originStream(number)][address] && address != self {
					return false
				}
			}
			return len(asked) > 0
		}, 20*time.Second, 5*time.Millisecond, "stream %d", number)
	}
	mu.Lock()
	defer mu.Unlock()
	require.Less(t, total, originStreams*originHosts/2, "not all hosts keep all origins")
}
