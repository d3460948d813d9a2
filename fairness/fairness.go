// Package fairness determines by how much an organisation uses more than its fair part of
// a service that can't serve all requests. It does no I/O and reads no clock.
//
// Hosts count the prompt tokens that each organisation offers and those that are sent to
// engines, and report both to each other. The fair level is the max-min one: what is sent is
// divided so that each organisation gets what it offers, or the level if it offers more. As
// long as everything that is offered is sent, no organisation is above the level.
package fairness

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// halfLife is the half-life of the usage that is counted. It spans several reports, so
	// that a host compares its own usage with that of others at the same time.
	halfLife = 4 * time.Second
	// ReportInterval is the time between two reports of a host.
	ReportInterval = time.Second
	// reportLifetime is how long a report counts: one may be lost, and two in a row where
	// load updates are sent at their shortest interval.
	reportLifetime = 3*ReportInterval + ReportInterval/2
	// minScarcity is the fraction of the offered tokens that must be refused for a service
	// to count as scarce.
	minScarcity = 0.01
	// minTokens is the usage below which a decayed count is dropped.
	minTokens = 1
	// minExcess is the excess up to which an organisation counts as at the fair level: its
	// usage swings around the level as single prompts are counted and decay.
	minExcess = 0.05
)

// Group is what organisations share: the requests of one level of priority at a service.
type Group struct {
	Service mp.ServiceName
	Level   int
}

// Usage is what was offered and sent in the recent past, in decayed prompt tokens.
type Usage struct {
	Offered float64
	Sent    float64
}

func (us Usage) plus(other Usage) Usage {
	return Usage{Offered: us.Offered + other.Offered, Sent: us.Sent + other.Sent}
}

// isScarce reports whether a part of what was offered was not sent.
func (us Usage) isScarce() bool { return us.Sent < (1-minScarcity)*us.Offered }

// Tracker counts the usage of organisations, as seen by this host and reported by others.
// It is not safe for concurrent use.
type Tracker struct {
	groups map[Group]map[mp.OrganisationID]Usage
	// decayedAt is the time of the counts.
	decayedAt time.Time
	// hosts are the last reports of the other hosts of the data centre, dataCentres those of
	// the other data centres.
	hosts       map[mp.HostID]receivedReport
	dataCentres map[mp.DataCentreID]receivedReport
	levels      map[Group]fairLevel
	weight      func(mp.OrganisationID) float64
}

// Option configures a tracker.
type Option func(*Tracker)

// WithWeights sets the function that returns the positive weight of an organisation. The
// default is 1 for each.
func WithWeights(weight func(mp.OrganisationID) float64) Option {
	return func(tr *Tracker) { tr.weight = weight }
}

// New returns a tracker without any usage.
func New(opts ...Option) *Tracker {
	tr := &Tracker{
		groups: map[Group]map[mp.OrganisationID]Usage{},
		levels: map[Group]fairLevel{},

		hosts:       map[mp.HostID]receivedReport{},
		dataCentres: map[mp.DataCentreID]receivedReport{},
		weight:      func(mp.OrganisationID) float64 { return 1 },
	}
	for _, opt := range opts {
		opt(tr)
	}
	return tr
}

// Record counts a request of an organisation, which may be empty, and whether it was sent.
func (tr *Tracker) Record(now time.Time, group Group, organisation mp.OrganisationID, tokens mp.Tokens, sent bool) {
	tr.decay(now)
	organisations, ok := tr.groups[group]
	if !ok {
		organisations = map[mp.OrganisationID]Usage{}
		tr.groups[group] = organisations
	}
	organisation = reportedName(organisation)
	us := organisations[organisation]
	us.Offered += float64(tokens)
	if sent {
		us.Sent += float64(tokens)
	}
	organisations[organisation] = us
}

// decayInterval is the time between two decays of all counts.
const decayInterval = 100 * time.Millisecond

// decay applies the exponential decay up to now.
func (tr *Tracker) decay(now time.Time) {
	elapsed := now.Sub(tr.decayedAt)
	if elapsed < decayInterval {
		return
	}
	tr.decayedAt = now
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	for group, organisations := range tr.groups {
		for id, us := range organisations {
			us.Offered, us.Sent = us.Offered*factor, us.Sent*factor
			organisations[id] = us
			if us.Offered < minTokens {
				delete(organisations, id)
			}
		}
		if len(organisations) == 0 {
			delete(tr.groups, group)
		}
	}
	maps.DeleteFunc(tr.levels, func(_ Group, fl fairLevel) bool { return now.Sub(fl.at) >= halfLife })
}

// fairLevel is the fair level of a group at a time.
type fairLevel struct {
	at    time.Time
	level float64 // for a weight of 1; infinite if the group isn't scarce
	total map[mp.OrganisationID]Usage
}

// Excess returns by how much the usage of an organisation exceeds the fair level, as a
// fraction of the level; zero if it doesn't, or if the group is not scarce.
func (tr *Tracker) Excess(now time.Time, group Group, organisation mp.OrganisationID) float64 {
	fl, ok := tr.levels[group]
	if !ok || now.Sub(fl.at) >= decayInterval {
		fl = tr.fairLevel(now, group)
		tr.levels[group] = fl
	}
	return fl.excess(reportedName(organisation), tr.weight(organisation))
}

// excess returns the excess of an organisation with a weight.
func (fl fairLevel) excess(organisation mp.OrganisationID, weight float64) float64 {
	if math.IsInf(fl.level, 1) {
		return 0
	}
	if excess := fl.total[organisation].Sent/(fl.level*weight) - 1; excess > minExcess {
		return excess
	}
	return 0
}

// QueueShare returns the fraction of the maximum queue wait of its priority that an
// organisation may wait: 1 if it is not above the fair level, less the more it is above.
func (tr *Tracker) QueueShare(now time.Time, group Group, organisation mp.OrganisationID) float64 {
	return 1 / (1 + tr.Excess(now, group, organisation))
}

// Exceeding is an organisation above the fair level of a group.
type Exceeding struct {
	Group
	Organisation mp.OrganisationID
	Excess       float64
	// FairLevel is the level for a weight of 1, and Sent the usage of the organisation.
	FairLevel float64
	Sent      float64
	// Reports is the number of reports on which this is based, and OldestReport the age of
	// the oldest of them; zero if there are none.
	Reports      int
	OldestReport time.Duration
}

// Exceeding returns the organisations above the fair level of their groups, the highest
// excess first.
func (tr *Tracker) Exceeding(now time.Time) []Exceeding {
	var found []Exceeding
	for group := range tr.groups {
		fl := tr.fairLevel(now, group)
		for id, us := range fl.total {
			if excess := fl.excess(id, tr.weight(id)); excess > 0 {
				found = append(found, Exceeding{
					Group: group, Organisation: id, Excess: excess, FairLevel: fl.level, Sent: us.Sent,
					Reports: len(tr.hosts) + len(tr.dataCentres), OldestReport: max(oldest(tr.hosts, now), oldest(tr.dataCentres, now)),
				})
			}
		}
	}
	slices.SortFunc(found, func(a, b Exceeding) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Level, b.Level))
	})
	return found
}

// demand is the offered usage of an organisation, or of several alike.
type demand struct {
	offered float64
	weight  float64
}

// fairLevel computes the fair level of a group.
func (tr *Tracker) fairLevel(now time.Time, group Group) fairLevel {
	tr.decay(now)
	total := tr.total(now, group)
	demands := make([]demand, 0, len(total.named)+1)
	for id, us := range total.named {
		demands = append(demands, demand{offered: us.Offered, weight: tr.weight(id)})
	}
	if total.rest.organisations > 0 {
		demands = append(demands, demand{offered: total.rest.Offered, weight: float64(total.rest.organisations)})
	}
	fl := fairLevel{at: now, level: math.Inf(1), total: total.named}
	if sum := total.sum(); sum.isScarce() {
		fl.level = maxMinLevel(demands, sum.Sent)
	}
	return fl
}

// maxMinLevel returns the level at which demands, each cut off at the level times its
// weight, add up to the capacity; infinite if they add up to less without a cut.
func maxMinLevel(demands []demand, capacity float64) float64 {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.offered/a.weight, b.offered/b.weight) })
	var weight float64
	for _, de := range demands {
		weight += de.weight
	}
	for _, de := range demands {
		if level := capacity / weight; de.offered > level*de.weight {
			return level
		}
		capacity -= de.offered
		weight -= de.weight
	}
	return math.Inf(1)
}
