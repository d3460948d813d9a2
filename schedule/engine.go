package schedule

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/affinity"
)

// Distance is how far an engine is from the host.
type Distance int

// The distances.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Engine describes an engine to the scheduler.
type Engine struct {
	ID     mp.EngineID
	Models []mp.ModelID
	// Slots is how many requests the engine batches.
	Slots int
	// Distance is how far the engine is from the host.
	Distance Distance
	// Leaving says that the engine gets no new request.
	Leaving bool
}

const (
	initialGap     = 25 * time.Millisecond
	initialPrefill = 50 * time.Microsecond // per prompt token

	// speedWeight is the weight of a new observation in a running mean.
	speedWeight = 0.1
	// lagHalfLife is how fast an engine's observed lag is forgotten, so that a
	// slow engine is tried again.
	lagHalfLife = 10 * time.Second
	maxLag      = 10 * time.Second

	// oldestLoad is the age beyond which a report is not used.
	oldestLoad = 1500 * time.Millisecond
	// loadLifetime is how long a reported load counts.
	loadLifetime = 3 * time.Second

	// failuresToEject is how many runs in a row must fail.
	failuresToEject = 3
	firstEjection   = 2 * time.Second

	firstAvoidance   = 500 * time.Millisecond
	longestAvoidance = 8 * time.Second
	maxDoublings     = 10

	longestEjection = time.Minute

	limitDecrease   = 0.95
	limitInterval   = 500 * time.Millisecond // between two decreases
	lowestLimitPart = 0.25                   // of the slots
	targetMargin    = 0.9                    // of a target, below which a limit may grow
)

// remoteDelay is the one-way delay that counts against an engine.
var remoteDelay = [...]time.Duration{SameDataCentre: 0, SameRegion: time.Millisecond, OtherRegion: 30 * time.Millisecond}

// engine is what the scheduler knows of an engine.
type engine struct {
	Engine
	sketch *affinity.PrefixTable // nil until a prefix was sent

	own      int // this host's requests in flight
	others   int // other hosts' requests, by the last report
	loadAt   time.Time
	limit    float64
	limitAt  time.Time
	gap      time.Duration // between tokens, running mean
	lag      time.Duration // first token later than expected, running mean
	lagAt    time.Time
	failures int
	ejection time.Duration
	ejected  time.Time // until when
	// unreached counts the runs in a row that could not reach the engine.
	unreached int
}

func newEngine(en Engine) *engine {
	return &engine{Engine: en, limit: float64(en.Slots), gap: initialGap}
}

// note records that the engine was sent a prefix.
func (en *engine) note(now time.Time, wo *mp.Request) {
	if wo.PrefixID == 0 {
		return
	}
	if en.sketch == nil {
		en.sketch = affinity.New()
	}
	en.sketch.Add(now, wo.PrefixID, wo.PrefixTokens)
}

// cached returns how much of the request's prefix the engine probably has.
func (en *engine) cached(now time.Time, wo *mp.Request) mp.Tokens {
	if en.sketch == nil {
		return 0
	}
	return min(en.sketch.CachedTokens(now, wo.PrefixID), wo.PrefixTokens)
}

// update takes a changed description.
func (en *engine) update(description Engine) {
	if description.Slots != en.Slots {
		en.limit = float64(description.Slots)
	}
	en.Engine = description
}

// occupancy estimates how many requests of all hosts the engine has.
func (en *engine) occupancy(now time.Time, hosts int) int {
	if now.Sub(en.loadAt) < loadLifetime {
		return en.own + en.others
	}
	return en.own * hosts
}

// observeLoad takes a reported load. An old one is worse than none: hosts that
// trust it all pick the same engine.
func (en *engine) observeLoad(now time.Time, load mp.EngineLoad) {
	if load.Age.Std() > oldestLoad {
		return
	}
	en.others = max(0, load.Running+load.Waiting-en.own)
	en.loadAt = now
}

func (en *engine) isEjected(now time.Time) bool {
	return now.Before(en.ejected)
}

// currentLag returns the lag, faded by the time since it was observed.
func (en *engine) currentLag(now time.Time) time.Duration {
	if en.lag == 0 {
		return 0
	}
	halvings := now.Sub(en.lagAt) / lagHalfLife
	if halvings > 30 {
		return 0
	}
	return en.lag >> uint(max(0, halvings))
}

// observe takes the outcome of a run.
func (en *engine) observe(now time.Time, jo *job, outcome mp.Outcome) {
	if outcome.Unreachable {
		en.avoid(now)
		return
	}
	en.unreached = 0
	if outcome.Failed {
		en.failures++
		return
	}
	en.failures, en.ejection = 0, 0
	en.observeSpeed(now, jo, outcome)
}

func (en *engine) observeSpeed(now time.Time, jo *job, outcome mp.Outcome) {
	if outcome.TimeToFirstToken > 0 {
		late := min(maxLag, max(0, outcome.TimeToFirstToken-jo.expected))
		en.lag = blend(en.currentLag(now), late)
		en.lagAt = now
	}
	if outcome.MeanTimeBetweenTokens > 0 {
		en.gap = blend(en.gap, outcome.MeanTimeBetweenTokens)
		en.adjustLimit(now, jo.work.BetweenTokensTarget, outcome.MeanTimeBetweenTokens)
	}
}

// adjustLimit keeps the time between tokens within the target: it lowers the
// limit by a factor when a run missed, and raises it by one request for each
// full round of runs that had room to spare.
func (en *engine) adjustLimit(now time.Time, target, gap time.Duration) {
	if target <= 0 {
		return
	}
	if gap > target && now.Sub(en.limitAt) >= limitInterval {
		en.limit = max(en.limit*limitDecrease, float64(en.Slots)*lowestLimitPart, 1)
		en.limitAt = now
		return
	}
	if float64(gap) < float64(target)*targetMargin {
		en.limit = min(en.limit+1/en.limit, float64(en.Slots))
	}
}

// avoid keeps requests away from an engine that cannot be reached, for a time
// that doubles. Unlike an ejection it needs no proof by several runs.
func (en *engine) avoid(now time.Time) {
	wait := min(firstAvoidance<<min(en.unreached, maxDoublings), longestAvoidance)
	en.unreached++
	en.ejected = now.Add(wait)
}

// eject keeps new requests away for a time that doubles with each ejection.
func (en *engine) eject(now time.Time) {
	en.ejection = min(max(2*en.ejection, firstEjection), longestEjection)
	en.ejected = now.Add(en.ejection)
	en.failures = 0
}

func blend(mean, observed time.Duration) time.Duration {
	return mean + time.Duration(float64(observed-mean)*speedWeight)
}
