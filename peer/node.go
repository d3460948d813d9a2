package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// calmInterval is the time between two exchanges while the store answers.
	calmInterval = 3 * time.Second
	// urgentInterval is the same while it doesn't: other hosts are then the only
	// source.
	urgentInterval = 400 * time.Millisecond
	exchangeTime   = 700 * time.Millisecond // for a whole exchange
	// serveTime bounds a connection of another host.
	serveTime = 5 * time.Second
	// mostConnections bounds the connections of other hosts.
	mostConnections = 32
)

// Delegate holds what a host knows.
type Delegate interface {
	// StateFor returns what the host tells another one that knows less. The zero
	// Knowledge stands for a host that knows nothing.
	StateFor(other State) State
	// MergeState takes what another host told.
	MergeState(at time.Time, told State)
	// FastGossip says that the store doesn't answer this host.
	FastGossip() bool
}

// Node exchanges knowledge with other hosts.
type Node struct {
	clock  clockwork.Clock
	logger zerolog.Logger
	self   Member
	brain  Delegate

	mu      sync.Mutex
	members *MemberList
	lost    map[Address]bool
	asked   chan Address
}

// Option changes a node under construction.
type Option func(*Node)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(no *Node) { no.clock = clock }
}

// WithLogger sets where lost and regained hosts are logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(no *Node) { no.logger = logger }
}

// New listens for other hosts, starts to exchange knowledge with them, and
// returns a function that stops it.
func New(self Member, seeds []Address, brain Delegate, opts ...Option) (*Node, func(), error) {
	no := &Node{
		clock:  clockwork.NewRealClock(),
		logger: zerolog.Nop(),
		self:   self,
		brain:  brain,
		lost:   map[Address]bool{},
		asked:  make(chan Address, 1),
	}
	no.members = NewMemberList(self, seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for _, opt := range opts {
		opt(no)
	}
	listener, err := net.Listen("tcp", string(self.Address))
	if err != nil {
		return nil, nil, errors.Annotate(err, "listener for hosts")
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { no.accept(ctx, listener) })
	group.Go(func() { no.run(ctx) })
	return no, func() {
		cancel()
		_ = listener.Close()
		group.Wait()
	}, nil
}

// SetSeeds replaces the seeds.
func (no *Node) SetSeeds(seeds []Address) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.members.SetSeeds(seeds)
}

// LocalPeers implements Directory.
func (no *Node) LocalPeers() []Address {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.LocalPeers(no.clock.Now())
}

// RemoteContacts implements Directory.
func (no *Node) RemoteContacts() []Address {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.RemoteContacts(no.clock.Now())
}

// TriggerExchange exchanges knowledge with a host soon, unless that is under way.
func (no *Node) TriggerExchange(other Address) {
	select {
	case no.asked <- other:
	default:
	}
}

// MemberCount returns how many other hosts were heard of lately.
func (no *Node) MemberCount() int {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.Count(no.clock.Now())
}

// accept serves other hosts.
func (no *Node) accept(ctx context.Context, listener net.Listener) {
	places := make(chan struct{}, mostConnections)
	for {
		nc, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			no.logger.Error().Str("event", "peer_accept_failed").Err(err).Msg("connection of another host")
			no.sleep(ctx, urgentInterval)
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		go func() {
			defer func() { <-places }()
			no.serve(ctx, nc)
		}()
	}
}

func (no *Node) serve(ctx context.Context, nc net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, serveTime)
	defer cancel()
	handler := jsonrpc2.HandlerWithError(no.handle)
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(nc), handler)
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close()
	}
}

func (no *Node) handle(_ context.Context, _ *jsonrpc2.Conn, rq *jsonrpc2.Request) (any, error) {
	if rq.Method != string(MethodExchange) || rq.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
	var told State
	if err := json.Unmarshal(*rq.Params, &told); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params can't be read"}
	}
	no.learn(no.clock.Now(), told)
	return no.know(told), nil
}

// learn takes what another host told.
func (no *Node) learn(at time.Time, told State) {
	no.mu.Lock()
	no.members.MarkSeen(no.clock.Now(), told.From)
	no.members.AddReported(no.clock.Now(), told.Members)
	no.mu.Unlock()
	no.brain.MergeState(at, told)
}

// know returns what this host tells another one.
func (no *Node) know(other State) State {
	known := no.brain.StateFor(other)
	no.mu.Lock()
	defer no.mu.Unlock()
	known.From = no.self
	known.Members = no.members.Sample(no.clock.Now())
	return known
}

// run exchanges knowledge with one random host after the other, and with those
// that are known to know more.
func (no *Node) run(ctx context.Context) {
	for ctx.Err() == nil {
		no.mu.Lock()
		other := no.members.RandomPeer(no.clock.Now())
		no.mu.Unlock()
		interval := calmInterval
		if no.brain.FastGossip() {
			interval = urgentInterval
		}
		timer := no.clock.After(interval/2 + time.Duration(rand.Int64N(int64(interval))))
		if other != "" {
			no.note(other, no.exchange(ctx, other))
		}
		no.answerAsked(ctx, timer)
	}
}

// answerAsked exchanges knowledge with the hosts that were asked for until the
// timer fires.
func (no *Node) answerAsked(ctx context.Context, timer <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer:
			return
		case other := <-no.asked:
			no.note(other, no.exchange(ctx, other))
		}
	}
}

func (no *Node) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-no.clock.After(wait):
	}
}

// exchange tells another host what this one knows and learns what it knows. If
// the other one knows less, it is told the rest.
func (no *Node) exchange(ctx context.Context, other Address) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTime)
	defer cancel()
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", string(other))
	if err != nil {
		return errors.Trace(err)
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(nc), jsonrpc2.HandlerWithError(no.handle))
	defer func() { _ = conn.Close() }()
	asked := no.clock.Now()
	told, err := no.call(ctx, conn, no.know(State{Digest: Digest{Version: unknownVersion, ListRevision: unknownVersion}}))
	if err != nil {
		return errors.Trace(err)
	}
	no.learn(asked, told)
	rest := no.know(told)
	if rest.Configuration == nil && rest.Servers == nil {
		return nil
	}
	_, err = no.call(ctx, conn, rest)
	return errors.Trace(err)
}

// unknownVersion stands for a host of which nothing is known yet, so that it is
// sent no more than a summary.
const unknownVersion = 1<<63 - 1

func (no *Node) call(ctx context.Context, conn *jsonrpc2.Conn, tell State) (State, error) {
	var told State
	err := conn.Call(ctx, string(MethodExchange), tell, &told)
	return told, errors.Trace(err)
}

// note logs that another host was lost or regained.
func (no *Node) note(other Address, err error) {
	no.mu.Lock()
	defer no.mu.Unlock()
	switch {
	case err != nil && !no.lost[other]:
		no.lost[other] = true
		no.logger.Warn().Str("event", "peer_lost").Str("peer", string(other)).Err(err).Msg("another host doesn't answer")
	case err == nil && no.lost[other]:
		delete(no.lost, other)
		no.logger.Info().Str("event", "peer_regained").Str("peer", string(other)).Msg("another host answers")
	}
}
