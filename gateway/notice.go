package gateway

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

// recordNotices records what a server says of itself in the headers of a response. That it
// is about to stop counts in the response to any request; that it wants a pause only in
// the response to this one, because others may be repeated late. Another server that has
// taken over the address speaks for itself.
func (ga *Gateway) recordNotices(re *request, ch placement.Choice, headers platform.ResponseHeaders, matches bool) {
	if headers.Leaving && !headers.Misdirected {
		ga.recordLeaving(re, ch.Server)
	}
	if headers.ColdRemaining > 0 && matches && !headers.Misdirected {
		ga.recordCold(ch.Server, headers.ColdRemaining)
	}
	ga.recordBrittle(re, ch.Server, headers, matches)
	if headers.RetryAfter > 0 && matches {
		ga.recordPause(re, ch.Server, headers.RetryAfter)
	}
}

// recordPause records that a server wants no requests from this host for a time. Other
// hosts aren't told: it asks each of them for itself, and if all stayed away at once, all
// would return at once.
func (ga *Gateway) recordPause(re *request, server placement.Server, pause time.Duration) {
	now := ga.clock.Now()
	ga.placerMu.Lock()
	begins := ga.placer.RecordPause(now, server, pause)
	serviceLeft := ga.placer.PauseLeft(now, server.Service)
	ga.placerMu.Unlock()
	ga.counters.countNotice("pause")
	if !begins {
		return
	}
	re.log(ga.logger.Info(), "server_paused").Str("server", string(server.ID)).Str("service", string(server.Service)).
		Dur("pause_ms", pause).Dur("service_left_ms", serviceLeft).Msg("backend server wants no requests for a time")
}

// returnDelay returns when the caller should come back if all servers of the service want
// no requests for a time; zero otherwise.
func (ga *Gateway) returnDelay(re *request) time.Duration {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.placer.ReturnDelay(ga.placer.PauseLeft(ga.clock.Now(), re.service), re.rank.Priority)
}

// noServerRefusal returns the refusal of a request for which no server can be chosen.
func (ga *Gateway) noServerRefusal(re *request, rq *placement.Request) *mp.Error {
	if delay := ga.returnDelay(re); delay > 0 {
		return mp.NewError(mp.KindOverloaded, "all servers of service %q want a pause", re.service).WithRetryAfter(delay)
	}
	if places := ga.wantedPlaces(rq); places.Servers > 0 {
		ahead := ga.brittle.line.countAhead(re.service, re.placePriority())
		return ga.placeRefusal(re, places, ga.brittle.line.expectedWait(re.service, ahead, places.Usable))
	}
	if refusal := ga.coldRefusal(re, rq); refusal != nil {
		return refusal
	}
	where := ""
	if re.regions.IsRestricted() {
		where = " in the allowed regions " + re.regions.String()
	}
	return mp.NewError(mp.KindNoBackend, "no backend server of service %q%s", re.service, where).WithRetryAfter(noBackendRetryAfter)
}

// recordLeaving records that a server has said that it is about to stop. Other hosts
// aren't told: they learn it from the list or, as soon as it matters to them, from the
// next response that they get from the server.
func (ga *Gateway) recordLeaving(re *request, server placement.Server) {
	ga.placerMu.Lock()
	isNew := ga.placer.RecordLeaving(ga.clock.Now(), server)
	ga.placerMu.Unlock()
	if !isNew {
		return
	}
	ga.backends.CloseIdleTo(server.Address)
	ga.counters.countNotice("leaving")
	re.log(ga.logger.Info(), "server_leaving").Str("server", string(server.ID)).Str("service", string(server.Service)).
		Int64("started_at_ms", server.StartedAtMillis).Dur("list_age_ms", ga.clock.Since(ga.view.Load().ListConfirmedAt)).
		Msg("backend server says that it is about to stop; it gets no more requests")
}
