package coldstart

import (
	"math"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// unknownRateSpacing is the spacing of the one host that sends to a cold server whose
	// tolerated rate is unknown.
	unknownRateSpacing = time.Second
	// defaultRampTime is the duration of the slow start if the configuration states no cold
	// time; with one, it lasts as long as that, within minRampTime and maxRampTime.
	defaultRampTime = 10 * time.Second
	minRampTime     = time.Second
	maxRampTime     = 30 * time.Second
)

// senders returns the number of hosts that send to a cold server with a tolerated rate, and
// the minimum time between two requests of each of them. In any second, m hosts with the
// spacing m/rate send fewer than rate + m requests. With m of at most (overage - 1) x rate,
// these are no more than overage x rate.
func (tr *Tracker) senders(rate float64) (hosts int, spacing time.Duration) {
	if rate <= 0 {
		return 1, unknownRateSpacing
	}
	count := max(1, math.Floor(min((tr.overage-1)*rate, maxReportedHosts)))
	spacing = time.Duration(min(count/rate, maxColdTime.Seconds()) * float64(time.Second))
	return int(count), spacing
}

// Wait returns how long this host has to wait until it may send a request to a cold server
// of its data centre, zero for none. It returns false if the host has no place in the
// server's order.
func (tr *Tracker) Wait(now time.Time, server mp.ServerID, rate float64) (time.Duration, bool) {
	cs, ok := tr.servers[server]
	if !ok {
		return 0, false
	}
	me := &tr.members
	if cs.orderVersion != me.version {
		cs.order, cs.orderVersion = me.orderOf(server), me.version
	}
	if hosts, _ := tr.senders(rate); cs.order >= hosts || me.isBehind(now) {
		return 0, false
	}
	return max(0, me.readyAt().Sub(now), cs.nextAt.Sub(now)), true
}

// RecordRequest records that this host sends a request to a cold server.
func (tr *Tracker) RecordRequest(now time.Time, server mp.ServerID, rate float64) {
	if cs, ok := tr.servers[server]; ok {
		_, spacing := tr.senders(rate)
		cs.nextAt = now.Add(spacing)
	}
}

// Fraction returns the fraction of the choices that a server gets: it rises from 0 to 1 after
// the cold time, in a time that depends on the usual length of the cold time. It is 1 for a
// server that wasn't cold.
func (tr *Tracker) Fraction(now time.Time, server mp.ServerID, coldTime time.Duration) float64 {
	cs, ok := tr.servers[server]
	if !ok {
		return 1
	}
	ramp := defaultRampTime
	if coldTime > 0 {
		ramp = min(max(coldTime, minRampTime), maxRampTime)
	}
	return min(max(0, now.Sub(cs.until()).Seconds()/ramp.Seconds()), 1)
}
