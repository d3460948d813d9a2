package gateway

import (
	"io"
	"slices"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

// checkEnd checks a response that has neither a length nor chunks after the server has closed
// its connection. The system of a server that crashes closes connections in the same way as a
// server that has written its whole response; but a crashed server accepts no new connection.
// checkEnd returns an error, for which backend.IsBrokenOff holds, if the server accepts none.
//
// A server that stops as planned accepts none either while it completes its responses. Those to
// requests that can't be repeated are taken to be whole.
func (ga *Gateway) checkEnd(re *request, ch placement.Choice, ex *backend.Exchange, headers platform.ResponseHeaders) error {
	if !ex.EndsWithConnection() {
		return nil
	}
	startedAt := ga.clock.Now()
	err := ga.backends.Probe(re.hedge.ctx, ch.Server.Address)
	leaving := headers.Leaving || !ga.isListedReady(ch.Server.ID)
	cut := backend.IsRefused(err) && (!leaving || re.repeatable())
	ga.counters.countCheckedEnd(cut)
	re.log(ga.logger.Info(), "response_end_checked").Str("server", string(ch.Server.ID)).Bool("cut", cut).Bool("leaving", leaving).
		Dur("took_ms", ga.clock.Since(startedAt)).AnErr("cause", err).Msg("checked the server of a response that ended with its connection")
	if cut {
		return errors.Annotate(io.ErrUnexpectedEOF, "the server has ended")
	}
	return nil
}

// isListedReady reports whether the list of servers has a server and doesn't say that it stops.
func (ga *Gateway) isListedReady(id mp.ServerID) bool {
	return slices.ContainsFunc(ga.view.Load().Servers, func(se directory.Server) bool {
		return se.ID == id && se.State == directory.Ready
	})
}
