package peer

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// maxListedForwards is the maximum number of hosts in an aggregate that accept forwards.
	maxListedForwards = 8
	// maxForwardHosts bounds the hosts that a table holds.
	maxForwardHosts = 4096
)

// checkForwards returns an error if the hosts in an aggregate that accept forwards can't be.
func (lu LoadUpdate) checkForwards() error {
	if len(lu.Forwards) > maxListedForwards {
		return errors.NotValidf("load update of host %q with %d hosts that accept forwards (want at most %d)", lu.Host, len(lu.Forwards), maxListedForwards)
	}
	for _, address := range lu.Forwards {
		if _, err := netip.ParseAddrPort(string(address)); err != nil {
			return errors.NewNotValid(err, "host that accepts forwards")
		}
	}
	return nil
}

// WithForwards makes aggregates carry the hosts of the data centre that accept forwards. By
// default they carry none.
func WithForwards(forwards func() []Address) LoadBroadcasterOption {
	return func(lb *LoadBroadcaster) { lb.forwards = forwards }
}

// ForwardTable holds which other hosts accept requests that a partitioned host forwards. It
// does no I/O and is not safe for concurrent use.
type ForwardTable struct {
	self     Member
	random   *rand.Rand
	interval time.Duration // between two load updates of a host
	hosts    map[Address]acceptingHost
}

// acceptingHost is the data centre of a host that accepts forwards, and when it was last
// known to do so.
type acceptingHost struct {
	dataCentre mp.DataCentreID
	heardAt    time.Time
}

// NewForwardTable returns an empty table.
func NewForwardTable(self Member, random *rand.Rand) *ForwardTable {
	return &ForwardTable{self: self, random: random, hosts: map[Address]acceptingHost{}}
}

// SetUpdateInterval sets the mean interval between two load updates of a host.
func (ft *ForwardTable) SetUpdateInterval(interval time.Duration) { ft.interval = interval }

// AddUpdate records what a load update tells. The hosts in an aggregate replace those that were
// known of its data centre.
func (ft *ForwardTable) AddUpdate(now time.Time, update LoadUpdate) {
	if !update.Aggregate {
		ft.Add(now, update.From, update.Digest)
		return
	}
	dc := update.From.DataCentre
	if dc == ft.self.DataCentre {
		return
	}
	maps.DeleteFunc(ft.hosts, func(_ Address, ah acceptingHost) bool { return ah.dataCentre == dc })
	for _, address := range update.Forwards {
		ft.put(now, Member{Address: address, DataCentre: dc})
	}
}

// Add records what the digest of another host tells.
func (ft *ForwardTable) Add(now time.Time, from Member, digest Digest) {
	if !digest.AcceptsForwards {
		delete(ft.hosts, from.Address)
		return
	}
	ft.put(now, from)
}

// put adds a host, unless its address is not valid or there are too many.
func (ft *ForwardTable) put(now time.Time, member Member) {
	if _, err := netip.ParseAddrPort(string(member.Address)); err != nil || member.Address == ft.self.Address {
		return
	}
	if _, known := ft.hosts[member.Address]; !known && len(ft.hosts) >= maxForwardHosts {
		return
	}
	ft.hosts[member.Address] = acceptingHost{dataCentre: member.DataCentre, heardAt: now}
}

// Expire drops hosts without a recent digest.
func (ft *ForwardTable) Expire(now time.Time) {
	maps.DeleteFunc(ft.hosts, func(_ Address, ah acceptingHost) bool { return now.Sub(ah.heardAt) >= ft.lifetime(ah) })
}

// lifetime returns how long a host counts as accepting without a newer digest. Aggregates are
// rarer than the updates of a host by aggregateRounds.
func (ft *ForwardTable) lifetime(ah acceptingHost) time.Duration {
	lifetime := max(minLivenessTimeout, livenessIntervals*ft.interval)
	if ah.dataCentre != ft.self.DataCentre {
		return aggregateRounds * lifetime
	}
	return lifetime
}

// Hosts returns the hosts that accept forwards, in the order of the ranks of their data centres
// and at random among equal ones.
func (ft *ForwardTable) Hosts(now time.Time, rank func(dc mp.DataCentreID) int) []Address {
	ft.Expire(now)
	hosts := slices.Sorted(maps.Keys(ft.hosts))
	ft.random.Shuffle(len(hosts), func(a, b int) { hosts[a], hosts[b] = hosts[b], hosts[a] })
	slices.SortStableFunc(hosts, func(one, two Address) int {
		return rank(ft.hosts[one].dataCentre) - rank(ft.hosts[two].dataCentre)
	})
	return hosts
}

// Listed returns random hosts of the data centre that accept forwards, for an aggregate; this
// one is among them if it accepts some.
func (ft *ForwardTable) Listed(now time.Time, acceptsForwards bool) []Address {
	ft.Expire(now)
	var hosts []Address
	for address, ah := range ft.hosts {
		if ah.dataCentre == ft.self.DataCentre {
			hosts = append(hosts, address)
		}
	}
	if acceptsForwards {
		hosts = append(hosts, ft.self.Address)
	}
	slices.Sort(hosts)
	ft.random.Shuffle(len(hosts), func(a, b int) { hosts[a], hosts[b] = hosts[b], hosts[a] })
	return hosts[:min(len(hosts), maxListedForwards)]
}
