package peer_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/fairness"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/origin"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/quarantine"
	"github.com/mangopaddle/mangopaddle/speed"
	"github.com/mangopaddle/mangopaddle/testkit"
)

// recordingDelegate implements the delegates of a node and a broadcaster. It keeps what
// it receives.
type recordingDelegate struct {
	mu      sync.Mutex
	updates []peer.LoadUpdate
}

func (rd *recordingDelegate) StateFor(peer.State) peer.State        { return peer.State{} }
func (rd *recordingDelegate) MergeState(time.Time, peer.State)      {}
func (rd *recordingDelegate) Configuration() peer.Configuration     { return peer.Configuration{} }
func (rd *recordingDelegate) MergeConfiguration(peer.Configuration) {}
func (rd *recordingDelegate) Origin(context.Context, peer.OriginRequest) peer.Origin {
	return peer.Origin{}
}
func (rd *recordingDelegate) FastGossip() bool               { return false }
func (rd *recordingDelegate) LocalPeers() []peer.Address     { return nil }
func (rd *recordingDelegate) RemoteContacts() []peer.Address { return nil }
func (rd *recordingDelegate) LocalLoads(int) (map[mp.ServerID]peer.Load, peer.Digest) {
	return nil, peer.Digest{}
}
func (rd *recordingDelegate) DataCentreLoads() (map[mp.ServerID]peer.Load, bool) { return nil, false }

func (rd *recordingDelegate) Usage(bool) fairness.Report { return nil }

func (rd *recordingDelegate) Origins(int) origin.Report { return nil }

func (rd *recordingDelegate) ReceiveOrigins(origin.Report) {}

func (rd *recordingDelegate) Suspects() []quarantine.Report { return nil }

func (rd *recordingDelegate) Speeds(bool) map[mp.ServiceName]speed.Report { return nil }

func (rd *recordingDelegate) ReceiveLoads(update peer.LoadUpdate) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.updates = append(rd.updates, update)
}

func (rd *recordingDelegate) received() []peer.LoadUpdate {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	return rd.updates
}

// TestMalformedLoadUpdatesAreRefused sends datagrams that are cut, foreign or impossible.
// The one after them must still arrive, alone, and the refusals are logged once.
func TestMalformedLoadUpdatesAreRefused(t *testing.T) {
	address, logs, delegate := loopback.Address(), &testkit.LogBuffer{}, &recordingDelegate{}
	stop, err := peer.NewLoadBroadcaster("host-1", peer.Member{}, address, delegate, delegate, peer.WithBroadcasterLogger(zerolog.New(logs)))
	require.NoError(t, err)
	t.Cleanup(stop)
	nc, err := net.Dial("udp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	for _, datagram := range []string{
		"", "x", "{", `{"host":`, "[]", "{}", `{"host":""}`, strings.Repeat("[", 16<<10),
		`{"host":"h","loads":{"e":{"unread":-5}}}`,
		`{"host":"h","loads":{"e":{"streams":-1}}}`,
		`{"host":"h","loads":{"e":{"unread":9000000000000000000}}}`,
		`{"host":"h","loads":{"e":{"unread":5,"t1":-1}}}`,
		`{"host":"h","loads":{"e":{"unread":5,"n1":-1}}}`,
		`{"host":"h","loads":{"e":{"unread":5,"t1":4,"t2":4}}}`,
		`{"host":"h","loads":{"e":{"unread":5,"n2":9000000000000000000}}}`,
		`{"host":"h","loads":{"e":{"unread":5,"t2":"many"}}}`,
		`{"host":"h","sequence":-1}`,
		`{"host":"h","usage":[{"service":"e","named":[{"offered":-1,"sent":-1}]}]}`,
		`{"host":"h","usage":[{"service":"e","named":[{"offered":1,"sent":2}]}]}`,
		`{"host":"h","usage":[{"service":"e","level":-1}]}`,
		`{"host":"h","usage":[{},{},{},{},{},{},{},{},{}]}`,
		`{"host":"h","demand":{"demands":[{"service":"s","rate":-1}]}}`,
		`{"host":"h","demand":{"demands":[{"service":"s","busy":1e300}]}}`,
		`{"host":"h","demand":{"demands":[{"service":"s","priority":-1}]}}`,
		`{"host":"h","demand":{"demands":[{"rate":1}]}}`,
		`{"host":"h","demand":{"demands":[{"service":"s","rate":1e-9,"busy":1e8}]}}`,
		`{"host":"h","demand":{"demands":[` + strings.Repeat(`{"service":"s"},`, 50) + `{"service":"s"}]}}`,
		`{"host":"h","suspects":[{"segment":1,"findings":-1}]}`,
		`{"host":"h","speeds":{"s":{"steps":{"first":-1,"counts":[1]}}}}`,
		`{"host":"h","speeds":{"s":{"steps":{"first":9223372036854775807,"counts":[1]}}}}`,
		`{"host":"h","speeds":{"s":{"prefills":{"counts":[-1]}}}}`,
		`{"host":"h","speeds":{"s":{"prefills":{"level":99}}}}`,
		`{"host":"h","suspects":[{"segment":1,"quarantine_left":"9000h"}]}`,
		`{"host":"h","forwards":["x"]}`,
		`{"host":"h","forwards":[` + strings.Repeat(`"10.0.0.1:1",`, 8) + `"10.0.0.1:1"]}`,
		`{"host":"h","origins":{"":{"v":["r-1"]}}}`,
		`{"host":"h","origins":{"s":{"":["r-1"]}}}`,
		`{"host":"h","origins":{"s":{"v":["a b"]}}}`,
		`{"host":"h","origins":{"s":{"v":[` + strings.Repeat(`"r",`, 2000) + `"r"]}}}`,
		`{"host":"h","suspects":[{"segment":1,"crashes":[{"server":"s","started_age":"1s","ended_age":"2s"}]}]}`,
	} {
		_, err := io.WriteString(nc, datagram)
		require.NoError(t, err)
	}
	_, err = io.WriteString(nc, `{"host":"h","sequence":1,"loads":{"e":{"unread":7}}}`)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(delegate.received()) > 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, mp.Tokens(7), delegate.received()[0].Loads["e"].PrefillTokens)
	require.Equal(t, 1, logs.Count("load_update_refused"))
}

// TestExchangeWithoutEndIsCutOff sends a message without end. The node must close the
// connection after a bounded number of bytes, and go on serving others.
func TestExchangeWithoutEndIsCutOff(t *testing.T) {
	const bound = 64 << 20
	self := peer.Member{Address: peer.Address(loopback.Address())}
	_, stop, err := peer.New(self, nil, &recordingDelegate{})
	require.NoError(t, err)
	t.Cleanup(stop)
	nc, err := net.Dial("tcp", string(self.Address))
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_, err = io.WriteString(nc, `{"jsonrpc":"2.0","id":1,"method":"`)
	require.NoError(t, err)
	block, sent := strings.Repeat("x", 64<<10), 0
	for sent < bound {
		count, err := io.WriteString(nc, block)
		sent += count
		if err != nil {
			break
		}
	}
	require.Less(t, sent, bound)
	other, err := net.Dial("tcp", string(self.Address))
	require.NoError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	_, err = io.WriteString(other, `{"jsonrpc":"2.0","id":1,"method":"state.exchange","params":{}}`)
	require.NoError(t, err)
	var response struct{ Result peer.State }
	require.NoError(t, json.NewDecoder(other).Decode(&response))
	require.Equal(t, self, response.Result.From)
}

// FuzzLoadTable checks that any decodable updates, in any order, leave no load behind
// once their senders have fallen silent.
func FuzzLoadTable(f *testing.F) {
	f.Add(`{"host":"a","sequence":1,"loads":{"e":{"unread":5}}}`, `{"host":"a","sequence":9,"whole":true}`)
	f.Add(`{"host":"a","whole":true,"from":{"data_centre":"d"},"loads":{"e":{"streams":2}}}`, `{"host":"b","loads":{"e":{"unread":1}}}`)
	f.Fuzz(func(t *testing.T, one, two string) {
		lt := peer.NewLoadTable("self", "dc-1")
		servers := map[mp.ServerID]bool{}
		for ix, text := range []string{one, two, one} {
			var update peer.LoadUpdate
			if json.Unmarshal([]byte(text), &update) != nil {
				continue
			}
			lt.Add(start.Add(time.Duration(ix)*time.Millisecond), update)
			for id := range update.Loads {
				servers[id] = true
			}
		}
		lt.Expire(start.Add(time.Minute))
		for id := range servers {
			require.Zero(t, lt.Total(id))
		}
	})
}
