package peer

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// sheetInterval is the time between two load sheets.
	sheetInterval = 100 * time.Millisecond
	// calmSheets is how many intervals pass between two sheets without loads.
	calmSheets = 3
	// wholeSheets is how many intervals pass between two sheets to other data
	// centres.
	wholeSheets = 2
	// sheetLimit bounds a datagram.
	sheetLimit = 16 << 10 // bytes
)

// LoadDelegate is what the exchange of load sheets needs of its host.
type LoadDelegate interface {
	// LocalLoads returns the loads of this host and how new its knowledge is.
	LocalLoads() (map[mp.ServerID]Load, Digest)
	// DataCentreLoads returns the loads of the data centre; false if another host
	// tells the other data centres.
	DataCentreLoads() (map[mp.ServerID]Load, bool)
	// ReceiveLoads takes a sheet of another host.
	ReceiveLoads(sheet LoadUpdate)
}

// Recipients names the hosts that sheets go to.
type Recipients interface {
	// LocalPeers returns the other hosts of the data centre.
	LocalPeers() []Address
	// RemoteContacts returns one host of each other data centre.
	RemoteContacts() []Address
}

// LoadBroadcaster sends the host's sheet to other hosts and receives theirs.
type LoadBroadcaster struct {
	clock    clockwork.Clock
	logger   zerolog.Logger
	host     mp.HostID
	self     Member
	port     uint16
	conn     *net.UDPConn
	others   Recipients
	reporter LoadDelegate
	sequence uint64
}

// LoadBroadcasterOption changes loads under construction.
type LoadBroadcasterOption func(*LoadBroadcaster)

// WithBroadcasterClock sets the clock.
func WithBroadcasterClock(clock clockwork.Clock) LoadBroadcasterOption {
	return func(lo *LoadBroadcaster) { lo.clock = clock }
}

// WithBroadcasterLogger sets the logger.
func WithBroadcasterLogger(logger zerolog.Logger) LoadBroadcasterOption {
	return func(lo *LoadBroadcaster) { lo.logger = logger }
}

// NewLoadBroadcaster starts to exchange load sheets at an address. All hosts use the same
// port. It returns a function that stops it.
func NewLoadBroadcaster(host mp.HostID, self Member, address string, others Recipients, reporter LoadDelegate, opts ...LoadBroadcasterOption) (func(), error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.NewNotValid(err, "address of load sheets")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Annotate(err, "socket for load sheets")
	}
	lo := &LoadBroadcaster{
		clock:    clockwork.NewRealClock(),
		logger:   zerolog.Nop(),
		host:     host,
		self:     self,
		port:     at.Port(),
		conn:     conn,
		others:   others,
		reporter: reporter,
	}
	for _, opt := range opts {
		opt(lo)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(lo.receive)
	group.Go(func() { lo.run(stop) })
	return func() {
		close(stop)
		_ = conn.Close()
		group.Wait()
	}, nil
}

// receive takes the sheets of other hosts. The sheet of another data centre is
// passed on to the hosts of this one.
func (lo *LoadBroadcaster) receive() {
	data := make([]byte, sheetLimit)
	for {
		count, _, err := lo.conn.ReadFromUDPAddrPort(data)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a datagram that was refused elsewhere is reported here
		}
		var sheet LoadUpdate
		if err := json.Unmarshal(data[:count], &sheet); err != nil || sheet.Host == "" || sheet.Host == lo.host {
			continue
		}
		if sheet.Aggregate && sheet.Relay {
			sheet.Relay = false
			lo.write(sheet, lo.others.LocalPeers())
		}
		lo.reporter.ReceiveLoads(sheet)
	}
}

// run sends sheets at an interval until it is stopped.
func (lo *LoadBroadcaster) run(stop <-chan struct{}) {
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		case <-lo.clock.After(sheetInterval*3/4 + time.Duration(rand.Int64N(int64(sheetInterval/2)))):
		}
		lo.send(round)
	}
}

func (lo *LoadBroadcaster) send(round int) {
	loads, freshness := lo.reporter.LocalLoads()
	lo.sequence++
	sheet := LoadUpdate{From: lo.self, Host: lo.host, Sequence: lo.sequence, Digest: freshness, Loads: loads}
	if len(loads) > 0 || round%calmSheets == 0 {
		lo.write(sheet, lo.others.LocalPeers())
	}
	if round%wholeSheets != 0 {
		return
	}
	if whole, ok := lo.reporter.DataCentreLoads(); ok && len(whole) > 0 {
		sheet.Aggregate, sheet.Relay, sheet.Loads = true, true, whole
		lo.write(sheet, lo.others.RemoteContacts())
	}
}

func (lo *LoadBroadcaster) write(sheet LoadUpdate, others []Address) {
	data, err := json.Marshal(sheet)
	if err != nil || len(data) > sheetLimit {
		lo.logger.Error().Str("event", "sheet_failed").Err(err).Int("bytes", len(data)).Msg("load sheet not sent")
		return
	}
	for _, other := range others {
		at, err := netip.ParseAddrPort(string(other))
		if err != nil {
			continue
		}
		// A datagram that can't be sent is as good as lost.
		_, _ = lo.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(at.Addr(), lo.port))
	}
}
