package peer

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
)

// MethodExchange is the call by which two hosts tell each other what they know.
const MethodExchange Method = "state.exchange"

// Address is where a host listens for other hosts, an IP number with a port.
type Address string

// Knowledge is what a host tells another one.
type Knowledge struct {
	From Address `json:"from"`
	// Members are hosts that the sender has heard of lately.
	Members []Address `json:"members,omitempty"`
	// Version is that of the configuration in force.
	Version mp.Version `json:"version"`
	// ListRevision is the store's revision of the list of backend servers.
	ListRevision mp.Revision `json:"list_revision"`
	// ListAge is how long ago the list was known to be current; negative if the
	// sender has none.
	ListAge mp.Duration `json:"list_age"`

	// Configuration is the one in force, if the other host may need it.
	Configuration []byte `json:"configuration,omitempty"`
	// Servers is the list, if the other host may need it.
	Servers []directory.Server `json:"servers,omitempty"`
}
