package gateway

import (
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

// recordNotices records what a server says of itself in the headers of a response, to
// whichever request. Another server that has taken over the address speaks for itself.
func (ga *Gateway) recordNotices(re *request, ch placement.Choice, headers platform.ResponseHeaders) {
	if headers.Leaving && !headers.Misdirected {
		ga.recordLeaving(re, ch.Server)
	}
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
