package gateway

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

// maxHostsTried is the maximum number of hosts to which one request is forwarded.
const maxHostsTried = 3

// openForwards opens the pool of connections for forwarding requests, if the settings have an
// address for it. The connections come from the gossip address, by which other hosts know this
// one.
func (ga *Gateway) openForwards() error {
	if ga.settings.ForwardAddress == "" {
		return nil
	}
	self, err := netip.ParseAddrPort(ga.settings.PeerAddress)
	if err != nil {
		return errors.Annotate(err, "gossip address")
	}
	_, ga.forwardPort, err = net.SplitHostPort(ga.settings.ForwardAddress)
	if err != nil {
		return errors.Annotate(err, "address for forwarded requests")
	}
	pool, closePool := backend.New(backend.WithClock(ga.clock), backend.WithBuffers(ga.buffers), backend.WithLocalAddress(self.Addr()))
	ga.forwards = pool
	ga.addCleanup(closePool)
	return nil
}

// poolOf returns the pool of the connections to a server or host.
func (ga *Gateway) poolOf(server placement.Server) *backend.Pool {
	if server.IsHost {
		return ga.forwards
	}
	return ga.backends
}

func (ga *Gateway) closeIdleForwards() {
	if ga.forwards != nil {
		ga.forwards.CloseIdle()
	}
}

func (ga *Gateway) pruneForwards() {
	if ga.forwards != nil {
		ga.forwards.Prune()
	}
}

// canForward reports whether the next attempt at the request would be at another host.
func (ga *Gateway) canForward(re *request) bool {
	_, ok := ga.chooseHost(re)
	return ok
}

// chooseHost chooses the host to which the request is forwarded, and returns it in place of a
// backend server. It returns false if this host reaches backend servers, no other host accepts
// the request, or another host has forwarded it to this one.
func (ga *Gateway) chooseHost(re *request) (placement.Choice, bool) {
	if ga.forwards == nil || re.forwarded != nil || len(re.triedHosts) >= maxHostsTried || !ga.isPartitioned() {
		return placement.Choice{}, false
	}
	for _, ad := range ga.forwardPeers() {
		host, err := ga.forwardTarget(ad)
		if err == nil && !slices.Contains(re.triedHosts, host.ID) {
			return placement.Choice{Server: host}, true
		}
	}
	return placement.Choice{}, false
}

// forwardTarget returns the host with a gossip address, which is its ID, as the target of requests. It returns an
// error if the address is malformed.
func (ga *Gateway) forwardTarget(ad peer.Address) (placement.Server, error) {
	ip, _, err := net.SplitHostPort(string(ad))
	if err != nil {
		return placement.Server{}, errors.Trace(err)
	}
	return placement.Server{ID: mp.ServerID(ad), Address: net.JoinHostPort(ip, ga.forwardPort), IsHost: true}, nil
}

// introduce makes the other host of an attempt know this one, since it accepts forwards from hosts
// that it knows only. If that fails, the attempt shows whether it does.
func (ga *Gateway) introduce(ctx context.Context, re *request, at *attempt) {
	if !at.choice.Server.IsHost {
		return
	}
	if err := ga.peers.Introduce(ctx, peer.Address(at.choice.Server.ID)); err != nil {
		re.log(ga.logger.Info(), "introduction_failed").Str("host", at.choice.Server.Address).Err(err).
			Dur("took_ms", ga.clock.Since(re.arrived)).Msg("the other host may not know this one")
	}
}

// hostRequest returns the headers of the request to another host. Attempts must not count the
// one that begins.
func (re *request) hostRequest(now time.Time) platform.HostRequest {
	ho := platform.HostRequest{
		Attempts:   re.attempts,
		MayHaveRun: re.mayHaveRun,
		Version:    re.snapshot.Version(),
		Software:   re.origin,
		Remaining:  re.remaining(now),
	}
	if re.stream != nil {
		ho.Software, ho.LastEventID = re.stream.software, re.stream.lastEventID()
	}
	return ho
}
