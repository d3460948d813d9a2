package gateway

import (
	"slices"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

// observeEnd logs, of a response that has neither a length nor chunks, whether its server still
// accepts connections after it has closed this one. The system of a server that crashes closes
// connections in the same way as a server that has written its whole response.
func (ga *Gateway) observeEnd(re *request, ch placement.Choice, ex *backend.Exchange, headers platform.ResponseHeaders) {
	if !ex.EndsWithConnection() {
		return
	}
	startedAt := ga.clock.Now()
	err := ga.backends.Probe(re.hedge.ctx, ch.Server.Address)
	re.log(ga.logger.Info(), "response_end_observed").Str("server", string(ch.Server.ID)).Bool("refused", backend.IsRefused(err)).
		Bool("leaving", headers.Leaving || !ga.isListedReady(ch.Server.ID)).Dur("took_ms", ga.clock.Since(startedAt)).AnErr("cause", err).
		Msg("looked at the server of a response that ended with its connection")
}

// isListedReady reports whether the list of servers has a server and doesn't say that it stops.
func (ga *Gateway) isListedReady(id mp.ServerID) bool {
	return slices.ContainsFunc(ga.view.Load().Servers, func(se directory.Server) bool {
		return se.ID == id && se.State == directory.Ready
	})
}
