package placement

import (
	"math"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Distance is how far a backend server is from the host.
type Distance int

// Distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Server describes a backend server that may get requests.
type Server struct {
	ID      mp.ServerID
	Service mp.ServiceName
	Address string
	// StartedAtMillis is the server's start time in Unix milliseconds, which tells a
	// restart under the same ID; zero if unknown.
	StartedAtMillis int64
	// Software is the version of the server's software; empty if unknown.
	Software mp.SoftwareVersion
	// Slots is the number of requests that the server runs at once.
	Slots int
	// DataCentre and Region are where the server runs. The region is empty if unknown.
	DataCentre mp.DataCentreID
	Region     mp.RegionID
	// Evacuated reports that the operator has evacuated the data centre: the server gets no
	// new requests.
	Evacuated bool
	// Distance is how far the server is from this host.
	Distance Distance
	// IsHost reports that it is no backend server but another host, to which a request is
	// forwarded.
	IsHost bool
	// IsEngine reports whether the server is a model engine.
	IsEngine bool
	// ServesJitterSensitive reports whether the service gets jitter-sensitive
	// streams.
	ServesJitterSensitive bool
	// ColdRequestRate is the number of requests per second, from all hosts together, that
	// the server tolerates while it is cold; zero if unknown.
	ColdRequestRate float64
	// ColdTime is how long the service's servers usually stay cold; zero if unknown.
	ColdTime time.Duration
}

const (
	// minFirstEventLatency is the shortest time an engine takes to produce a
	// first event.
	minFirstEventLatency = 20 * time.Millisecond
	// slowdownHalfLife is the half-life of an observed slowdown. The decay lets
	// an engine that was slow be tried again.
	slowdownHalfLife = 2 * time.Second
	// slowdownWeight is the weight of a new observation in the moving average.
	slowdownWeight = 0.3
	// maxSlowdown is the maximum slowdown that a single observation counts as.
	maxSlowdown = 10.0

	// failuresToEject is the number of consecutive failures after which a
	// server is ejected.
	failuresToEject     = 3
	minEjectionDuration = time.Second
	maxEjectionDuration = 8 * time.Second
	// rejectedCoolDown is how long a server is avoided after it rejected a
	// request, as a full server does.
	rejectedCoolDown = 200 * time.Millisecond
	// minUnreachableBackoff is how long a server is avoided after the first
	// failed connection. It doubles with each further failure.
	minUnreachableBackoff = time.Second
	maxUnreachableBackoff = 8 * time.Second
	maxBackoffDoublings   = 8 // of minUnreachableBackoff; keeps the shift from overflowing
	// failureHalfLife is the half-life of the counts behind the failure ratio.
	failureHalfLife = 3 * time.Second
)

// roundTrip is the network's contribution to the time to the first byte.
var roundTrip = [...]time.Duration{
	SameDataCentre: 200 * time.Microsecond,
	SameRegion:     2 * time.Millisecond,
	OtherRegion:    60 * time.Millisecond,
}

// server holds the state of a backend server as seen by this host.
type server struct {
	Server
	hash uint64 // of the ID, to rank the engines

	inFlight int
	// queue holds the prompts of this host's requests whose first event has not
	// arrived yet.
	queue prefillQueue
	// streams counts this host's jitter-sensitive streams in progress.
	streams int
	// reserved marks an engine that is reserved for jitter-sensitive streams.
	reserved bool
	// slowdown is a moving average, at the time slowdownAt, of the observed
	// latency of first events divided by the nominal one, less one: 0 is the
	// nominal speed.
	slowdown   float64
	slowdownAt time.Time

	// decayedFailures and decayedSuccesses are exponentially decaying counts of
	// outcomes at the time decayedAt.
	decayedFailures  float64
	decayedSuccesses float64
	decayedAt        time.Time

	connectFailures     int // consecutive
	consecutiveFailures int
	ejectionDuration    time.Duration
	avoidUntil          time.Time
}

func newServer(description Server) *server {
	return &server{Server: description, hash: hashString(string(description.ID))}
}

// load returns the load that this host has outstanding at the server.
func (se *server) load() Load {
	load := se.queue.load()
	load.Streams = se.streams
	return load
}

// isAvoided reports whether the server is ejected, in cool-down or backed off.
func (se *server) isAvoided(now time.Time) bool {
	return now.Before(se.avoidUntil)
}

// slowdownFactor returns the factor by which the nominal latency is multiplied.
func (se *server) slowdownFactor(now time.Time) float64 {
	return 1 + se.slowdown*math.Exp2(-now.Sub(se.slowdownAt).Seconds()/slowdownHalfLife.Seconds())
}

// observeLatency updates the slowdown from the observed and the nominal latency
// of a first event.
func (se *server) observeLatency(now time.Time, latency, nominal time.Duration) {
	current := se.slowdownFactor(now) - 1
	observed := float64(latency)/float64(nominal) - 1
	se.slowdown = current + slowdownWeight*(min(max(0, observed), maxSlowdown)-current)
	se.slowdownAt = now
}

// failureRatio returns the fraction of recent requests that failed.
func (se *server) failureRatio(now time.Time) float64 {
	se.decayCounts(now)
	// One success is added, so that a single failure does not give a ratio of 1.
	return se.decayedFailures / (se.decayedFailures + se.decayedSuccesses + 1)
}

// decayCounts applies the exponential decay up to now.
func (se *server) decayCounts(now time.Time) {
	factor := math.Exp2(-now.Sub(se.decayedAt).Seconds() / failureHalfLife.Seconds())
	se.decayedFailures *= factor
	se.decayedSuccesses *= factor
	se.decayedAt = now
}

// recordSuccess counts a success and resets the consecutive failures and the
// durations that grow with them.
func (se *server) recordSuccess(now time.Time) {
	se.decayCounts(now)
	se.decayedSuccesses++
	se.consecutiveFailures, se.ejectionDuration, se.connectFailures = 0, 0, 0
}

// backOff keeps requests away from a server that could not be reached, with
// exponential backoff.
func (se *server) backOff(now time.Time) {
	backoff := min(minUnreachableBackoff<<min(se.connectFailures, maxBackoffDoublings), maxUnreachableBackoff)
	se.connectFailures++
	se.avoidUntil = now.Add(backoff)
}

// recordFailure counts a failed request. It reports whether the server should
// be ejected.
func (se *server) recordFailure(now time.Time) bool {
	se.decayCounts(now)
	se.decayedFailures++
	se.consecutiveFailures++
	return se.consecutiveFailures >= failuresToEject
}

// eject keeps requests away for a duration that doubles with each ejection and
// is reset by a successful request.
func (se *server) eject(now time.Time) {
	se.ejectionDuration = min(max(2*se.ejectionDuration, minEjectionDuration), maxEjectionDuration)
	se.avoidUntil = now.Add(se.ejectionDuration)
	se.consecutiveFailures = 0
}
