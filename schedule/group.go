package schedule

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/admission"
	"github.com/mangopaddle/mangopaddle/estimate"
)

// demandTime is over which time the demand of each tier is averaged.
const demandTime = 5 * time.Second

// group is the engines and the queue of one model.
type group struct {
	engines []*engine
	queue   *admission.Queue
	lengths *estimate.LengthHistogram
	demand  [mp.TierCount]rate
}

func newGroup() *group {
	return &group{queue: admission.New(), lengths: estimate.New(nil)}
}

func (gr *group) meanAnswer() mp.Tokens {
	return gr.lengths.Quantile(0.5)
}

// anyoneBefore says whether a request of the tier or a higher one waits.
func (gr *group) anyoneBefore(tier mp.Tier) bool {
	it := gr.queue.Peek()
	return it != nil && it.Tier <= tier
}

// drain estimates the tokens per second that the near engines give this host.
func (gr *group) drain(now time.Time, hosts int) float64 {
	var total float64
	for _, en := range gr.engines {
		if en.Leaving || en.isEjected(now) || en.Distance == OtherRegion {
			continue
		}
		total += en.limit / en.gap.Seconds()
	}
	return total / float64(hosts)
}

// lowestPart is the part of the drain that is assumed to be left for a tier
// however large the demand above it is.
const lowestPart = 0.02

// expectedWait estimates how long a new request of the tier waits for a place.
func (gr *group) expectedWait(now time.Time, tier mp.Tier, promised bool, hosts int) time.Duration {
	drain := gr.drain(now, hosts)
	if drain == 0 {
		return 0
	}
	left := drain
	for ti := range tier {
		left -= gr.demand[ti].at(now)
	}
	left = max(left, drain*lowestPart)
	return time.Duration(float64(gr.queue.CostAhead(tier, promised)) / left * float64(time.Second))
}

// ejectFailing ejects the engine if it failed too often and enough others
// remain.
func (gr *group) ejectFailing(now time.Time, en *engine) {
	if en.failures < failuresToEject {
		return
	}
	ejected := 0
	for _, other := range gr.engines {
		if other.isEjected(now) {
			ejected++
		}
	}
	if (ejected+1)*ejectedPart <= len(gr.engines) {
		en.eject(now)
	}
}

// ejectedPart is the share of a group, one in this many, that may be ejected.
const ejectedPart = 3

// rate is a fading mean of tokens per second.
type rate struct {
	value float64
	last  time.Time
}

func (ra *rate) at(now time.Time) float64 {
	passed := now.Sub(ra.last)
	if ra.last.IsZero() || passed > 10*demandTime {
		return 0
	}
	if passed <= 0 {
		return ra.value
	}
	return ra.value / (1 + passed.Seconds()/demandTime.Seconds())
}

func (ra *rate) add(now time.Time, cost mp.Tokens) {
	ra.value = ra.at(now) + float64(cost)/demandTime.Seconds()
	ra.last = now
}
