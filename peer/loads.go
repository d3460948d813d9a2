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
	// sheetInterval is the time between two load sheets in a small deployment.
	sheetInterval = 100 * time.Millisecond
	// sheetLifetime is how long a sheet counts if no newer one comes.
	sheetLifetime = 600 * time.Millisecond
	// sheetLimit bounds a datagram.
	sheetLimit = 8 << 10 // bytes
)

// Load is what a host has outstanding at one backend server.
type Load struct {
	// Unread counts the prompt tokens of requests without a first event.
	Unread mp.Tokens `json:"unread"`
}

// Sheet is a host's loads at the backend servers. It is sent as a datagram; a
// lost one is made up for by the next.
type Sheet struct {
	// From tells the sheets of hosts apart; Sequence orders those of one host.
	From     mp.HostID            `json:"from"`
	Sequence uint64               `json:"sequence"`
	Loads    map[mp.ServerID]Load `json:"loads,omitempty"`
}

// Sheets holds the newest sheet of each other host. It does no I/O and is not
// safe for concurrent use.
type Sheets struct {
	newest map[mp.HostID]datedSheet
	unread map[mp.ServerID]mp.Tokens
}

type datedSheet struct {
	sheet Sheet
	at    time.Time
}

// NewSheets returns an empty holder.
func NewSheets() *Sheets {
	return &Sheets{newest: map[mp.HostID]datedSheet{}, unread: map[mp.ServerID]mp.Tokens{}}
}

// Add takes a sheet. One that is older than the host's newest is dropped, unless
// the host has started again.
func (sh *Sheets) Add(now time.Time, sheet Sheet) {
	known, ok := sh.newest[sheet.From]
	if ok && sheet.Sequence <= known.sheet.Sequence && now.Sub(known.at) < sheetLifetime {
		return
	}
	sh.remove(known.sheet)
	sh.newest[sheet.From] = datedSheet{sheet: sheet, at: now}
	for id, load := range sheet.Loads {
		sh.unread[id] += load.Unread
	}
}

func (sh *Sheets) remove(sheet Sheet) {
	for id, load := range sheet.Loads {
		sh.unread[id] -= load.Unread
		if sh.unread[id] <= 0 {
			delete(sh.unread, id)
		}
	}
}

// Expire drops the sheets of hosts that were not heard of lately.
func (sh *Sheets) Expire(now time.Time) {
	for host, dated := range sh.newest {
		if now.Sub(dated.at) >= sheetLifetime {
			sh.remove(dated.sheet)
			delete(sh.newest, host)
		}
	}
}

// Unread returns the prompt tokens that the other hosts have outstanding at a
// server.
func (sh *Sheets) Unread(id mp.ServerID) mp.Tokens { return sh.unread[id] }

// Hosts returns how many other hosts' sheets count.
func (sh *Sheets) Hosts() int { return len(sh.newest) }

// Loads sends the host's sheet to other hosts and receives theirs.
type Loads struct {
	clock    clockwork.Clock
	logger   zerolog.Logger
	host     mp.HostID
	port     uint16
	conn     *net.UDPConn
	others   func() []Address
	own      func() map[mp.ServerID]Load
	received func(Sheet)
	sequence uint64
	idle     bool // the last sheet was empty
}

// LoadsOption changes loads under construction.
type LoadsOption func(*Loads)

// WithLoadsClock sets the clock.
func WithLoadsClock(clock clockwork.Clock) LoadsOption {
	return func(lo *Loads) { lo.clock = clock }
}

// WithLoadsLogger sets the logger.
func WithLoadsLogger(logger zerolog.Logger) LoadsOption {
	return func(lo *Loads) { lo.logger = logger }
}

// NewLoads starts to exchange load sheets at an address. All hosts use the same
// port. It returns a function that stops it.
func NewLoads(host mp.HostID, address string, others func() []Address, own func() map[mp.ServerID]Load, received func(Sheet), opts ...LoadsOption) (func(), error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.NewNotValid(err, "address of load sheets")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Annotate(err, "socket for load sheets")
	}
	lo := &Loads{
		clock:    clockwork.NewRealClock(),
		logger:   zerolog.Nop(),
		host:     host,
		port:     at.Port(),
		conn:     conn,
		others:   others,
		own:      own,
		received: received,
	}
	for _, opt := range opts {
		opt(lo)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(lo.receive)
	group.Go(func() { lo.send(stop) })
	return func() {
		close(stop)
		_ = conn.Close()
		group.Wait()
	}, nil
}

func (lo *Loads) receive() {
	data := make([]byte, sheetLimit)
	for {
		count, _, err := lo.conn.ReadFromUDPAddrPort(data)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a datagram that was refused elsewhere is reported here
		}
		var sheet Sheet
		if err := json.Unmarshal(data[:count], &sheet); err != nil || sheet.From == "" || sheet.From == lo.host {
			continue
		}
		lo.received(sheet)
	}
}

// send sends the sheet at an interval. An empty one is sent once.
func (lo *Loads) send(stop <-chan struct{}) {
	for {
		others := lo.others()
		wait := sheetInterval
		select {
		case <-stop:
			return
		case <-lo.clock.After(wait*3/4 + time.Duration(rand.Int64N(int64(wait/2)))):
		}
		lo.sendOnce(others)
	}
}

func (lo *Loads) sendOnce(others []Address) {
	loads := lo.own()
	if len(loads) == 0 && lo.idle {
		return
	}
	lo.idle = len(loads) == 0
	lo.sequence++
	data, err := json.Marshal(Sheet{From: lo.host, Sequence: lo.sequence, Loads: loads})
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
