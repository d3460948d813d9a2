package peer

import (
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/brittle"
	"github.com/mangopaddle/mangopaddle/fairness"
	"github.com/mangopaddle/mangopaddle/origin"
	"github.com/mangopaddle/mangopaddle/quarantine"
	"github.com/mangopaddle/mangopaddle/speed"
)

// Load is the outstanding load of one or more hosts at a backend server.
type Load struct {
	// PrefillTokens is the number of prompt tokens in requests that have not produced
	// a first event.
	PrefillTokens mp.Tokens `json:"unread,omitempty"`
	// Level1Tokens and Level2Tokens are the parts of PrefillTokens with priority 1, and
	// with priority 2 or less urgent. Hosts of the previous release send neither, so that
	// their prompts count as the most urgent. Level1Prompts and Level2Prompts count the
	// prompts that these parts consist of.
	Level1Tokens  mp.Tokens `json:"t1,omitempty"`
	Level1Prompts int       `json:"n1,omitempty"`
	Level2Tokens  mp.Tokens `json:"t2,omitempty"`
	Level2Prompts int       `json:"n2,omitempty"`
	// Streams is the number of jitter-sensitive streams in progress: their events
	// must follow each other closely.
	Streams int `json:"streams,omitempty"`
}

func (lo Load) plus(other Load) Load {
	return Load{
		PrefillTokens: lo.PrefillTokens + other.PrefillTokens,
		Level1Tokens:  lo.Level1Tokens + other.Level1Tokens,
		Level1Prompts: lo.Level1Prompts + other.Level1Prompts,
		Level2Tokens:  lo.Level2Tokens + other.Level2Tokens,
		Level2Prompts: lo.Level2Prompts + other.Level2Prompts,
		Streams:       lo.Streams + other.Streams,
	}
}

func (lo Load) minus(other Load) Load {
	return Load{
		PrefillTokens: lo.PrefillTokens - other.PrefillTokens,
		Level1Tokens:  lo.Level1Tokens - other.Level1Tokens,
		Level1Prompts: lo.Level1Prompts - other.Level1Prompts,
		Level2Tokens:  lo.Level2Tokens - other.Level2Tokens,
		Level2Prompts: lo.Level2Prompts - other.Level2Prompts,
		Streams:       lo.Streams - other.Streams,
	}
}

// check returns an error if the load can't be.
func (lo Load) check() error {
	for _, value := range [...]int64{
		int64(lo.PrefillTokens), int64(lo.Level1Tokens), int64(lo.Level1Prompts), int64(lo.Level2Tokens), int64(lo.Level2Prompts), int64(lo.Streams),
	} {
		if value < 0 || value > maxPlausibleLoad {
			return errors.NotValidf("load %+v", lo)
		}
	}
	if lo.Level1Tokens+lo.Level2Tokens > lo.PrefillTokens {
		return errors.NotValidf("load %+v, whose parts exceed the whole,", lo)
	}
	return nil
}

// LoadUpdate is a datagram with a sender's loads by backend server and a digest of
// its state. It is a full update, so the next one makes up for a lost one.
type LoadUpdate struct {
	From Member    `json:"from"`
	Host mp.HostID `json:"host"`
	// Sequence increases with each update of the sender and starts at one.
	Sequence uint64 `json:"sequence"`
	// Aggregate marks the summed loads of all hosts of the sender's data centre.
	Aggregate bool `json:"whole,omitempty"`
	// Relay asks the receiver to forward the update to the hosts of its own data
	// centre.
	Relay bool `json:"direct,omitempty"`
	Digest
	Loads map[mp.ServerID]Load `json:"loads,omitempty"`
	// Suspects are the segments of prompts under which servers crashed.
	Suspects []quarantine.Report `json:"suspects,omitempty"`
	// Usage is what organisations use of services that can't serve all requests. Only a
	// few of the updates have it.
	Usage fairness.Report `json:"usage,omitempty"`
	// Speeds is what the sender or, in an aggregate, the hosts of its data centre have
	// observed of the speed of engines.
	Speeds map[mp.ServiceName]speed.Report `json:"speeds,omitempty"`
	// Brittle tells which services have brittle servers, as the sender or, in an aggregate, the
	// hosts of its data centre have heard from them.
	Brittle brittle.Reports `json:"brittle,omitempty"`
	// Demands are those of the sender's callers; nil in most updates.
	Demands *DemandReport `json:"demand,omitempty"`
	// Origins are those of streams that the sender has begun to relay; nil unless servers of
	// several software versions may serve. An update that has them says nothing of loads.
	Origins origin.Report `json:"origins,omitempty"`
	// Forwards are hosts of the sender's data centre that accept forwards. Only aggregates
	// have them.
	Forwards []Address `json:"forwards,omitempty"`
}

const (
	// minUpdateLifetime is how long the loads of an update count at least without a
	// newer one, and lifetimeIntervals the same in update intervals.
	minUpdateLifetime = 800 * time.Millisecond
	lifetimeIntervals = 4
	// minLivenessTimeout and livenessIntervals bound in the same way how long after its
	// last update a host counts as live.
	minLivenessTimeout = 1500 * time.Millisecond
	livenessIntervals  = 8
)

// LoadTable holds the latest load update of each other host of the data centre,
// and the latest aggregate of each other data centre. The updates also show which
// hosts are live. LoadTable does no I/O and is not safe for concurrent use.
type LoadTable struct {
	host        mp.HostID
	dataCentre  mp.DataCentreID
	hosts       map[mp.HostID]receivedUpdate
	dataCentres map[mp.DataCentreID]receivedUpdate
	total       map[mp.ServerID]Load
	interval    time.Duration // between two updates of a host
}

// SetUpdateInterval sets the mean interval between two updates of a host.
func (lt *LoadTable) SetUpdateInterval(interval time.Duration) { lt.interval = interval }

func (lt *LoadTable) updateLifetime() time.Duration {
	return max(minUpdateLifetime, lifetimeIntervals*lt.interval)
}

func (lt *LoadTable) livenessTimeout() time.Duration {
	return max(minLivenessTimeout, livenessIntervals*lt.interval)
}

// receivedUpdate is a load update with the time of its arrival.
type receivedUpdate struct {
	update     LoadUpdate
	receivedAt time.Time
}

// NewLoadTable returns an empty table for a host of a data centre.
func NewLoadTable(host mp.HostID, dataCentre mp.DataCentreID) *LoadTable {
	return &LoadTable{
		host:        host,
		dataCentre:  dataCentre,
		hosts:       map[mp.HostID]receivedUpdate{},
		dataCentres: map[mp.DataCentreID]receivedUpdate{},
		total:       map[mp.ServerID]Load{},
	}
}

// Add records an update. It drops one that arrives after a newer update of the same
// host or, for an aggregate, of the same data centre.
func (lt *LoadTable) Add(now time.Time, update LoadUpdate) {
	if update.Aggregate {
		replaceUpdate(lt, lt.dataCentres, update.From.DataCentre, now, update)
		return
	}
	replaceUpdate(lt, lt.hosts, update.Host, now, update)
}

func replaceUpdate[K comparable](lt *LoadTable, group map[K]receivedUpdate, key K, now time.Time, update LoadUpdate) {
	known := group[key]
	// After the lifetime, a lower number means that the sender has restarted or, for an
	// aggregate, that another host sends it.
	if update.Sequence <= known.update.Sequence && now.Sub(known.receivedAt) < lt.updateLifetime() {
		return
	}
	lt.subtract(known.update)
	group[key] = receivedUpdate{update: update, receivedAt: now}
	for id, load := range update.Loads {
		lt.total[id] = lt.total[id].plus(load)
	}
}

// subtract removes the loads of an update from the totals.
func (lt *LoadTable) subtract(update LoadUpdate) {
	for id, load := range update.Loads {
		left := lt.total[id].minus(load)
		if left == (Load{}) {
			delete(lt.total, id)
			continue
		}
		lt.total[id] = left
	}
}

// Expire drops the loads of senders without a recent update, and removes senders
// that no longer count as live.
func (lt *LoadTable) Expire(now time.Time) {
	expireUpdates(lt, lt.hosts, now)
	expireUpdates(lt, lt.dataCentres, now)
}

func expireUpdates[K comparable](lt *LoadTable, group map[K]receivedUpdate, now time.Time) {
	for key, received := range group {
		if now.Sub(received.receivedAt) >= lt.updateLifetime() && received.update.Loads != nil {
			lt.subtract(received.update)
			received.update.Loads = nil
			group[key] = received
		}
		if now.Sub(received.receivedAt) >= lt.livenessTimeout() {
			delete(group, key)
		}
	}
}

// Total returns the load of all other hosts at a server.
func (lt *LoadTable) Total(id mp.ServerID) Load { return lt.total[id] }

// HostOrder returns this host's position among the live hosts of its data centre: the
// number of those whose identifiers sort before its own. The first host sends the loads
// of the data centre to the other data centres.
func (lt *LoadTable) HostOrder(now time.Time) int {
	order := 0
	for host, received := range lt.hosts {
		if host < lt.host && now.Sub(received.receivedAt) < lt.livenessTimeout() {
			order++
		}
	}
	return order
}

// DataCentreOrder returns the position of this host's data centre among those from which
// aggregates arrive.
func (lt *LoadTable) DataCentreOrder(now time.Time) int {
	order := 0
	for dc, received := range lt.dataCentres {
		if dc < lt.dataCentre && now.Sub(received.receivedAt) < lt.livenessTimeout() {
			order++
		}
	}
	return order
}

// DataCentreLoads returns the loads of the data centre: the given loads of this host
// plus the latest of the other hosts there.
func (lt *LoadTable) DataCentreLoads(own map[mp.ServerID]Load) map[mp.ServerID]Load {
	sum := make(map[mp.ServerID]Load, len(own))
	for id, load := range own {
		sum[id] = load
	}
	for _, received := range lt.hosts {
		for id, load := range received.update.Loads {
			sum[id] = sum[id].plus(load)
		}
	}
	return sum
}
