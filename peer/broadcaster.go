package peer

import (
	"cmp"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/brittle"
	"github.com/mangopaddle/mangopaddle/evacuation"
	"github.com/mangopaddle/mangopaddle/fairness"
	"github.com/mangopaddle/mangopaddle/origin"
	"github.com/mangopaddle/mangopaddle/quarantine"
	"github.com/mangopaddle/mangopaddle/speed"
)

const (
	// minUpdateInterval is the shortest mean interval between two rounds of load
	// updates.
	minUpdateInterval = 100 * time.Millisecond
	// updateIntervalPerPeer bounds the updates that a host sends and receives to 200
	// a second, however many hosts the data centre has.
	updateIntervalPerPeer = 5 * time.Millisecond
	// idleUpdateRounds is the number of rounds between two updates of a host
	// without loads.
	idleUpdateRounds = 3
	// aggregateRounds is the number of rounds between two aggregates to other data
	// centres.
	aggregateRounds = 2
	// maxDatagramBytes is the maximum size of an encoded update in bytes.
	maxDatagramBytes = 16 << 10
	// maxSuspectBytes is the maximum size in it of the reports on prompts that crash
	// servers.
	maxSuspectBytes = maxDatagramBytes / 2
	// maxUsageBytes is the maximum size in it of the usage of organisations.
	maxUsageBytes = maxDatagramBytes / 4
	// maxOriginBytes is the maximum size in it of the identifiers of streams.
	maxOriginBytes = maxDatagramBytes / 8
	// maxEvacuationBytes is the maximum size in it of the list of evacuated data centres.
	maxEvacuationBytes = maxDatagramBytes / 4
)

// UpdateInterval returns the mean interval between two rounds of load updates in a data
// centre in which this host has a number of peers.
func UpdateInterval(peers int) time.Duration {
	return max(minUpdateInterval, time.Duration(peers)*updateIntervalPerPeer)
}

// LoadDelegate supplies the loads that a LoadBroadcaster sends and takes those
// that it receives.
type LoadDelegate interface {
	// LocalLoads returns the loads of this host and a digest of its state. It is told
	// the number of other hosts of the data centre that get them.
	LocalLoads(peers int) (map[mp.ServerID]Load, Digest)
	// DataCentreLoads returns the loads of all hosts of the data centre; false if
	// another host sends them to the other data centres.
	DataCentreLoads() (map[mp.ServerID]Load, bool)
	// Suspects returns what other hosts should know of prompts that crash servers.
	Suspects() []quarantine.Report
	// Usage returns what organisations use of scarce services at this host, or in the whole
	// data centre.
	Usage(ofDataCentre bool) fairness.Report
	// Origins returns where streams began that other hosts have not been told of. Their
	// identifiers are at most maxBytes long together.
	Origins(maxBytes int) origin.Report
	// Speeds returns what this host or, for an aggregate, all hosts of the data centre have
	// observed of the speed of engines.
	Speeds(aggregate bool) map[mp.ServiceName]speed.Report
	// ReceiveLoads takes the update of another host. The broadcaster calls it on
	// its receiving goroutine.
	ReceiveLoads(update LoadUpdate)
	// ReceiveOrigins takes where streams of other hosts began, in the same way.
	ReceiveOrigins(origins origin.Report)
}

// Recipients lists the hosts to which load updates are sent, by their gossip addresses.
// The updates go to the same IP addresses, but to the port for load updates.
type Recipients interface {
	// LocalPeers returns the other hosts of the data centre.
	LocalPeers() []Address
	// RemoteContacts returns one host of each other data centre.
	RemoteContacts() []Address
}

// LoadBroadcaster sends the host's load updates to other hosts and receives
// theirs.
type LoadBroadcaster struct {
	clock      clockwork.Clock
	logger     zerolog.Logger
	host       mp.HostID
	self       Member
	port       uint16
	conn       *net.UDPConn
	recipients Recipients
	delegate   LoadDelegate
	sequence   uint64
	// usageSentAt and aggregateUsageSentAt are when the last update had the usage of this
	// host, and of the data centre.
	usageSentAt          time.Time
	aggregateUsageSentAt time.Time
	// speedTurn and aggregateSpeedTurn select the services on whose speed the updates of
	// this host, and of the data centre, report.
	speedTurn, aggregateSpeedTurn speedTurn
	// refused counts the updates that were refused; refusalLoggedAt is when the last
	// one was logged.
	refused         int64
	refusalLoggedAt time.Time
	// trimLoggedAt is when the last update that was too large was logged.
	trimLoggedAt time.Time
	// demands is nil if updates carry none; the times are when they were sent last.
	demands                             func(aggregate bool) []Demand
	demandsSentAt, aggregateDemandsSent time.Time
	// forwards returns the hosts that accept forwards.
	forwards func() []Address
	// brittle is nil if updates don't tell of brittle services.
	brittle func(aggregate bool) brittle.Reports
}

// LoadBroadcasterOption configures a broadcaster.
type LoadBroadcasterOption func(*LoadBroadcaster)

// WithBroadcasterClock sets the clock. The default is the real clock.
func WithBroadcasterClock(clock clockwork.Clock) LoadBroadcasterOption {
	return func(lb *LoadBroadcaster) { lb.clock = clock }
}

// WithBroadcasterLogger sets the logger. The default discards all lines.
func WithBroadcasterLogger(logger zerolog.Logger) LoadBroadcasterOption {
	return func(lb *LoadBroadcaster) { lb.logger = logger }
}

// NewLoadBroadcaster listens for load updates on a UDP address and starts to send
// them. All hosts must use the same port. It returns a function that stops the
// broadcaster, or an error if the address is invalid or can't be bound.
func NewLoadBroadcaster(host mp.HostID, self Member, address string, recipients Recipients, delegate LoadDelegate, opts ...LoadBroadcasterOption) (func(), error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.NewNotValid(err, "address for load updates")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Annotate(err, "cannot listen for load updates")
	}
	lb := &LoadBroadcaster{
		clock:      clockwork.NewRealClock(),
		logger:     zerolog.Nop(),
		host:       host,
		self:       self,
		port:       addr.Port(),
		conn:       conn,
		recipients: recipients,
		delegate:   delegate,
		forwards:   func() []Address { return nil },
	}
	for _, opt := range opts {
		opt(lb)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(lb.receive)
	group.Go(func() { lb.run(stop) })
	return func() {
		close(stop)
		_ = conn.Close()
		group.Wait()
	}, nil
}

// receive handles the updates of other hosts and relays those of other data
// centres to the hosts of this one.
func (lb *LoadBroadcaster) receive() {
	data := make([]byte, maxDatagramBytes)
	for {
		count, _, err := lb.conn.ReadFromUDPAddrPort(data)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // usually the ICMP error for an earlier datagram that its receiver refused
		}
		update, err := decodeLoadUpdate(data[:count])
		if err != nil {
			lb.logRefusal(err)
			continue
		}
		if update.Host == lb.host {
			continue
		}
		if update.Origins != nil {
			lb.receiveOrigins(update)
			continue
		}
		if update.Aggregate && update.Relay {
			relayed := update
			relayed.Relay = false
			lb.write(relayed, lb.recipients.LocalPeers())
		}
		lb.delegate.ReceiveLoads(update)
	}
}

// maxPlausibleLoad is the highest load at one server that is believed, in prompt tokens,
// prompts or streams. A higher one can only be the result of a fault.
const maxPlausibleLoad = 1 << 32

// maxSuspectReports is the number of reports on prompts above which an update is refused.
const maxSuspectReports = 64

// decodeLoadUpdate decodes a datagram. It returns an error if the datagram can't be
// decoded, names no sender or has a load that can't be.
func decodeLoadUpdate(data []byte) (LoadUpdate, error) {
	var update LoadUpdate
	if err := json.Unmarshal(data, &update); err != nil {
		return LoadUpdate{}, errors.Annotate(err, "load update")
	}
	if update.Host == "" {
		return LoadUpdate{}, errors.NotValidf("load update without a host")
	}
	if len(update.Suspects) > maxSuspectReports {
		return LoadUpdate{}, errors.NotValidf("load update of host %q with %d suspects", update.Host, len(update.Suspects))
	}
	if err := update.Usage.Check(); err != nil {
		return LoadUpdate{}, errors.Annotatef(err, "load update of host %q", update.Host)
	}
	if err := update.Origins.Check(); err != nil {
		return LoadUpdate{}, errors.Annotatef(err, "load update of host %q", update.Host)
	}
	for _, re := range update.Suspects {
		if err := re.Check(); err != nil {
			return LoadUpdate{}, errors.Annotatef(err, "load update of host %q", update.Host)
		}
	}
	if err := update.Brittle.Check(); err != nil {
		return LoadUpdate{}, errors.Annotatef(err, "load update of host %q", update.Host)
	}
	if err := update.Demands.check(); err != nil {
		return LoadUpdate{}, errors.Annotatef(err, "load update of host %q", update.Host)
	}
	for id, load := range update.Loads {
		if err := load.check(); err != nil {
			return LoadUpdate{}, errors.Annotatef(err, "load update of host %q, server %q", update.Host, id)
		}
	}
	if err := update.checkSpeeds(); err != nil {
		return LoadUpdate{}, errors.Trace(err)
	}
	if err := update.checkForwards(); err != nil {
		return LoadUpdate{}, errors.Trace(err)
	}
	return update, nil
}

// refusalLogInterval is the shortest time between two log lines on refused updates.
const refusalLogInterval = time.Second

// logRefusal logs why an update was refused, at most once each refusalLogInterval. Only
// the receiving goroutine calls it.
func (lb *LoadBroadcaster) logRefusal(err error) {
	lb.refused++
	now := lb.clock.Now()
	if now.Sub(lb.refusalLoggedAt) < refusalLogInterval {
		return
	}
	lb.refusalLoggedAt = now
	lb.logger.Warn().Str("event", "load_update_refused").Int64("refused_so_far", lb.refused).Err(err).Msg("load update refused")
}

// run sends updates at a jittered interval until it is stopped.
func (lb *LoadBroadcaster) run(stop <-chan struct{}) {
	for round := 0; ; round++ {
		peers := lb.recipients.LocalPeers()
		interval := UpdateInterval(len(peers))
		select {
		case <-stop:
			return
		case <-lb.clock.After(interval*3/4 + time.Duration(rand.Int64N(int64(interval/2)))):
		}
		lb.send(round, peers)
		lb.sendOrigins(peers)
	}
}

func (lb *LoadBroadcaster) send(round int, peers []Address) {
	loads, digest := lb.delegate.LocalLoads(len(peers))
	lb.sequence++
	update := LoadUpdate{From: lb.self, Host: lb.host, Sequence: lb.sequence, Digest: digest, Loads: loads, Suspects: lb.delegate.Suspects()}
	update.Speeds = lb.speeds(&lb.speedTurn, false)
	update.Usage = lb.usage(&lb.usageSentAt, false)
	update.Demands = lb.demandReport(false, &lb.demandsSentAt)
	update.Brittle = lb.brittleReports(false)
	if len(loads) > 0 || len(update.Suspects) > 0 || len(update.Usage) > 0 || update.Demands != nil || len(update.Brittle) > 0 || round%idleUpdateRounds == 0 {
		lb.write(update, peers)
	}
	if round%aggregateRounds != 0 {
		return
	}
	if aggregate, ok := lb.delegate.DataCentreLoads(); ok {
		update.Aggregate, update.Relay, update.Loads = true, true, aggregate
		update.Usage = lb.usage(&lb.aggregateUsageSentAt, true)
		update.Speeds = lb.speeds(&lb.aggregateSpeedTurn, true)
		update.Demands = lb.demandReport(true, &lb.aggregateDemandsSent)
		update.Forwards = lb.forwards()
		update.Brittle = lb.brittleReports(true)
		lb.write(update, lb.recipients.RemoteContacts())
	}
}

func (lb *LoadBroadcaster) write(update LoadUpdate, recipients []Address) {
	data, left, err := encodeLoadUpdate(update)
	if err != nil {
		lb.logger.Error().Str("event", "load_update_failed").Err(err).Msg("load update not sent")
		return
	}
	if left < len(update.Loads) {
		lb.logTrimmed(len(update.Loads), left)
	}
	for _, recipient := range recipients {
		addr, err := netip.ParseAddrPort(string(recipient))
		if err != nil {
			continue
		}
		// Delivery is best effort: a send error counts as a lost datagram.
		_, _ = lb.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(addr.Addr(), lb.port))
	}
}

// encodeLoadUpdate encodes an update for a datagram. If it is too large, only the most urgent
// reports and the servers with the most load stay in it: without the others it still shows
// that the host is alive and which versions it has. encodeLoadUpdate also returns the
// number of servers left.
func encodeLoadUpdate(update LoadUpdate) ([]byte, int, error) {
	suspects, err := mostUrgent(update.Suspects)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	update.Suspects = suspects
	if update.Usage, err = boundedUsage(update.Usage); err != nil {
		return nil, 0, errors.Trace(err)
	}
	if update.Brittle, err = boundedBrittle(update.Brittle); err != nil {
		return nil, 0, errors.Trace(err)
	}
	if update.Evacuations, err = boundedEvacuations(update.Evacuations); err != nil {
		return nil, 0, errors.Trace(err)
	}
	for {
		data, err := json.Marshal(update)
		if err != nil || len(data) <= maxDatagramBytes {
			return data, len(update.Loads), errors.Trace(err)
		}
		if len(update.Loads) == 0 {
			return nil, 0, errors.NotValidf("load update of %d bytes without loads", len(data))
		}
		update.Loads = largestLoads(update.Loads, len(update.Loads)*3/4)
	}
}

// boundedEvacuations returns the list, or nil if it is too long for a datagram. It isn't
// shortened, because the receiver would take the missing evacuations for ended; exchanges
// carry it whole.
func boundedEvacuations(list *evacuation.List) (*evacuation.List, error) {
	if list == nil {
		return nil, nil
	}
	data, err := json.Marshal(list)
	if err != nil || len(data) > maxEvacuationBytes {
		return nil, errors.Trace(err)
	}
	return list, nil
}

// mostUrgent returns the first reports that are at most maxSuspectBytes long together.
func mostUrgent(reports []quarantine.Report) ([]quarantine.Report, error) {
	total := 0
	for ix, re := range reports {
		data, err := json.Marshal(re)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if total += len(data) + len(","); total > maxSuspectBytes {
			return reports[:ix], nil
		}
	}
	return reports, nil
}

// largestLoads returns the given number of loads with the most prompt tokens, or the most
// streams among equals.
func largestLoads(loads map[mp.ServerID]Load, count int) map[mp.ServerID]Load {
	servers := slices.Collect(maps.Keys(loads))
	slices.SortFunc(servers, func(one, two mp.ServerID) int {
		return cmp.Or(cmp.Compare(loads[two].PrefillTokens, loads[one].PrefillTokens), cmp.Compare(loads[two].Streams, loads[one].Streams), cmp.Compare(one, two))
	})
	kept := make(map[mp.ServerID]Load, count)
	for _, id := range servers[:count] {
		kept[id] = loads[id]
	}
	return kept
}

// logTrimmed logs that an update was too large for all loads, at most once each
// refusalLogInterval. Only the sending goroutine calls it.
func (lb *LoadBroadcaster) logTrimmed(servers, left int) {
	now := lb.clock.Now()
	if now.Sub(lb.trimLoggedAt) < refusalLogInterval {
		return
	}
	lb.trimLoggedAt = now
	lb.logger.Warn().Str("event", "load_update_trimmed").Int("servers", servers).Int("left", left).Msg("load update too large for a datagram; servers with little load left out")
}
