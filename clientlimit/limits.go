// Package clientlimit bounds what clients make a host hold: memory, connections and
// requests in progress. Weights are charged to a Budget before the memory is held. A
// Limiter tracks the connections of one listener; package httpserver uses it.
package clientlimit

import (
	"sync/atomic"
	"syscall"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// connWeight is what a connection holds while it waits: buffers of net/http for reading
	// and writing (4 KiB each), two goroutines and their state.
	connWeight = 16 << 10
	// requestWeight is what a request in progress holds beside its header and body: three
	// goroutines with stacks of 8 KiB, and four buffers of 4 KiB for the backend server's
	// connection and its stream.
	requestWeight = 40 << 10
	// fieldWeight is what a header field takes in the maps of the received and the
	// forwarded header, beside its text.
	fieldWeight = 256
	// headerExpansion bounds how much more memory a header takes as a map than as text: a
	// field has at least five bytes ("a:" and the end of the line, and a byte to differ).
	headerExpansion = 24
	// memoryRatio is the fraction of a host's memory that clients may make it hold. Responses
	// have their own eighth (backend.Buffers); the collector lets garbage grow to half of all.
	memoryRatio = 0.25
	// defaultMemory is assumed if the host's memory is not known. Hosts that have much less
	// say so in their settings.
	defaultMemory = 1024 * mp.Mebibyte
	// defaultDescriptors are assumed if the limit can't be read.
	defaultDescriptors = 1024
	// maxDescriptors bounds what is taken from the limit of the process, which can be
	// without a practical end.
	maxDescriptors = 1 << 16
)

// Limits are the limits of the clients of one listener.
type Limits struct {
	// Connections is the maximum number of connections.
	Connections int
	// ConnectionsPerAddress is the maximum number of connections of one client address,
	// which may be that of a load balancer in front of all clients.
	ConnectionsPerAddress int
	// Incomplete is the maximum number of connections on which the first request or the
	// header of the next one is not complete.
	Incomplete int
	// Requests is the maximum number of requests in progress.
	Requests int
	// MaxHeaderBytes is the maximum size of a header if the configuration sets none.
	MaxHeaderBytes mp.Bytes
	// Reserved reports that the part of the budget for Operator is open to the clients.
	Reserved bool
	// Window is the time over which the progress of sending and reading is measured, and
	// MinBytes the progress that is required. A client that makes less is cut off.
	Window   time.Duration
	MinBytes int64
	// StuckAfter is the time without any progress after which a body, an answer or the rest
	// of a refused body may be given up if there is no room for others.
	StuckAfter time.Duration
}

const (
	// maxHeaderBytes is the maximum size of a header if the configuration sets none.
	maxHeaderBytes = 64 * mp.Kibibyte
	// progressWindow spans outages of a mobile link, such as a tunnel or a change of cell.
	progressWindow = 20 * time.Second
	// minProgressBytes is an eighth of what the slowest packet service of a mobile network
	// (about 1 KB/s) carries in the window.
	minProgressBytes = 2560
	// stuckAfter is several times the retransmission time-out of a mobile link.
	stuckAfter = 5 * time.Second
)

// Memory returns the budget of a host with a number of bytes of memory, zero if it isn't
// known.
func Memory(host mp.Bytes) mp.Bytes {
	if host <= 0 {
		host = defaultMemory
	}
	return mp.Bytes(memoryRatio * float64(host))
}

// CallerLimits returns the limits of the listener for callers. Half of the descriptors are
// for connections of callers, a quarter for connections to backend servers, one for each
// request in progress. Connections take at most half of the budget.
func CallerLimits(budget mp.Bytes, descriptors int) Limits {
	return newLimits(min(descriptors/2, int(budget)/2/connWeight), descriptors/4)
}

// use returns what the memory of a client is held for.
func (li Limits) use(ordinary Use) Use {
	if li.Reserved {
		return Operator
	}
	return ordinary
}

// OperatorLimits returns the limits of a listener for operators, load balancers or
// monitoring.
func OperatorLimits(budget mp.Bytes, descriptors int) Limits {
	connections := min(descriptors/32, int(budget)/16/connWeight)
	limits := newLimits(connections, connections)
	limits.Reserved = true
	return limits
}

func newLimits(connections, requests int) Limits {
	connections, requests = max(connections, 8), max(requests, 8)
	return Limits{
		Connections:           connections,
		ConnectionsPerAddress: connections - connections/4,
		Incomplete:            connections / 2,
		Requests:              requests,
		MaxHeaderBytes:        maxHeaderBytes,
		Window:                progressWindow,
		MinBytes:              minProgressBytes,
		StuckAfter:            stuckAfter,
	}
}

// Descriptors returns the number of descriptors that the process may open.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// Configured are the limits that the operator's configuration sets; zero leaves the default.
type Configured struct {
	MaxHeaderBytes mp.Bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// configured holds the configured limits, which change while connections are served.
type configured struct{ atomic.Pointer[Configured] }

func (co *configured) get() Configured {
	if current := co.Load(); current != nil {
		return *current
	}
	return Configured{}
}
