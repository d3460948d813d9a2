package peer

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// gossipInterval is the mean interval between two exchanges.
	gossipInterval = 3 * time.Second
	// fastGossipInterval is the mean interval while Delegate.FastGossip returns true,
	// for example because other hosts are the only source of state.
	fastGossipInterval = 400 * time.Millisecond
	// stallTimeout is the time without progress after which an exchange or a transfer
	// fails, including the dial.
	stallTimeout = 700 * time.Millisecond
	// maxExchangeTime bounds an exchange as a whole. It leaves time for a list of
	// 10,000 servers on a link of 10 Mbit/s.
	maxExchangeTime = 2 * time.Second
	// serverStallTimeout is the time without progress after which an incoming connection
	// is closed, and maxConnectionTime bounds it as a whole.
	serverStallTimeout = 5 * time.Second
	maxConnectionTime  = 10 * time.Second
	// maxConnections is the maximum number of incoming connections; more are closed
	// at once.
	maxConnections = 32
)

// Delegate gives a Node access to the state that it gossips.
type Delegate interface {
	// Configuration returns the configuration in force. Its version is zero if there is
	// none.
	Configuration() Configuration
	// MergeConfiguration takes the configuration of another host.
	MergeConfiguration(received Configuration)
	// StateFor returns a digest of the local state and the parts of it that are
	// newer than the remote state. The zero State is older than any other.
	StateFor(remote State) State
	// MergeState merges the state that another host sent. The ages in it are
	// relative to the given time.
	MergeState(at time.Time, received State)
	// Origin returns what the host knows of where a stream began.
	Origin(ctx context.Context, rq OriginRequest) Origin
	// FastGossip reports whether to use the short gossip interval, for example while
	// the store is unavailable to this host.
	FastGossip() bool
}

// Node gossips with the other hosts of the deployment. It is safe for concurrent
// use.
type Node struct {
	clock    clockwork.Clock
	logger   zerolog.Logger
	self     Member
	delegate Delegate
	dial     DialFunc
	// onDial is called with the time that a connection took to open.
	onDial func(dc mp.DataCentreID, took time.Duration)

	mu          sync.Mutex
	members     *MemberList
	unreachable map[Address]bool // hosts whose last exchange failed
	requested   chan Address     // hosts passed to TriggerExchange
	// introductions are the last ones to hosts of other data centres.
	introductions map[Address]*introduction
	// newerConfigurations are the hosts passed to TriggerTransfer; transfers limits the
	// configurations that are sent at once.
	newerConfigurations chan Address
	transfers           chan struct{}
	// largeMessage has room for the incoming connection that may send a large message.
	largeMessage chan struct{}
}

// Option configures a node.
type Option func(*Node)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(no *Node) { no.clock = clock }
}

// WithLogger sets the logger for failed and recovered exchanges. The default
// discards them.
func WithLogger(logger zerolog.Logger) Option {
	return func(no *Node) { no.logger = logger }
}

// DialFunc opens a connection to the address of another host.
type DialFunc func(ctx context.Context, address Address) (net.Conn, error)

// WithDialer sets how connections to other hosts are opened. The default is TCP.
func WithDialer(dial DialFunc) Option {
	return func(no *Node) { no.dial = dial }
}

// WithOnDial sets a function that is called with the time that each connection to a host of a
// data centre took to open: one round trip.
func WithOnDial(onDial func(dc mp.DataCentreID, took time.Duration)) Option {
	return func(no *Node) { no.onDial = onDial }
}

// dataCentreOf returns the data centre of a host; empty if it is unknown.
func (no *Node) dataCentreOf(remote Address) mp.DataCentreID {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.members[remote].dataCentre
}

func dialTCP(ctx context.Context, address Address) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", string(address))
}

// New listens on the address of self and starts to gossip, first with the seeds. It
// returns the node and a function that stops it, or an error if the address can't
// be bound.
func New(self Member, seeds []Address, delegate Delegate, opts ...Option) (*Node, func(), error) {
	no := &Node{
		clock:       clockwork.NewRealClock(),
		logger:      zerolog.Nop(),
		self:        self,
		delegate:    delegate,
		dial:        dialTCP,
		onDial:      func(mp.DataCentreID, time.Duration) {},
		unreachable: map[Address]bool{},

		introductions: map[Address]*introduction{},
		requested:     make(chan Address, 1),

		newerConfigurations: make(chan Address, 1),
		transfers:           make(chan struct{}, maxTransfers),
		largeMessage:        make(chan struct{}, 1),
	}
	no.members = NewMemberList(self, seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for _, opt := range opts {
		opt(no)
	}
	listener, err := net.Listen("tcp", string(self.Address))
	if err != nil {
		return nil, nil, errors.Annotate(err, "cannot listen for other hosts")
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { no.accept(ctx, listener) })
	group.Go(func() { no.run(ctx) })
	group.Go(func() { no.runTransfers(ctx) })
	return no, func() {
		cancel()
		_ = listener.Close()
		group.Wait()
	}, nil
}

// SetSeeds replaces the seeds of the member list.
func (no *Node) SetSeeds(seeds []Address) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.members.SetSeeds(seeds)
}

// LocalPeers implements Recipients.
func (no *Node) LocalPeers() []Address {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.LocalPeers(no.clock.Now())
}

// RemoteContacts implements Recipients.
func (no *Node) RemoteContacts() []Address {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.RemoteContacts(no.clock.Now())
}

// MarkSeen records that a host was heard of, other than by an exchange.
func (no *Node) MarkSeen(member Member) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.members.MarkSeen(no.clock.Now(), member)
}

// TriggerExchange requests an exchange with a host ahead of the interval. It does
// not block, and drops the request if another one is pending.
func (no *Node) TriggerExchange(remote Address) {
	select {
	case no.requested <- remote:
	default:
	}
}

// MemberCount returns the number of members that were seen recently.
func (no *Node) MemberCount() int {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.Count(no.clock.Now())
}

// mergeState merges the members and the state of another host, and fetches its
// configuration if that is newer.
func (no *Node) mergeState(at time.Time, remote State) {
	no.mu.Lock()
	no.members.MarkSeen(no.clock.Now(), remote.From)
	no.members.AddReported(no.clock.Now(), remote.Members)
	no.mu.Unlock()
	no.delegate.MergeState(at, remote)
	if remote.From.Address != "" && remote.Version > no.delegate.Configuration().Version {
		no.TriggerTransfer(remote.From.Address)
	}
}

// stateFor returns the message for a host with the given state.
func (no *Node) stateFor(remote State) State {
	local := no.delegate.StateFor(remote)
	no.mu.Lock()
	defer no.mu.Unlock()
	local.From = no.self
	dataCentre := remote.From.DataCentre
	if dataCentre == "" { // the receiver of a first message is unknown
		dataCentre = no.self.DataCentre
	}
	local.Members = no.members.Sample(no.clock.Now(), dataCentre)
	return local
}

// run starts an exchange with a random host at each interval, and runs requested
// exchanges in between.
func (no *Node) run(ctx context.Context) {
	for ctx.Err() == nil {
		no.mu.Lock()
		remote := no.members.RandomPeer(no.clock.Now())
		no.mu.Unlock()
		interval := gossipInterval
		if no.delegate.FastGossip() {
			interval = fastGossipInterval
		}
		timer := no.clock.After(interval/2 + time.Duration(rand.Int64N(int64(interval))))
		if remote != "" {
			no.runExchange(ctx, remote)
		}
		no.runRequestedExchanges(ctx, timer)
	}
}

// runRequestedExchanges runs requested exchanges until the timer fires.
func (no *Node) runRequestedExchanges(ctx context.Context, timer <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer:
			return
		case remote := <-no.requested:
			no.runExchange(ctx, remote)
		}
	}
}

func (no *Node) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-no.clock.After(wait):
	}
}

// runExchange runs an exchange with a host and logs when exchanges with it start to fail
// and when they recover.
func (no *Node) runExchange(ctx context.Context, remote Address) {
	started := no.clock.Now()
	traffic, err := no.exchange(ctx, remote)
	no.recordResult(remote, traffic, no.clock.Since(started), err)
}

// exchange runs a push-pull exchange: it sends a digest, merges the response with
// the parts that this host lacks, and then sends the parts that the remote host
// lacks, if any. It also returns what it sent and received until then.
func (no *Node) exchange(ctx context.Context, remote Address) (Traffic, error) {
	ctx, cancel := context.WithTimeout(ctx, maxExchangeTime)
	defer cancel()
	return no.withConn(ctx, remote, func(conn *jsonrpc2.Conn) error {
		sentAt := no.clock.Now()
		response, err := no.call(ctx, conn, no.stateFor(State{Digest: Digest{ListPosition: latestPosition}}))
		if err != nil {
			return errors.Trace(err)
		}
		no.mergeState(sentAt, response)
		missing := no.stateFor(response)
		if missing.PackedServers == nil {
			return nil
		}
		_, err = no.call(ctx, conn, missing)
		return errors.Trace(err)
	})
}

// withConn opens a connection to a host, makes calls on it and closes it. It returns what
// was transferred.
func (no *Node) withConn(ctx context.Context, remote Address, calls func(*jsonrpc2.Conn) error) (Traffic, error) {
	dialing, cancel := context.WithTimeout(ctx, stallTimeout)
	defer cancel()
	started := no.clock.Now()
	nc, err := no.dial(dialing, remote)
	if err != nil {
		return Traffic{}, errors.Trace(err)
	}
	if dc := no.dataCentreOf(remote); dc != "" {
		no.onDial(dc, no.clock.Since(started))
	}
	pc := newPeerConn(nc, stallTimeout)
	conn := no.newRPCConn(ctx, pc)
	defer func() { _ = conn.Close() }()
	err = calls(conn)
	return pc.traffic(), errors.Trace(err)
}

// latestPosition stands in for the unknown position of a remote host, so that the
// first message of an exchange carries only the digest and a sample of members.
var latestPosition = ListPosition{Era: math.MaxUint64, Revision: math.MaxUint64}

func (no *Node) call(ctx context.Context, conn *jsonrpc2.Conn, local State) (State, error) {
	var response State
	err := conn.Call(ctx, string(MethodExchange), local, &response)
	return response, errors.Trace(err)
}

// recordResult logs when exchanges with a host start to fail and when they
// recover, with what the failed one transferred.
func (no *Node) recordResult(remote Address, traffic Traffic, took time.Duration, err error) {
	no.mu.Lock()
	defer no.mu.Unlock()
	switch {
	case err != nil && !no.unreachable[remote]:
		no.unreachable[remote] = true
		no.logger.Warn().Str("event", "peer_lost").Str("peer", string(remote)).
			Int64("sent_bytes", int64(traffic.Sent)).Int64("received_bytes", int64(traffic.Received)).Dur("took_ms", took).Err(err).Msg("peer unreachable")
	case err == nil && no.unreachable[remote]:
		delete(no.unreachable, remote)
		no.logger.Info().Str("event", "peer_regained").Str("peer", string(remote)).Msg("peer reachable again")
	}
}
