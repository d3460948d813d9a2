package meter

import (
	"slices"
	"strings"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// Outcomes are counted in a ring of slots for each window.
const (
	shortSlotDuration = time.Minute
	shortSlotCount    = 5
	longSlotDuration  = 5 * time.Minute
	longSlotCount     = 12
)

// ShortWindow and LongWindow are the windows over which burn rates are computed.
const (
	ShortWindow = shortSlotDuration * shortSlotCount
	LongWindow  = longSlotDuration * longSlotCount
)

// Counts counts how often a target was met and missed: by requests, or by tokens for
// BetweenTokens.
type Counts struct {
	Met    uint64 `json:"met"`
	Missed uint64 `json:"missed"`
}

// slot holds the counts of one time slot of a window.
type slot struct {
	number int64 // of the slot since the Unix epoch
	counts [targetCount]compactCounts
}

// compactCounts is Counts in half the memory; there is one for each slot and target.
type compactCounts struct {
	met, missed uint32
}

// ClassCounters counts the outcomes of one organisation's class since the host
// started.
type ClassCounters struct {
	Organisation mp.OrganisationID
	Name         mp.ClassName
	Tier         mp.Tier

	Requests  uint64
	Completed uint64
	// Goodput counts the tokens of answers that were delivered in full.
	Goodput mp.Tokens
	// Wasted counts tokens by WasteCause.
	Wasted   [wasteCount]mp.Tokens
	Failures map[mp.Kind]uint64
	Targets  [targetCount]Counts

	short [shortSlotCount]slot
	long  [longSlotCount]slot
}

func newClassCounters(organisation mp.OrganisationID, class *config.Class) *ClassCounters {
	return &ClassCounters{Organisation: organisation, Name: class.Name, Tier: class.Tier, Failures: map[mp.Kind]uint64{}}
}

// add counts outcomes in the totals and in both windows.
func (cl *ClassCounters) add(now time.Time, ta Target, met, missed uint64) {
	if met+missed == 0 {
		return
	}
	cl.Targets[ta].Met += met
	cl.Targets[ta].Missed += missed
	slotAt(cl.short[:], now, shortSlotDuration).add(ta, met, missed)
	slotAt(cl.long[:], now, longSlotDuration).add(ta, met, missed)
}

func (sl *slot) add(ta Target, met, missed uint64) {
	sl.counts[ta].met += uint32(met)
	sl.counts[ta].missed += uint32(missed)
}

// slotAt returns the slot of the ring for a time, cleared if it was last used for
// an older time. Slots begin at the same clock times on every host.
func slotAt(ring []slot, now time.Time, slotDuration time.Duration) *slot {
	number := now.UnixNano() / int64(slotDuration)
	sl := &ring[number%int64(len(ring))]
	if sl.number != number {
		*sl = slot{number: number}
	}
	return sl
}

// sumWindow returns the sum of the slots of a ring that are within its window.
func sumWindow(ring []slot, now time.Time, slotDuration time.Duration, ta Target) Counts {
	number := now.UnixNano() / int64(slotDuration)
	var total Counts
	for ix := range ring {
		if number-ring[ix].number < int64(len(ring)) {
			total.Met += uint64(ring[ix].counts[ta].met)
			total.Missed += uint64(ring[ix].counts[ta].missed)
		}
	}
	return total
}

// TargetReport holds the counts of one target since the host started, in ShortWindow
// and in LongWindow.
type TargetReport struct {
	Total Counts `json:"total"`
	Short Counts `json:"short"`
	Long  Counts `json:"long"`
}

// ClassTotals holds the requests and tokens of an organisation's class.
type ClassTotals struct {
	Organisation mp.OrganisationID    `json:"organisation"`
	Class        mp.ClassName         `json:"class"`
	Tier         mp.Tier              `json:"tier"`
	Requests     uint64               `json:"requests"`
	Completed    uint64               `json:"completed"`
	Goodput      mp.Tokens            `json:"goodput_tokens"`
	Wasted       map[string]mp.Tokens `json:"wasted_tokens,omitempty"`
	Failures     map[string]uint64    `json:"failures,omitempty"`
}

// Add adds the totals of the same class from another host. The receiver's maps must
// not be nil.
func (ct *ClassTotals) Add(other ClassTotals) {
	ct.Tier = other.Tier
	ct.Requests += other.Requests
	ct.Completed += other.Completed
	ct.Goodput += other.Goodput
	for cause, tokens := range other.Wasted {
		ct.Wasted[cause] += tokens
	}
	for kind, count := range other.Failures {
		ct.Failures[kind] += count
	}
}

// ClassReport holds the outcomes of a class, for operators.
type ClassReport struct {
	ClassTotals
	Targets map[string]TargetReport `json:"targets"`
}

func (cl *ClassCounters) report(now time.Time) ClassReport {
	cr := ClassReport{Targets: map[string]TargetReport{}, ClassTotals: ClassTotals{
		Organisation: cl.Organisation,
		Class:        cl.Name,
		Tier:         cl.Tier,
		Requests:     cl.Requests,
		Completed:    cl.Completed,
		Goodput:      cl.Goodput,
		Wasted:       map[string]mp.Tokens{},
		Failures:     map[string]uint64{},
	}}
	for wa, tokens := range cl.Wasted {
		if tokens > 0 {
			cr.Wasted[WasteCause(wa).String()] = tokens
		}
	}
	for kind, count := range cl.Failures {
		cr.Failures[kind.String()] = count
	}
	for ta := range targetCount {
		if cl.Targets[ta] == (Counts{}) {
			continue
		}
		cr.Targets[ta.String()] = TargetReport{
			Total: cl.Targets[ta],
			Short: sumWindow(cl.short[:], now, shortSlotDuration, ta),
			Long:  sumWindow(cl.long[:], now, longSlotDuration, ta),
		}
	}
	return cr
}

// TierReport holds the latency distributions of a tier, as an encoded Sketch for
// each target.
type TierReport struct {
	Tier     mp.Tier           `json:"tier"`
	Sketches map[string][]byte `json:"sketches"`
}

// Tiers returns the latency distributions of every tier with a recorded latency.
func (me *Meter) Tiers() []TierReport {
	var reports []TierReport
	for ti, tm := range me.tiers {
		if sketches := tm.encode(); len(sketches) > 0 {
			reports = append(reports, TierReport{Tier: mp.Tier(ti), Sketches: sketches})
		}
	}
	return reports
}

// encode returns the encoded sketches of the targets that have a value.
func (tm *tierMetrics) encode() map[string][]byte {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	sketches := map[string][]byte{}
	for ta, sk := range tm.sketches {
		if sk.Count() == 0 {
			continue
		}
		if encoded, err := sk.MarshalBinary(); err == nil {
			sketches[Target(ta).String()] = encoded
		}
	}
	return sketches
}

// Report returns the outcomes of every class that had a request, sorted by
// organisation and class.
func (me *Meter) Report() []ClassReport {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.clock.Now()
	reports := make([]ClassReport, 0, len(me.classes))
	for _, cl := range me.classes {
		reports = append(reports, cl.report(now))
	}
	slices.SortFunc(reports, func(a, b ClassReport) int {
		if order := strings.Compare(string(a.Organisation), string(b.Organisation)); order != 0 {
			return order
		}
		return strings.Compare(string(a.Class), string(b.Class))
	})
	return reports
}
