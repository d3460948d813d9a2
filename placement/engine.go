package placement

import (
	"cmp"
	"hash/fnv"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/rendezvous"
)

const (
	// maxRegionalPrefix is the longest shared prefix that has one owner per
	// region. A longer prefix has one owner over all regions, although requests
	// then cross regions: the engines of one region can't cache all long prefixes
	// of a class.
	maxRegionalPrefix mp.Tokens = 1500
	// prefixMissFactor multiplies the prefill time of a shared prefix on an
	// engine that is not expected to have it cached: the extra prefill delays
	// other requests and evicts their prefixes from the cache.
	prefixMissFactor = 10
	// crossRegionCostPerByte is the cost of each body byte that is sent to
	// another region.
	crossRegionCostPerByte = 8 * time.Microsecond
)

// chooseEngine returns the engine with the lowest cost, which is the expected
// latency plus the indirect cost. If the request would be late there and its
// shared prefix is short, it spills over to the cheapest engine on which it
// would be in time: one reserved for jitter-sensitive streams if the request is
// such a stream, and one that is not reserved otherwise.
func (pl *Placer) chooseEngine(now time.Time, rq *Request, candidates []*server) Choice {
	sharedPrefix, prefixID := rq.sharedPrefix()
	owner := prefixOwner(matchingEngines(candidates, rq.JitterSensitive), prefixID, sharedPrefix)
	meanQueueWait := pl.meanQueueWait(candidates)
	var best, onTime costedChoice
	for _, se := range candidates {
		ch := pl.estimate(now, rq, se, sharedPrefix, se == owner)
		ch.MeanQueueWait = meanQueueWait
		candidate := costedChoice{Choice: ch, cost: ch.ExpectedLatency + pl.indirectCost(rq, se, ch, sharedPrefix)}
		best = best.cheaper(candidate)
		if ch.Lateness(rq) <= 0 && se.reserved == rq.JitterSensitive {
			onTime = onTime.cheaper(candidate)
		}
	}
	maySpill := sharedPrefix <= maxRegionalPrefix || loadLevel(meanQueueWait, rq.shortestTarget()) < 1
	if maySpill && best.Lateness(rq) > 0 && onTime.Server.ID != "" {
		return onTime.Choice
	}
	return best.Choice
}

// costedChoice is a choice with its cost.
type costedChoice struct {
	Choice
	cost time.Duration
}

// cheaper returns the choice with the lower cost. A receiver with the zero value
// stands for no choice yet, so the other one is returned.
func (cc costedChoice) cheaper(other costedChoice) costedChoice {
	if cc.Server.ID == "" || other.cost < cc.cost {
		return other
	}
	return cc
}

// highLoadWaitRatios holds, by priority, the maximum wait behind queued prompts
// as a ratio of the latency target, while the mean queue is long. The last entry
// also holds for all less urgent priorities. When the engines can't prefill all
// prompts in time, the less urgent requests are refused first, so that urgent
// ones still start in time.
var highLoadWaitRatios = [...]float64{1.5, 0.8, 0.35}

// lowLoadWaitRatios is used instead while the mean queue is short: a single
// engine's long queue then drains soon enough for the response to be in time.
var lowLoadWaitRatios = [...]float64{1.5, 0.8, 0.6}

const (
	// lowLoadWait and highLoadWait are mean queue waits over the engines of a
	// service. Up to the first, lowLoadWaitRatios apply; from the second,
	// highLoadWaitRatios; in between, the limit is interpolated.
	lowLoadWait  = 60 * time.Millisecond
	highLoadWait = 180 * time.Millisecond
	// lowLoadRatio and highLoadRatio bound the two by the shortest latency target
	// in the queues: streams that must start sooner are late at shorter waits.
	lowLoadRatio  = 0.1
	highLoadRatio = 0.3
	// urgentWaitRatio is the fraction of the target of a more urgent request that
	// may pass before its own prompt is prefilled.
	urgentWaitRatio = 0.6
	// maxDeadlineRatio is the fraction of the time to the deadline within which
	// the first event must be expected.
	maxDeadlineRatio = 0.7
)

// loadLevel returns where the mean queue wait of the service's engines is between
// low load (0) and high load (1), for requests whose shortest target is the given one.
func loadLevel(meanQueueWait, shortestTarget time.Duration) float64 {
	low := min(lowLoadWait, scale(shortestTarget, lowLoadRatio))
	high := min(highLoadWait, scale(shortestTarget, highLoadRatio))
	if meanQueueWait >= high {
		return 1
	}
	return max(0, float64(meanQueueWait-low)/float64(high-low))
}

// maxQueueWait returns the maximum queue wait of the request, given the mean queue
// wait of the service's engines and the time in which its own prompt is prefilled. It is at
// most that of each more urgent class, whatever the latency targets are, for the same queue share.
func (rq *Request) maxQueueWait(meanQueueWait, prefill time.Duration) time.Duration {
	level := loadLevel(meanQueueWait, rq.shortestTarget())
	own := UrgentClass{Priority: rq.Priority, LatencyTarget: rq.LatencyTarget, UrgentLatencyTarget: rq.UrgentLatencyTarget}
	limit := own.waitLimit(level, prefill)
	for _, uc := range rq.MoreUrgent {
		limit = min(limit, uc.waitLimit(level, prefill))
	}
	if rq.QueueShare > 0 && rq.QueueShare < 1 {
		limit = scale(limit, rq.QueueShare)
	}
	return limit
}

// maxWaitBeforeUrgent returns the maximum queue wait with which a more urgent request
// that arrives next in the same queue is still in time behind this one and its prompt.
// Without that bound, requests with a generous target or a long prompt would fill the
// queues up to a length at which more urgent ones are late or refused.
func maxWaitBeforeUrgent(urgentTarget, prefill time.Duration) time.Duration {
	bound := scale(urgentTarget, urgentWaitRatio) - prefill
	return max(bound, scale(urgentTarget, lowLoadRatio))
}

// scale returns a duration multiplied by a factor.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}

// shortestTarget returns the shortest latency target of the request itself and the more
// urgent ones that wait in the same queues.
func (rq *Request) shortestTarget() time.Duration {
	shortest := rq.LatencyTarget
	if rq.UrgentLatencyTarget > 0 {
		shortest = min(shortest, rq.UrgentLatencyTarget)
	}
	for _, uc := range rq.MoreUrgent {
		shortest = min(shortest, uc.LatencyTarget)
	}
	return shortest
}

// meanQueueWait returns how long a new prompt would wait behind the queued ones
// at the nominal rate, in the mean over the engines that are not reserved for
// jitter-sensitive streams.
func (pl *Placer) meanQueueWait(engines []*server) time.Duration {
	var total mp.Tokens
	count := 0
	for _, se := range engines {
		if se.reserved {
			continue
		}
		total += se.queue.total() + pl.peerLoad(se.ID).PrefillTokens
		count++
	}
	return prefillDuration(total / mp.Tokens(max(1, count)))
}

// Lateness returns by how much the expected queue wait on the chosen engine
// exceeds the maximum for the request's priority, or the expected latency without
// less urgent prompts exceeds maxDeadlineRatio of the time to the deadline, whichever
// is more. It is zero or negative if the request should be sent, and zero for servers
// that are not engines.
func (ch Choice) Lateness(rq *Request) time.Duration {
	if !ch.Server.IsEngine {
		return 0
	}
	lateness := ch.QueueWait - rq.maxQueueWait(ch.MeanQueueWait, prefillDuration(ch.PrefillTokens))
	if rq.TimeToDeadline > 0 {
		lateness = max(lateness, ch.ExpectedLatency-ch.LessUrgentWait-scale(rq.TimeToDeadline, maxDeadlineRatio))
	}
	return lateness
}

// prefixOwner returns the engine that is expected to have a shared prefix cached;
// nil if there is no shared prefix. Rendezvous hashing makes all hosts return the
// same engine or, for a short prefix, all hosts of a region.
func prefixOwner(candidates []*server, prefixID uint64, prefixTokens mp.Tokens) *server {
	if prefixID == 0 {
		return nil
	}
	scope := candidates
	if prefixTokens <= maxRegionalPrefix {
		scope = inRegion(candidates)
	}
	owner := scope[0]
	for _, se := range scope[1:] {
		if order := cmp.Compare(rendezvous.Mix(se.hash^prefixID), rendezvous.Mix(owner.hash^prefixID)); order > 0 || (order == 0 && se.ID < owner.ID) {
			owner = se
		}
	}
	return owner
}

// indirectCost returns the cost of a choice besides the latency of its own
// request, expressed as a latency: prefill of an uncached prefix, interference
// with or by jitter-sensitive streams, and traffic between regions.
func (pl *Placer) indirectCost(rq *Request, se *server, ch Choice, prefixTokens mp.Tokens) time.Duration {
	var cost time.Duration
	if !ch.PrefixCached {
		cost += prefixMissFactor * prefillDuration(prefixTokens)
	}
	if se.reserved != rq.JitterSensitive {
		cost += pl.interference(rq, se)
	}
	if se.Distance == OtherRegion {
		cost += time.Duration(rq.BodyBytes) * crossRegionCostPerByte
	}
	return cost
}

// estimate returns the choice of an engine with its expected latency. Only the
// owner of the shared prefix is assumed to have it cached.
func (pl *Placer) estimate(now time.Time, rq *Request, se *server, prefixTokens mp.Tokens, cached bool) Choice {
	prefillTokens := rq.PromptTokens
	if cached {
		prefillTokens -= prefixTokens
	}
	prefillTokens = max(0, prefillTokens)
	level := LevelOf(rq.Priority)
	load := se.load().plus(pl.peerLoad(se.ID))
	wholeQueue := prefillDuration(load.PrefillTokens)
	nominalLatency := minFirstEventLatency + wholeQueue + prefillDuration(prefillTokens)
	if rq.JitterSensitive {
		nominalLatency += time.Duration(load.Streams) * latencyPerStream
	}
	slowdown := se.slowdownFactor(now)
	expected := roundTrip[se.Distance] + time.Duration(float64(nominalLatency)*slowdown) +
		time.Duration(se.failureRatio(now)*float64(failureCost))
	queueWait := scale(prefillDuration(load.tokensAhead(level)), slowdown)
	return Choice{
		Server:          se.Server,
		ExpectedLatency: expected,
		QueueWait:       queueWait,
		LessUrgentWait:  scale(wholeQueue, slowdown) - queueWait,
		Level:           level,
		PrefixCached:    cached,
		InFlight:        se.inFlight,
		PrefillTokens:   prefillTokens,
		JitterSensitive: rq.JitterSensitive,
		nominalLatency:  nominalLatency,
	}
}

// inRegion returns the servers in the region of the host, or all servers if
// there are none.
func inRegion(candidates []*server) []*server {
	local := make([]*server, 0, len(candidates))
	for _, se := range candidates {
		if se.Distance != OtherRegion {
			local = append(local, se)
		}
	}
	if len(local) == 0 {
		return candidates
	}
	return local
}

func hashString(text string) uint64 {
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(text))
	return ha.Sum64()
}
