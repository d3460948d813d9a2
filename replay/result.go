package replay

import (
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// ClassResult holds the outcomes of the classes with one name, over all
// organisations.
type ClassResult struct {
	Class mp.ClassName `json:"class"`
	Tier  mp.Tier      `json:"tier"`

	Offered   int `json:"offered"`
	Completed int `json:"completed"`
	// FirstTokensInTime counts first tokens within the target.
	FirstTokensInTime int `json:"first_in_time"`
	// PromisedWork is the work within the promised rates, as one exact token bucket
	// for each organisation's class counts it. PromisedInTime is what was delivered of
	// it: in each window, the work whose first token met the target, up to the promised
	// work. Both are costs in tokens.
	PromisedWork   mp.Tokens `json:"promised_work"`
	PromisedInTime mp.Tokens `json:"promised_in_time"`
	// Refused counts refused requests by the kind of error.
	Refused map[string]int `json:"refused,omitempty"`
	// GapsInTime and GapsLate count the times between tokens within and beyond the
	// target.
	GapsInTime uint64 `json:"gaps_in_time"`
	GapsLate   uint64 `json:"gaps_late"`
	// Goodput counts the tokens of complete answers.
	Goodput mp.Tokens `json:"goodput_tokens"`
	// Wasted counts the answer tokens that were discarded and the prompt tokens that had
	// to be computed again after failed attempts.
	Wasted mp.Tokens `json:"wasted_tokens"`
	// InterRegionBytes is the traffic of prompts and answers between regions.
	InterRegionBytes mp.Bytes `json:"remote_bytes"`

	firstTokenTimes []time.Duration
}

// FirstTokenAttainment returns the fraction of all offered requests whose first token
// met the target. Refused requests count as misses.
func (cr *ClassResult) FirstTokenAttainment() float64 { return ratio(cr.FirstTokensInTime, cr.Offered) }

// PromisedFirstTokenAttainment returns the fraction of the promised work whose first
// token met the target.
func (cr *ClassResult) PromisedFirstTokenAttainment() float64 {
	return ratio(int(cr.PromisedInTime), int(cr.PromisedWork))
}

// BetweenTokensAttainment returns the fraction of the times between tokens within the
// target.
func (cr *ClassResult) BetweenTokensAttainment() float64 {
	return ratio(int(cr.GapsInTime), int(cr.GapsInTime+cr.GapsLate))
}

// FirstTokenP95 returns the 95th percentile of the time to the first token over the
// requests that got one, or zero if none did.
func (cr *ClassResult) FirstTokenP95() time.Duration {
	if len(cr.firstTokenTimes) == 0 {
		return 0
	}
	slices.Sort(cr.firstTokenTimes)
	return cr.firstTokenTimes[len(cr.firstTokenTimes)*95/100]
}

// RefusedTotal returns the number of refused requests.
func (cr *ClassResult) RefusedTotal() int {
	total := 0
	for _, count := range cr.Refused {
		total += count
	}
	return total
}

// ratio returns some/all, or 1 if all is zero.
func ratio(some, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(some) / float64(all)
}

// promiseWindow is the length of the windows in which delivered work is compared with
// promised work.
const promiseWindow = time.Minute

// windowKey identifies a window of one organisation's class.
type windowKey struct {
	classKey
	number time.Duration // index of the window, from the start of the replay
}

// window holds the work of one organisation's class in one window, as costs.
type window struct {
	classResult *ClassResult
	promised    mp.Tokens // within the promised rate
	inTime      mp.Tokens // of the requests whose first token met the target
}

func (cr *ClassResult) recordRefusal(reason mp.Kind) {
	cr.Refused[reason.String()]++
}

func (cr *ClassResult) recordFirstToken(rq *request, taken time.Duration) {
	cr.firstTokenTimes = append(cr.firstTokenTimes, taken)
	if taken > rq.class.Targets.FirstToken.Std() {
		return
	}
	cr.FirstTokensInTime++
	rq.window.inTime += rq.cost()
}

func (cr *ClassResult) recordCompletion(rq *request) {
	cr.Completed++
	cr.Goodput += rq.produced
	cr.GapsInTime += rq.gapsInTime
	cr.GapsLate += rq.gapsLate
}

// Result holds the outcomes of a replay.
type Result struct {
	Classes []*ClassResult `json:"classes"`
	// Lost counts requests that were neither completed nor refused.
	Lost int `json:"lost"`
	// WrongLength counts answers with more or fewer tokens than the trace has.
	WrongLength int `json:"doubled"`
	// Preemptions counts preemptions: sequences that lost their slot to a more urgent
	// one.
	Preemptions uint64 `json:"preempted"`
	// Recomputed counts tokens computed again after a preemption.
	Recomputed mp.Tokens `json:"repeated_tokens"`
	// Capacity is the number of tokens that the engines could have produced before
	// the last arrival with every slot taken. Slots in prefill produce none.
	Capacity float64 `json:"capacity_tokens"`
	// GoodputOfCapacity is the ratio of goodput to capacity: the tokens of complete
	// answers that were produced before the last arrival, divided by Capacity.
	GoodputOfCapacity float64 `json:"goodput_of_capacity"`
	// WastedRatio is the fraction of all tokens that were wasted or recomputed.
	WastedRatio float64 `json:"wasted_part"`

	byName                  map[mp.ClassName]*ClassResult
	tokensBeforeLastArrival mp.Tokens // of complete answers, produced before the last arrival
}

func newResult() *Result {
	return &Result{byName: map[mp.ClassName]*ClassResult{}}
}

// classResultFor returns the result of the classes with the name of the given class,
// which it adds if there is none yet.
func (rs *Result) classResultFor(cl *config.Class) *ClassResult {
	cr, ok := rs.byName[cl.Name]
	if !ok {
		cr = &ClassResult{Class: cl.Name, Tier: cl.Tier, Refused: map[string]int{}}
		rs.byName[cl.Name] = cr
		rs.Classes = append(rs.Classes, cr)
	}
	return cr
}

// Class returns the outcomes of the classes with a name, or nil if the trace has no
// request of them.
func (rs *Result) Class(name mp.ClassName) *ClassResult {
	return rs.byName[name]
}

// computeTotals sorts the classes and computes the totals of the result.
func (re *replay) computeTotals() {
	rs := re.result
	slices.SortFunc(rs.Classes, func(a, b *ClassResult) int {
		if a.Tier != b.Tier {
			return int(a.Tier - b.Tier)
		}
		if a.Class < b.Class {
			return -1
		}
		return 1
	})
	for _, wi := range re.windows {
		wi.classResult.PromisedWork += wi.promised
		wi.classResult.PromisedInTime += min(wi.promised, wi.inTime)
	}
	var goodput, wasted mp.Tokens
	for _, cr := range rs.Classes {
		goodput += cr.Goodput
		wasted += cr.Wasted
	}
	for _, id := range re.engineIDs {
		se := re.engines[id]
		se.reset()
		rs.Preemptions += se.preemptions
		rs.Recomputed += se.recomputed
		full := se.params.StepBase + time.Duration(se.params.Slots)*se.params.StepPerSequence
		rs.Capacity += float64(se.capacityTokens) + float64(se.params.Slots)*float64(re.lastArrival-se.busyTime)/float64(full)
	}
	rs.GoodputOfCapacity = float64(rs.tokensBeforeLastArrival) / max(1, rs.Capacity)
	rs.WastedRatio = float64(wasted+rs.Recomputed) / max(1, float64(goodput+wasted+rs.Recomputed))
}
