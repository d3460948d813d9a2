package schedule

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/admission"
	"github.com/mangopaddle/mangopaddle/estimate"
)

// demandTimeConstant is the time over which the demand of each tier is averaged.
const demandTimeConstant = 5 * time.Second

// modelGroup holds the engines and the queue of one model.
type modelGroup struct {
	engines       []*engine
	queue         *admission.Queue
	answerLengths *estimate.LengthHistogram
	demandByTier  [mp.TierCount]decayingRate // cost per second of the requests submitted to this host
}

func newModelGroup() *modelGroup {
	return &modelGroup{queue: admission.New(), answerLengths: estimate.New(nil)}
}

// medianAnswer returns the median length of past answers of the model.
func (mg *modelGroup) medianAnswer() mp.Tokens {
	return mg.answerLengths.Quantile(0.5)
}

// hasWaitingAhead reports whether a request of the tier or a more urgent one waits.
func (mg *modelGroup) hasWaitingAhead(tier mp.Tier) bool {
	it := mg.queue.Peek()
	return it != nil && it.Tier <= tier
}

// serviceRate estimates this host's fraction of the throughput of the engines in its
// region, in tokens per second.
func (mg *modelGroup) serviceRate(now time.Time, hosts int) float64 {
	var total float64
	for _, en := range mg.engines {
		if en.Draining || en.isAvoided(now) || en.Distance == OtherRegion {
			continue
		}
		total += en.concurrencyLimit / en.timeBetweenTokens.Seconds()
	}
	return total / float64(hosts)
}

// minServiceFraction is the fraction of the service rate that a tier is assumed to
// get, whatever the demand of more urgent tiers.
const minServiceFraction = 0.02

// expectedWait estimates the queueing delay of a new request of the tier: the cost
// of the requests ahead of it, divided by the service rate that the demand of more
// urgent tiers leaves. It is zero if there is no engine to base an estimate on.
func (mg *modelGroup) expectedWait(now time.Time, tier mp.Tier, promised bool, hosts int) time.Duration {
	serviceRate := mg.serviceRate(now, hosts)
	if serviceRate == 0 {
		return 0
	}
	available := serviceRate
	for ti := range tier {
		available -= mg.demandByTier[ti].valueAt(now)
	}
	available = max(available, serviceRate*minServiceFraction)
	return time.Duration(float64(mg.queue.CostAhead(tier, promised)) / available * float64(time.Second))
}

// ejectIfFailing ejects the engine after failuresToEject consecutive failures, unless
// more than one in maxAvoidedDivisor of the group's engines would then be avoided.
func (mg *modelGroup) ejectIfFailing(now time.Time, en *engine) {
	if en.consecutiveFailures < failuresToEject {
		return
	}
	avoided := 0
	for _, other := range mg.engines {
		if other.isAvoided(now) {
			avoided++
		}
	}
	if (avoided+1)*maxAvoidedDivisor <= len(mg.engines) {
		en.eject(now)
	}
}

// maxAvoidedDivisor bounds ejection: an engine is not ejected if this would leave more
// than one in this many engines of its group ejected or backed off.
const maxAvoidedDivisor = 3

// decayingRate is a decaying average of a rate in tokens per second. The decay is
// hyperbolic: the rate halves in the first demandTimeConstant without new requests.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the rate at a time, decayed since the last update. It is zero after
// more than ten time constants.
func (dr *decayingRate) valueAt(now time.Time) float64 {
	passed := now.Sub(dr.updatedAt)
	if dr.updatedAt.IsZero() || passed > 10*demandTimeConstant {
		return 0
	}
	if passed <= 0 {
		return dr.value
	}
	return dr.value / (1 + passed.Seconds()/demandTimeConstant.Seconds())
}

// add adds the cost of a request that was submitted now.
func (dr *decayingRate) add(now time.Time, cost mp.Tokens) {
	dr.value = dr.valueAt(now) + float64(cost)/demandTimeConstant.Seconds()
	dr.updatedAt = now
}
