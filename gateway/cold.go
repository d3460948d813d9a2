package gateway

import (
	"slices"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/coldstart"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/routing"
)

// errColdOverdue is the error of an attempt at a cold server whose connection took so long that
// the request was not sent.
const errColdOverdue = errors.ConstError("the connection to a cold server took too long")

// newColdTracker returns the tracker of cold servers. Hosts are known by their gossip
// addresses, which gossip reports also of hosts that send no updates to this one.
func newColdTracker(settings Settings, startedAt time.Time) *coldstart.Tracker {
	opts := []coldstart.Option{}
	if settings.ColdOverage > 0 {
		opts = append(opts, coldstart.WithOverage(settings.ColdOverage))
	}
	isOther := func(seed string) bool { return seed != settings.PeerAddress }
	if slices.ContainsFunc(settings.Seeds, isOther) {
		opts = append(opts, coldstart.WithOtherHosts())
	}
	return coldstart.New(coldstart.Host(settings.PeerAddress), startedAt, opts...)
}

// coldRequestRate returns the rate that a cold server of a service tolerates; zero if unknown.
func coldRequestRate(service *routing.Service) float64 {
	if service == nil {
		return 0
	}
	return service.ColdRequestRate
}

// coldTime returns how long the servers of a service usually stay cold; zero if unknown.
func coldTime(service *routing.Service) time.Duration {
	if service == nil {
		return 0
	}
	return service.ColdStart
}

// coldEntries returns what the list says of the cold times of its servers.
func coldEntries(servers []directory.Server) []coldstart.Entry {
	entries := make([]coldstart.Entry, len(servers))
	for ix, se := range servers {
		entries[ix] = coldstart.Entry{
			Server: se.ID, StartedAtMillis: se.StartedAtMillis, Sequence: se.Sequence, Remaining: se.ColdRemaining.Std(),
		}
	}
	return entries
}

// recordCold records that a server stated in a response that it is cold.
func (ga *Gateway) recordCold(server placement.Server, remaining time.Duration) {
	now := ga.clock.Now()
	ga.placerMu.Lock()
	changes := ga.cold.RecordResponse(now, server.ID, server.StartedAtMillis, remaining)
	ga.placerMu.Unlock()
	ga.logCold(now, changes)
}

// hearMembers tells the tracker which hosts gossip knows. It returns the number of hosts of
// the data centre that this one has heard of lately; zero unless servers may be cold.
func (ga *Gateway) hearMembers() int {
	now := ga.clock.Now()
	var local []coldstart.Host
	for _, address := range ga.peers.LocalPeers() {
		local = append(local, coldstart.Host(address))
	}
	hasContact := ga.peers.MemberCount() > 0
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	ga.cold.Hear(now, local...)
	if hasContact {
		ga.cold.RecordContact(now)
	}
	if !ga.usesColdStart && ga.cold.IsIdle() {
		return 0
	}
	return ga.cold.KnownHosts()
}

// mayBeCold reports whether the configuration states a cold time or rate for the server.
func mayBeCold(se placement.Server) bool { return se.ColdRequestRate > 0 || se.ColdTime > 0 }

// hearUpdate tells the tracker of a load update from a host of this data centre. The caller
// must hold placerMu.
func (ga *Gateway) hearUpdate(now time.Time, update peer.LoadUpdate) {
	if update.Aggregate || update.From.DataCentre != ga.settings.DataCentre {
		ga.cold.RecordContact(now)
		return
	}
	ga.cold.HearReport(now, coldstart.Host(update.From.Address), update.KnownHosts)
}

// expireCold logs which servers are no longer cold.
func (ga *Gateway) expireCold() {
	now := ga.clock.Now()
	ga.placerMu.Lock()
	changes := ga.cold.Expire(now)
	ga.placerMu.Unlock()
	ga.logCold(now, changes)
}

// coldCount returns the number of cold servers.
func (ga *Gateway) coldCount() int {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.cold.ColdCount(ga.clock.Now())
}

// logCold logs which servers turned cold or are no longer cold.
func (ga *Gateway) logCold(now time.Time, changes []coldstart.Change) {
	if len(changes) == 0 {
		return
	}
	listAge := now.Sub(ga.view.Load().ListConfirmedAt)
	ga.placerMu.Lock()
	knownHosts := ga.cold.KnownHosts()
	ga.placerMu.Unlock()
	for _, ch := range changes {
		if ch.Source == "" {
			ga.logger.Info().Str("event", "server_warm").Str("server", string(ch.Server)).Dur("late_ms", now.Sub(ch.Until)).
				Msg("cold time of a backend server is over; it gets a rising fraction of the choices")
			continue
		}
		ga.logger.Info().Str("event", "server_cold").Str("server", string(ch.Server)).Str("source", string(ch.Source)).
			Dur("claimed_ms", ch.Claimed).Dur("cold_ms", ch.Until.Sub(now)).Int("hosts", knownHosts).Dur("list_age_ms", listAge).
			Msg("backend server is cold; others are preferred")
	}
}

// coldRefusal returns the refusal of a request for which only cold servers are left, to which
// this host may not send now; nil if there are none.
func (ga *Gateway) coldRefusal(re *request, rq *placement.Request) *mp.Error {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	now := ga.clock.Now()
	wait := ga.placer.ColdWait(now, rq)
	if wait <= 0 {
		return nil
	}
	ga.counters.countCold("refused")
	return mp.NewError(mp.KindOverloaded, "only cold servers of service %q are left (%d cold, %d hosts known); the wait is %v",
		re.service, ga.cold.ColdCount(now), ga.cold.KnownHosts(), wait).WithRetryAfter(ga.placer.ReturnDelay(wait, re.rank.Priority))
}
