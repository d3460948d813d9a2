// Package peer spreads state between the hosts of the gateway. Hosts gossip the
// configuration, the list of backend servers and the membership over JSON-RPC 2.0
// calls, and broadcast their outstanding load in datagrams.
package peer

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/evacuation"
)

// Method names a JSON-RPC method.
type Method string

// MethodExchange is the method of a gossip exchange: both its parameters and its
// result are a State.
const MethodExchange Method = "state.exchange"

// MethodConfiguration is the method by which a host fetches a newer configuration: its
// parameters are a ConfigurationRequest and its result is a Configuration.
const MethodConfiguration Method = "state.configuration"

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

	// PackedServers is the list of backend servers as packed by directory.Pack, if the
	// receiver may lack it.
	PackedServers []byte `json:"packed_servers,omitempty"`
}

// ConfigurationRequest asks for a configuration that is newer than the sender's.
type ConfigurationRequest struct {
	From Member `json:"from"`
	// Version is the version of the sender's configuration, zero for none.
	Version mp.Version `json:"version"`
}

// Configuration is a configuration in transfer. Its version is zero if the host that was
// asked has no newer one, or is sending too many already.
type Configuration struct {
	Version mp.Version `json:"version"`
	// Compressed is the configuration as the operator published it, compressed by gzip.
	Compressed []byte `json:"compressed,omitempty"`
}

// Digest summarises a host's state by its versions.
type Digest struct {
	// Version is the version of the configuration, zero for none.
	Version mp.Version `json:"version"`
	ListPosition
	// ListAge is the time since the list was last confirmed to match the store.
	ListAge mp.Duration `json:"list_age"`
	// ConfigurationAge is the same for the configuration.
	ConfigurationAge mp.Duration `json:"configuration_age,omitempty"`
	// Evacuations is the list of evacuated data centres; nil before the first evacuation.
	Evacuations *evacuation.List `json:"evacuations,omitempty"`
	// KnownHosts is the number of hosts of the data centre that the sender knows, itself
	// included; zero unless servers may be cold.
	KnownHosts int `json:"hosts,omitempty"`
	// AcceptsForwards reports that the sender accepts requests that a partitioned host
	// forwards. Hosts of the previous release don't send it.
	AcceptsForwards bool `json:"accepts_forwards,omitempty"`
}

// ListPosition is the position of the list of backend servers in the store's history, zero
// for none. Its fields stand in the digest itself: hosts of earlier releases know the
// revision.
type ListPosition struct {
	Era      mp.Era      `json:"list_era,omitempty"`
	Revision mp.Revision `json:"list_revision"`
}
