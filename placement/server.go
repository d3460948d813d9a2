package placement

import (
	"math"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Distance is how far a backend server is from the host.
type Distance int

// The distances.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Server describes a backend server that may get requests.
type Server struct {
	ID       mp.ServerID
	Service  mp.ServiceName
	Address  string
	Slots    int
	Distance Distance
	// Engine says that the server is a model engine.
	Engine bool
	// JitterSensitive says that steady streams are among the work of the service.
	JitterSensitive bool
}

const (
	// initialReadRate is how fast a model engine is taken to read prompts before
	// any of its answers was seen.
	initialReadRate = 40_000.0 // tokens/s
	// stepTime is the least time until a first event.
	stepTime = 20 * time.Millisecond
	// slownessHalfLife is how fast an observed slowness is forgotten, so that an
	// engine that was slow is tried again.
	slownessHalfLife = 2 * time.Second
	// slownessWeight is the weight of a new observation.
	slownessWeight = 0.3
	mostSlowness   = 10.0

	// failuresToEject is how many failures in a row take a server out.
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 8 * time.Second
	// rejectedTime is how long a server that was full is avoided.
	rejectedTime = 200 * time.Millisecond
	// unreachableTime is how long a server that could not be reached is avoided.
	// It doubles with each further try.
	unreachableTime        = time.Second
	longestUnreachableTime = 8 * time.Second
	// failureHalfLife is how fast the share of failed requests is forgotten.
	failureHalfLife = 3 * time.Second
)

// roundTrip is the network's part of the time to the first byte.
var roundTrip = [...]time.Duration{
	SameDataCentre: 200 * time.Microsecond,
	SameRegion:     2 * time.Millisecond,
	OtherRegion:    60 * time.Millisecond,
}

// server is what a host knows of a backend server.
type server struct {
	Server
	hash uint64 // of the identifier

	inFlight int
	// unread counts the prompt tokens of own requests without a first event.
	unread mp.Tokens
	// streams counts own steady streams in progress.
	streams int
	// reserved says that the engine is kept for steady streams.
	reserved bool
	// slowness is how many times longer than expected the reading took, beyond
	// one, a running mean at the time slownessAt.
	slowness   float64
	slownessAt time.Time

	// failed and succeeded are fading counts of outcomes at the time countedAt.
	failed    float64
	succeeded float64
	countedAt time.Time

	unreached int // tries in a row that could not reach the server
	failures  int // in a row
	ejection  time.Duration
	until     time.Time // the server is avoided
}

func newServer(description Server) *server {
	return &server{Server: description, hash: hashText(string(description.ID))}
}

// isAvoided says whether the server is not to be used at a time.
func (se *server) isAvoided(now time.Time) bool {
	return now.Before(se.until)
}

// currentSlowness returns by what the expected reading is multiplied.
func (se *server) currentSlowness(now time.Time) float64 {
	return 1 + se.slowness*math.Exp2(-now.Sub(se.slownessAt).Seconds()/slownessHalfLife.Seconds())
}

// observeSpeed takes how long a reading took and how long it was expected to.
func (se *server) observeSpeed(now time.Time, took, reading time.Duration) {
	known := se.currentSlowness(now) - 1
	observed := float64(took)/float64(reading) - 1
	se.slowness = known + slownessWeight*(min(max(0, observed), mostSlowness)-known)
	se.slownessAt = now
}

// failureShare returns the share of recent requests that failed.
func (se *server) failureShare(now time.Time) float64 {
	se.fadeCounts(now)
	// One success is assumed, so that a single failure doesn't condemn.
	return se.failed / (se.failed + se.succeeded + 1)
}

func (se *server) fadeCounts(now time.Time) {
	kept := math.Exp2(-now.Sub(se.countedAt).Seconds() / failureHalfLife.Seconds())
	se.failed *= kept
	se.succeeded *= kept
	se.countedAt = now
}

// succeed records an answer.
func (se *server) succeed(now time.Time) {
	se.fadeCounts(now)
	se.succeeded++
	se.failures, se.ejection, se.unreached = 0, 0, 0
}

// avoid keeps requests away from a server that could not be reached.
func (se *server) avoid(now time.Time) {
	wait := min(unreachableTime<<min(se.unreached, 8), longestUnreachableTime)
	se.unreached++
	se.until = now.Add(wait)
}

// fail records a failed request. It reports whether the server should be
// ejected.
func (se *server) fail(now time.Time) bool {
	se.fadeCounts(now)
	se.failed++
	se.failures++
	return se.failures >= failuresToEject
}

// eject keeps requests away for a time that doubles.
func (se *server) eject(now time.Time) {
	se.ejection = min(max(2*se.ejection, firstEjection), longestEjection)
	se.until = now.Add(se.ejection)
	se.failures = 0
}
