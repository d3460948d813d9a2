package replay

import (
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// ClassResult is the outcomes of the classes of one name.
type ClassResult struct {
	Class mp.ClassName `json:"class"`
	Tier  mp.Tier      `json:"tier"`

	Offered   int `json:"offered"`
	Completed int `json:"completed"`
	// FirstInTime counts first tokens within the target.
	FirstInTime int `json:"first_in_time"`
	// PromisedWork is the work within the promised shares, by one exact bucket
	// for each organisation's class, and PromisedInTime the part of it that was
	// given: in each window, the work with the first token in time, as far as
	// the promise goes. Both are in tokens.
	PromisedWork   mp.Tokens `json:"promised_work"`
	PromisedInTime mp.Tokens `json:"promised_in_time"`
	// Refused counts by kind.
	Refused    map[string]int `json:"refused,omitempty"`
	GapsInTime uint64         `json:"gaps_in_time"`
	GapsLate   uint64         `json:"gaps_late"`
	// Goodput counts tokens of whole answers.
	Goodput mp.Tokens `json:"goodput_tokens"`
	// Wasted counts tokens computed for nothing or again.
	Wasted      mp.Tokens `json:"wasted_tokens"`
	RemoteBytes mp.Bytes  `json:"remote_bytes"`

	firsts []time.Duration
}

// FirstToken returns the part of all offered requests with the first token in
// time. Refused ones count as missed.
func (cr *ClassResult) FirstToken() float64 { return part(cr.FirstInTime, cr.Offered) }

// FirstTokenPromised returns the part of the promised work with the first token
// in time.
func (cr *ClassResult) FirstTokenPromised() float64 {
	return part(int(cr.PromisedInTime), int(cr.PromisedWork))
}

// BetweenTokens returns the part of the gaps between tokens in time.
func (cr *ClassResult) BetweenTokens() float64 {
	return part(int(cr.GapsInTime), int(cr.GapsInTime+cr.GapsLate))
}

// FirstTokenP95 returns the 95th percentile of the time to the first token, of
// the requests that got one.
func (cr *ClassResult) FirstTokenP95() time.Duration {
	if len(cr.firsts) == 0 {
		return 0
	}
	slices.Sort(cr.firsts)
	return cr.firsts[len(cr.firsts)*95/100]
}

// RefusedTotal returns the count of refusals.
func (cr *ClassResult) RefusedTotal() int {
	total := 0
	for _, count := range cr.Refused {
		total += count
	}
	return total
}

func part(some, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(some) / float64(all)
}

// promiseWindow is the span over which given work is set against the promise.
const promiseWindow = time.Minute

// windowKey names a window of one organisation's class.
type windowKey struct {
	classKey
	number time.Duration
}

// window is the work of one organisation's class in a window.
type window struct {
	outcome  *ClassResult
	promised mp.Tokens
	inTime   mp.Tokens
}

func (cr *ClassResult) refuse(reason mp.Kind) {
	cr.Refused[reason.String()]++
}

func (cr *ClassResult) first(rq *request, taken time.Duration) {
	cr.firsts = append(cr.firsts, taken)
	if taken > rq.class.Targets.FirstToken.Std() {
		return
	}
	cr.FirstInTime++
	rq.window.inTime += rq.cost()
}

func (cr *ClassResult) complete(rq *request) {
	cr.Completed++
	cr.Goodput += rq.produced
	cr.GapsInTime += rq.onTime
	cr.GapsLate += rq.late
}

// Result is the outcomes of a replay.
type Result struct {
	Classes []*ClassResult `json:"classes"`
	// Lost counts requests that were neither answered nor refused.
	Lost int `json:"lost"`
	// WrongLength counts answers with more or fewer tokens than were recorded.
	WrongLength int `json:"doubled"`
	// Preempted counts requests that gave their slot to a higher tier.
	Preempted uint64 `json:"preempted"`
	// Recomputed counts tokens computed again after that.
	Recomputed mp.Tokens `json:"repeated_tokens"`
	// Capacity is the tokens that the engines would have given while requests
	// arrived with every slot taken; slots whose prompt was computed count as
	// taken.
	Capacity float64 `json:"capacity_tokens"`
	// GoodputOfCapacity is the tokens of whole answers that were produced while
	// requests arrived, as a part of the capacity.
	GoodputOfCapacity float64 `json:"goodput_of_capacity"`
	// WastedRatio is wasted and repeated tokens as a part of all.
	WastedRatio float64 `json:"wasted_part"`

	byName map[mp.ClassName]*ClassResult
	inTime mp.Tokens
}

func newResult() *Result {
	return &Result{byName: map[mp.ClassName]*ClassResult{}}
}

func (rs *Result) class(cl *config.Class) *ClassResult {
	cr, ok := rs.byName[cl.Name]
	if !ok {
		cr = &ClassResult{Class: cl.Name, Tier: cl.Tier, Refused: map[string]int{}}
		rs.byName[cl.Name] = cr
		rs.Classes = append(rs.Classes, cr)
	}
	return cr
}

// Class returns the outcomes of the classes of a name; nil if the trace has
// none.
func (rs *Result) Class(name mp.ClassName) *ClassResult {
	return rs.byName[name]
}

// finish adds up the totals.
func (re *replay) finish() {
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
		wi.outcome.PromisedWork += wi.promised
		wi.outcome.PromisedInTime += min(wi.promised, wi.inTime)
	}
	var goodput, wasted mp.Tokens
	for _, cr := range rs.Classes {
		goodput += cr.Goodput
		wasted += cr.Wasted
	}
	for _, id := range re.order {
		mo := re.engines[id]
		mo.reset()
		rs.Preempted += mo.preempted
		rs.Recomputed += mo.repeated
		full := mo.params.StepBase + time.Duration(mo.params.Slots)*mo.params.StepPerSequence
		rs.Capacity += float64(mo.possible) + float64(mo.params.Slots)*float64(re.last-mo.worked)/float64(full)
	}
	rs.GoodputOfCapacity = float64(rs.inTime) / max(1, rs.Capacity)
	rs.WastedRatio = float64(wasted+rs.Recomputed) / max(1, float64(goodput+wasted+rs.Recomputed))
}
