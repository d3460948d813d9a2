package schedule

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/affinity"
)

// Distance is the network distance between an engine and this host.
type Distance int

// The distances, from near to far.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Engine is the configuration of an engine as the scheduler needs it.
type Engine struct {
	ID     mp.EngineID
	Models []mp.ModelID
	// Slots is the number of requests that the engine runs in one batch.
	Slots int
	// Distance is the network distance from this host.
	Distance Distance
	// Draining marks an engine that gets no new requests and finishes those in flight.
	Draining bool
}

const (
	initialTimeBetweenTokens = 25 * time.Millisecond // until an attempt was observed
	assumedPrefillPerToken   = 50 * time.Microsecond // for each uncached prompt token

	// ewmaWeight is the weight of a new observation in an exponentially weighted
	// moving average.
	ewmaWeight = 0.1
	// excessLatencyHalfLife is the half-life of an engine's excess latency. The
	// decay makes the scheduler try a slow engine again.
	excessLatencyHalfLife = 10 * time.Second
	maxExcessLatency      = 10 * time.Second
	maxHalvings           = 30 // after which the excess latency counts as zero

	// maxReportAge is the age above which a load report is ignored on arrival.
	maxReportAge = 1500 * time.Millisecond
	// loadReportTTL is how long an accepted load report is used.
	loadReportTTL = 3 * time.Second

	// failuresToEject is the number of consecutive failed attempts after which an
	// engine is ejected.
	failuresToEject     = 3
	minEjectionDuration = 2 * time.Second

	// minUnreachableBackoff and maxUnreachableBackoff bound the exponential backoff for
	// an engine that cannot be reached.
	minUnreachableBackoff = 500 * time.Millisecond
	maxUnreachableBackoff = 8 * time.Second
	maxBackoffDoublings   = 10 // of minUnreachableBackoff; keeps the shift from overflowing

	maxEjectionDuration = time.Minute
	// maxPause bounds the pause that an engine asks for: the host doesn't hear of a
	// restart that ends it.
	maxPause = 5 * time.Minute

	limitDecreaseFactor    = 0.95
	limitDecreaseInterval  = 500 * time.Millisecond // minimum time between two decreases
	minLimitFraction       = 0.25                   // lower bound of the limit, as a fraction of the slots
	limitIncreaseThreshold = 0.9                    // fraction of the target below which the limit may grow
)

// networkDelay is the one-way network delay assumed for each distance.
var networkDelay = [...]time.Duration{SameDataCentre: 0, SameRegion: time.Millisecond, OtherRegion: 30 * time.Millisecond}

// engine is the configuration and observed state of an engine.
type engine struct {
	Engine
	prefixes *affinity.PrefixTable // prefixes probably in the engine's cache; nil until one was sent

	inFlight            int // requests of this host
	otherHostsInFlight  int // requests of other hosts, from the last load report
	loadReportedAt      time.Time
	concurrencyLimit    float64 // for the requests of all hosts; adapted by adjustLimit
	limitDecreasedAt    time.Time
	timeBetweenTokens   time.Duration // moving average
	excessLatency       time.Duration // of the first token over its estimate; moving average
	excessLatencyAt     time.Time
	consecutiveFailures int
	ejectionDuration    time.Duration // length of the last ejection; zero after a successful attempt
	avoidUntil          time.Time
	pausedUntil         time.Time // the engine wants no requests before
	// consecutiveUnreachable counts consecutive attempts that could not reach the engine.
	consecutiveUnreachable int
}

func newEngine(en Engine) *engine {
	return &engine{Engine: en, concurrencyLimit: float64(en.Slots), timeBetweenTokens: initialTimeBetweenTokens}
}

// recordPrefix records that the request's prefix was sent to the engine.
func (en *engine) recordPrefix(now time.Time, rq *mp.Request) {
	if rq.PrefixID == 0 {
		return
	}
	if en.prefixes == nil {
		en.prefixes = affinity.New()
	}
	en.prefixes.Add(now, rq.PrefixID, rq.PrefixTokens)
}

// cachedTokens estimates how many tokens of the request's prefix are in the
// engine's prefix cache.
func (en *engine) cachedTokens(now time.Time, rq *mp.Request) mp.Tokens {
	if en.prefixes == nil {
		return 0
	}
	return min(en.prefixes.CachedTokens(now, rq.PrefixID), rq.PrefixTokens)
}

// update applies a changed configuration. A change of the slots resets the
// concurrency limit.
func (en *engine) update(spec Engine) {
	if spec.Slots != en.Slots {
		en.concurrencyLimit = float64(spec.Slots)
	}
	en.Engine = spec
}

// occupancy estimates the requests of all hosts on the engine. Without a recent
// load report it assumes that every host has as many as this one.
func (en *engine) occupancy(now time.Time, hosts int) int {
	if now.Sub(en.loadReportedAt) < loadReportTTL {
		return en.inFlight + en.otherHostsInFlight
	}
	return en.inFlight * hosts
}

// observeLoad records a load report. Reports older than maxReportAge are ignored:
// hosts that act on stale load all pick the same engine. So are those that no engine can
// mean.
func (en *engine) observeLoad(now time.Time, load mp.EngineLoad) {
	if load.Age.Std() > maxReportAge || !load.IsPossible() {
		return
	}
	en.otherHostsInFlight = max(0, load.Running+load.Waiting-en.inFlight)
	en.loadReportedAt = now
}

// isAvoided reports whether the engine is ejected, backed off or in a pause, and so gets no
// new requests.
func (en *engine) isAvoided(now time.Time) bool {
	return now.Before(en.avoidUntil) || en.isPaused(now)
}

// isPaused reports whether the engine wants no requests. Unlike one that is avoided for
// its failures, it isn't tried for want of another either.
func (en *engine) isPaused(now time.Time) bool {
	return now.Before(en.pausedUntil)
}

// pause keeps requests away from an engine for the time that it asked for.
func (en *engine) pause(now time.Time, pause time.Duration) {
	if until := now.Add(min(pause, maxPause)); until.After(en.pausedUntil) {
		en.pausedUntil = until
	}
}

// decayedExcessLatency returns the excess latency, halved for each half-life since
// its last observation.
func (en *engine) decayedExcessLatency(now time.Time) time.Duration {
	if en.excessLatency == 0 {
		return 0
	}
	halvings := now.Sub(en.excessLatencyAt) / excessLatencyHalfLife
	if halvings > maxHalvings {
		return 0
	}
	return en.excessLatency >> uint(max(0, halvings))
}

// recordOutcome updates the engine's state with the outcome of an attempt.
func (en *engine) recordOutcome(now time.Time, jo *job, outcome mp.Outcome) {
	if outcome.Pause > 0 {
		en.pause(now, outcome.Pause)
	}
	if outcome.Unreachable {
		en.backOff(now)
		return
	}
	if outcome.Failed {
		en.consecutiveUnreachable = 0
		en.consecutiveFailures++
		return
	}
	if outcome.Completed || outcome.TimeToFirstToken > 0 { // otherwise the caller disconnected or gave up before the engine answered
		en.consecutiveUnreachable, en.consecutiveFailures, en.ejectionDuration = 0, 0, 0
	}
	en.recordLatency(now, jo, outcome)
}

// recordLatency updates the moving averages and the concurrency limit after a
// successful attempt.
func (en *engine) recordLatency(now time.Time, jo *job, outcome mp.Outcome) {
	if outcome.TimeToFirstToken > 0 {
		excess := min(maxExcessLatency, max(0, outcome.TimeToFirstToken-jo.expectedTTFT))
		en.excessLatency = ewma(en.decayedExcessLatency(now), excess)
		en.excessLatencyAt = now
	}
	if outcome.MeanTimeBetweenTokens > 0 {
		en.timeBetweenTokens = ewma(en.timeBetweenTokens, outcome.MeanTimeBetweenTokens)
		en.adjustLimit(now, jo.request.BetweenTokensTarget, outcome.MeanTimeBetweenTokens)
	}
}

// adjustLimit adapts the concurrency limit so that the time between tokens stays
// within the target, by additive increase and multiplicative decrease: an attempt that
// missed the target lowers the limit by a factor, at most once in
// limitDecreaseInterval, and each attempt well below the target raises it by 1/limit,
// which adds up to one request when as many attempts as the limit have ended.
func (en *engine) adjustLimit(now time.Time, target, observed time.Duration) {
	if target <= 0 {
		return
	}
	if observed > target && now.Sub(en.limitDecreasedAt) >= limitDecreaseInterval {
		en.concurrencyLimit = max(en.concurrencyLimit*limitDecreaseFactor, float64(en.Slots)*minLimitFraction, 1)
		en.limitDecreasedAt = now
		return
	}
	if float64(observed) < float64(target)*limitIncreaseThreshold {
		en.concurrencyLimit = min(en.concurrencyLimit+1/en.concurrencyLimit, float64(en.Slots))
	}
}

// backOff keeps new requests away from an engine that cannot be reached, with
// exponential backoff. Unlike an ejection, it takes effect after a single attempt.
func (en *engine) backOff(now time.Time) {
	backoff := min(minUnreachableBackoff<<min(en.consecutiveUnreachable, maxBackoffDoublings), maxUnreachableBackoff)
	en.consecutiveUnreachable++
	en.avoidUntil = now.Add(backoff)
}

// eject keeps new requests away from the engine, for a duration that doubles with
// each ejection and is reset by a successful attempt.
func (en *engine) eject(now time.Time) {
	en.ejectionDuration = min(max(2*en.ejectionDuration, minEjectionDuration), maxEjectionDuration)
	en.avoidUntil = now.Add(en.ejectionDuration)
	en.consecutiveFailures = 0
}

// ewma returns the exponentially weighted moving average after an observation.
func ewma(mean, observed time.Duration) time.Duration {
	return mean + time.Duration(float64(observed-mean)*ewmaWeight)
}
