package gateway

import "github.com/mangopaddle/mangopaddle/peer"

// WithForwardPeers sets a function that returns the hosts to which requests are forwarded. While
// it returns any, the host is taken to be partitioned from all backend servers.
func WithForwardPeers(peers func() []peer.Address) Option {
	return func(ga *Gateway) { ga.forwardPeersFunc = peers }
}

// isPartitioned reports whether the host reaches no backend server.
func (ga *Gateway) isPartitioned() bool { return len(ga.forwardPeers()) > 0 }

// forwardPeers returns the hosts that accept forwarded requests, in order of preference.
func (ga *Gateway) forwardPeers() []peer.Address {
	if ga.forwardPeersFunc == nil {
		return nil
	}
	return ga.forwardPeersFunc()
}
