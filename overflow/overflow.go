// Package overflow decides which fraction of a data centre's work is sent to other data
// centres. For each service and priority, a Splitter compares what waiting costs at home with
// what it costs elsewhere, plus the round trip and the bytes of the way there. The package does
// no I/O and reads no clock.
package overflow

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Level is the work of one priority at a service, as seen by one data centre.
type Level struct {
	// Priority is the priority level; 0 is the most urgent.
	Priority int
	// Rate is the number of requests per second of the data centre's own callers, wherever
	// they are served.
	Rate float64
	// Work is the mean time that a request keeps a server busy.
	Work time.Duration
	// Queued is the work that waits at the data centre's servers, wherever it comes from.
	Queued time.Duration
	// Bytes is the mean size of a request and its response together.
	Bytes mp.Bytes
	// PrefixWork is the mean additional work of a request that leaves the data centre, such as
	// a shared prefix that has to be prefilled again.
	PrefixWork time.Duration
}

// demand returns how many servers the requests of the level keep busy.
func (le Level) demand() float64 { return le.Rate * le.Work.Seconds() }

// Load is the load and the capacity of a service in one data centre.
type Load struct {
	// Servers is the number of servers that may get requests, each weighted by its speed.
	// Evacuated and cold servers don't count.
	Servers float64
	// Levels are the priorities with work; there is at most one of each.
	Levels []Level
	// Age is the age of the information. After the maximum age the data centre counts as one
	// without spare capacity.
	Age time.Duration
}

// Loads are the loads of one service by data centre.
type Loads map[mp.DataCentreID]Load

// Link is the way between two data centres.
type Link struct {
	// RoundTrip is the time from a request to its response without the server's part.
	RoundTrip time.Duration
	// CostPerByte is the price of a byte, as the latency that is worth as much.
	CostPerByte time.Duration
}

// LinkFunc returns the link between two data centres, and false if it is broken or unknown.
type LinkFunc func(from, to mp.DataCentreID) (Link, bool)

// Reason is why work leaves a data centre.
type Reason string

// Reasons.
const (
	// ReasonNone: no work leaves.
	ReasonNone Reason = ""
	// ReasonWait: waiting at home costs more than the way and the wait elsewhere.
	ReasonWait Reason = "wait"
	// ReasonNoServers: the data centre has no servers of the service.
	ReasonNoServers Reason = "no_servers"
)

// Change is a change of a split.
type Change struct {
	Service       mp.ServiceName
	Priority      int
	Before, After Split
	// Utilisation is that of the data centre's own servers by its own callers, including
	// queued work that has to be drained. It is zero if there are no servers.
	Utilisation float64
	Reason      Reason
}
