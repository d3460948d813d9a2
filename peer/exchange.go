// Package peer spreads state between the hosts of the gateway. Hosts gossip the
// configuration, the list of backend servers and the membership over JSON-RPC 2.0
// calls, and broadcast their outstanding load in datagrams.
package peer

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
)

// Method names a JSON-RPC method.
type Method string

// MethodExchange is the method of a gossip exchange: both its parameters and its
// result are a State.
const MethodExchange Method = "state.exchange"

// Address is where a host listens for other hosts: an IP address with a port.
type Address string

// Member is a host of the deployment.
type Member struct {
	Address    Address         `json:"address"`
	DataCentre mp.DataCentreID `json:"data_centre"`
}

// State is the message of a gossip exchange: a digest of the sender's state, a
// sample of its members, and the parts of the state that the receiver lacks.
type State struct {
	From Member `json:"from"`
	// Members is a random sample of the sender's list of members.
	Members []Member `json:"members,omitempty"`
	Digest

	// Configuration is the encoded configuration, if the receiver may lack it.
	Configuration []byte `json:"configuration,omitempty"`
	// Servers is the list of backend servers, if the receiver may lack it.
	Servers []directory.Server `json:"servers,omitempty"`
}

// Digest summarises a host's state by its versions.
type Digest struct {
	// Version is the version of the configuration, zero for none.
	Version mp.Version `json:"version"`
	// ListRevision is the store revision of the list of backend servers, zero for
	// none.
	ListRevision mp.Revision `json:"list_revision"`
	// ListAge is the time since the list was last confirmed to match the store.
	ListAge mp.Duration `json:"list_age"`
	// ConfigurationAge is the same for the configuration.
	ConfigurationAge mp.Duration `json:"configuration_age,omitempty"`
}

// NewerThan reports whether the digest has a newer configuration or server list
// than the other one.
func (di Digest) NewerThan(other Digest) bool {
	return di.Version > other.Version || di.ListRevision > other.ListRevision
}
