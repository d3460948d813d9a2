// Package peer lets the entry hosts of a deployment tell each other what they know:
// over JSON-RPC 2.0 calls, and by datagrams with their loads.
package peer

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
)

// Method names a JSON-RPC call.
type Method string

// MethodExchange is the call by which two hosts tell each other what they know.
const MethodExchange Method = "state.exchange"

// Address is where a host listens for other hosts, an IP number with a port.
type Address string

// Member is a host of the deployment.
type Member struct {
	Address    Address         `json:"address"`
	DataCentre mp.DataCentreID `json:"data_centre"`
}

// State is what a host tells another one.
type State struct {
	From Member `json:"from"`
	// Members are hosts that the sender has heard of lately.
	Members []Member `json:"members,omitempty"`
	Digest

	// Configuration is the one in force, if the other host may need it.
	Configuration []byte `json:"configuration,omitempty"`
	// Servers is the list, if the other host may need it.
	Servers []directory.Server `json:"servers,omitempty"`
}

// Digest says how new the sender's knowledge is.
type Digest struct {
	// Version is that of the configuration in force, zero for none.
	Version mp.Version `json:"version"`
	// ListRevision is the store's revision of the list of backend servers, zero
	// for none.
	ListRevision mp.Revision `json:"list_revision"`
	// ListAge is how long ago the list was known to be current.
	ListAge mp.Duration `json:"list_age"`
}

// NewerThan says whether the other host knows something that this one doesn't.
func (fr Digest) NewerThan(other Digest) bool {
	return fr.Version > other.Version || fr.ListRevision > other.ListRevision
}
