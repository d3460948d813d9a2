package host

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/caller"
	"github.com/mangopaddle/mangopaddle/clientlimit"
	"github.com/mangopaddle/mangopaddle/httpserver"
	"github.com/mangopaddle/mangopaddle/tlsfiles"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 32 << 10
)

// listen opens the listeners for callers and operators and starts serving them.
func (ho *Host) listen(callers *caller.Server, operators http.Handler, scope tally.Scope) error {
	tlsConf, err := ho.tlsConfig()
	if err != nil {
		return errors.Trace(err)
	}
	callerListener, err := net.Listen("tcp", ho.settings.Listen)
	if err != nil {
		return errors.Annotate(err, "listener for callers")
	}
	operatorListener, err := net.Listen("tcp", ho.settings.OperatorListen)
	if err != nil {
		_ = callerListener.Close()
		return errors.Annotate(err, "listener for operators")
	}
	ho.callerAddress, ho.operatorAddress = callerListener.Addr(), operatorListener.Addr()
	memory := mp.Bytes(ho.settings.MemoryMB) * mp.Mebibyte
	budget, descriptors := clientlimit.NewBudget(clientlimit.Memory(memory)), clientlimit.Descriptors()
	reporter := clientlimit.NewReporter(ho.logger, scope)
	ho.callerServer = ho.serve(callers.Handler(), callerListener,
		clientlimit.New(clientlimit.CallerLimits(budget.Limit(), descriptors), budget, reporter),
		httpserver.WithTLS(tlsConf), httpserver.WithRefuse(callers.RefuseHandler()))
	ho.serve(operators, operatorListener, clientlimit.New(clientlimit.OperatorLimits(budget.Limit(), descriptors), budget, reporter))
	ho.logger.Info().
		Str("host", string(ho.settings.Host)).
		Stringer("callers", ho.callerAddress).
		Stringer("operators", ho.operatorAddress).
		Msg("host started")
	return nil
}

func (ho *Host) tlsConfig() (*tls.Config, error) {
	if ho.settings.TLSCert == "" {
		return nil, nil
	}
	files, err := tlsfiles.New(ho.settings.TLSCert, ho.settings.TLSKey, tlsfiles.WithClock(ho.clock))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return files.Config(), nil
}

// serve serves a handler until the host is closed.
func (ho *Host) serve(handler http.Handler, listener net.Listener, limiter *clientlimit.Limiter, opts ...httpserver.Option) *httpserver.Server {
	limiter.Configure(clientlimit.Configured{MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout})
	server, stop := httpserver.New(listener, handler, func(err error) { ho.listenerErrors <- err }, append(opts,
		httpserver.WithLimiter(limiter), httpserver.WithHeaderTimeout(headerTimeout), httpserver.WithMaxHeaderBytes(maxHeaderBytes))...)
	ho.addCleanup(stop)
	return server
}
