package gateway

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/clientlimit"
	"github.com/mangopaddle/mangopaddle/httpserver"
	"github.com/mangopaddle/mangopaddle/platform"
)

// forwardHeaderBytes is by how much the header of a forwarded request may exceed a caller's.
const forwardHeaderBytes = mp.Kibibyte

// memberListener accepts only connections from the addresses of known hosts.
type memberListener struct {
	net.Listener
	knows    func(ip netip.Addr) bool
	reporter *clientlimit.Reporter
}

// Accept implements net.Listener.
func (ml *memberListener) Accept() (net.Conn, error) {
	for {
		nc, err := ml.Listener.Accept()
		if err != nil {
			return nil, err // net/http looks at its type
		}
		remote, err := netip.ParseAddrPort(nc.RemoteAddr().String())
		if err == nil && ml.knows(remote.Addr()) {
			return nc, nil
		}
		_ = nc.Close()
		ml.reporter.Report(clientlimit.ReasonStranger, remote.Addr())
	}
}

// listenForwards starts the server for requests that other hosts forward, if the settings have
// an address for it.
func (ga *Gateway) listenForwards() error {
	if ga.settings.ForwardAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", ga.settings.ForwardAddress)
	if err != nil {
		return errors.Trace(err)
	}
	members := &memberListener{Listener: listener, knows: ga.peers.KnowsHost, reporter: ga.limiters.reporter}
	ga.forwardServer = ga.serveOn(members, http.HandlerFunc(ga.serveForwarded), ga.limiters.hosts,
		httpserver.WithMaxHeaderBytes(maxHeaderBytes+int(forwardHeaderBytes)), httpserver.WithRefuse(http.HandlerFunc(ga.refuseForwarded)))
	return nil
}

// serveForwarded handles a request that another host has forwarded. It is never forwarded again.
func (ga *Gateway) serveForwarded(rw http.ResponseWriter, rq *http.Request) {
	re := ga.newRequest(rw, rq)
	forwarded, err := platform.DecodeHostRequest(rq.Header)
	re.forwarded, re.attempts = &forwarded, forwarded.Attempts
	if err != nil {
		re.headers, _ = platform.DecodeRequestHeaders(rq.Header) // the refusal only needs the identifier
		ga.respondError(re, mp.NewError(mp.KindInvalidRequest, "forwarded request: %v", err))
		return
	}
	ga.serveRequest(re)
}

// refuseForwarded responds to a forwarded request for which the host has no room.
func (ga *Gateway) refuseForwarded(rw http.ResponseWriter, rq *http.Request) {
	re := ga.newRequest(rw, rq)
	re.forwarded = &platform.HostRequest{}
	ga.refuse(re)
}

// hostRequestRefusal returns the reason not to serve a request that another host has forwarded,
// or nil.
func (ga *Gateway) hostRequestRefusal(re *request) *mp.Error {
	if re.forwarded == nil {
		return nil
	}
	refusal := ga.forwardedRefusal(re)
	outcome := "accepted"
	if refusal != nil {
		outcome = "refused"
	}
	ga.counters.countReceivedForwarded(outcome)
	re.log(ga.logger.Info(), "forward_received").Str("host", re.rq.RemoteAddr).Int("attempts", re.attempts).
		Bool("may_have_run", re.forwarded.MayHaveRun).Str("software", string(re.forwarded.Software)).
		Int64("sender_version", int64(re.forwarded.Version)).Int64("version", int64(re.snapshot.Version())).
		Dur("left_ms", re.headers.Timeout).Str("outcome", outcome).Msg("received a request that another host forwarded")
	return refusal
}

func (ga *Gateway) forwardedRefusal(re *request) *mp.Error {
	if ga.draining.Load() {
		return mp.NewError(mp.KindStopping, "this host is stopping")
	}
	if version := re.snapshot.Version(); version < re.forwarded.Version {
		return mp.NewError(mp.KindNotConfigured, "configuration %d is older than %d", version, re.forwarded.Version)
	}
	return nil
}

// mayBeLate reports whether the response may begin too late: a server may have run the request
// already.
func (re *request) mayBeLate() bool {
	return re.mayHaveRun || re.forwarded != nil && re.forwarded.MayHaveRun
}

// setHostResponse sets the headers by which a host that has forwarded the request learns of the
// response of a backend server.
func (re *request) setHostResponse(server mp.ServerID) {
	if re.forwarded == nil {
		return
	}
	ho := platform.HostResponse{Attempts: re.attempts, Server: server}
	if re.stream != nil {
		ho.Software = re.stream.software
	}
	ho.Set(re.rw.Header())
}

// setHostError sets the headers by which a host that has forwarded the request learns of an
// error of this host.
func (re *request) setHostError(kind mp.Kind) {
	if re.forwarded == nil {
		return
	}
	ho := platform.HostResponse{
		Attempts: re.attempts, Kind: kind, IsError: true,
		NotExecuted: kind.Response().NotRun && !re.mayHaveRun,
	}
	ho.Set(re.rw.Header())
}
