// Package meter counts the outcomes of requests for each organisation and class:
// attainment of every target, goodput, wasted tokens and refusals by kind.
package meter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// Target is one of the latency targets of a class.
type Target int

// The targets.
const (
	FirstToken Target = iota
	BetweenTokens
	WholeAnswer
	targetCount
)

// String returns the name of the target in configurations and reports.
func (ta Target) String() string {
	return [...]string{"first_token", "between_tokens", "whole_answer"}[ta]
}

// WasteCause is a cause of wasted tokens.
type WasteCause int

// The causes.
const (
	WasteCancelled WasteCause = iota
	WasteResumed
	WasteBroken
	wasteCount
)

// String returns the name of the cause.
func (wa WasteCause) String() string {
	return [...]string{"cancelled", "resumed", "broken"}[wa]
}

// Meter counts outcomes. It is safe for concurrent use.
type Meter struct {
	clock    clockwork.Clock
	inFlight atomic.Int64
	answered tally.Counter
	failed   []tally.Counter
	tiers    [mp.TierCount]*tierMetrics

	mu      sync.Mutex
	classes map[classKey]*ClassCounters
}

type classKey struct {
	organisation mp.OrganisationID
	class        mp.ClassName
}

// tierMetrics are the process-wide metrics of a tier.
type tierMetrics struct {
	firstToken tally.Histogram
	gap        tally.Histogram
	tokens     tally.Counter
	wasted     [wasteCount]tally.Counter

	// mu guards the sketches alone, so that a report of all classes does not hold
	// up the relay of tokens.
	mu       sync.Mutex
	sketches [targetCount]*Sketch
}

var (
	firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 20)
	gapBuckets        = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.3, 20)
)

func (tm *tierMetrics) add(ta Target, taken time.Duration, count mp.Tokens) {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	tm.sketches[ta].add(taken, count)
}

// Option changes a meter under construction.
type Option func(*Meter)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(me *Meter) { me.clock = clock }
}

// New returns a meter that also counts into the scope.
func New(scope tally.Scope, opts ...Option) *Meter {
	me := &Meter{
		clock:    clockwork.NewRealClock(),
		answered: scope.Counter("requests_answered"),
		classes:  map[classKey]*ClassCounters{},
	}
	for _, opt := range opts {
		opt(me)
	}
	for _, kind := range mp.Kinds() {
		me.failed = append(me.failed, scope.Tagged(map[string]string{"kind": kind.String()}).Counter("requests_failed"))
	}
	for ti := range me.tiers {
		me.tiers[ti] = newTierMetrics(scope, ti)
	}
	return me
}

func newTierMetrics(scope tally.Scope, tier int) *tierMetrics {
	tagged := scope.Tagged(map[string]string{"tier": string(rune('0' + tier))})
	tm := &tierMetrics{
		firstToken: tagged.Histogram("first_token_seconds", firstTokenBuckets),
		gap:        tagged.Histogram("between_tokens_seconds", gapBuckets),
		tokens:     tagged.Counter("answer_tokens"),
	}
	for ta := range tm.sketches {
		tm.sketches[ta] = NewSketch()
	}
	for wa := range tm.wasted {
		tm.wasted[wa] = tagged.Tagged(map[string]string{"cause": WasteCause(wa).String()}).Counter("wasted_tokens")
	}
	return tm
}

// TrackInFlight counts a request that arrives, and returns the function that ends it.
func (me *Meter) TrackInFlight() func() {
	me.inFlight.Add(1)
	return func() { me.inFlight.Add(-1) }
}

// InFlight returns how many requests are in progress.
func (me *Meter) InFlight() int64 { return me.inFlight.Load() }

// RecordAnswered counts a request that was answered.
func (me *Meter) RecordAnswered() { me.answered.Inc(1) }

// RecordFailed counts a request that ended with an error.
func (me *Meter) RecordFailed(kind mp.Kind) { me.failed[kind].Inc(1) }

// StartRequest begins the counts of one request of a class.
func (me *Meter) StartRequest(organisation mp.OrganisationID, class *config.Class) *RequestRecorder {
	me.mu.Lock()
	defer me.mu.Unlock()
	key := classKey{organisation: organisation, class: class.Name}
	cl, ok := me.classes[key]
	if !ok {
		cl = newClass(organisation, class)
		me.classes[key] = cl
	}
	cl.Tier = class.Tier
	cl.Requests++
	return &RequestRecorder{meter: me, class: cl, targets: class.Targets, tier: class.Tier}
}

// RequestRecorder counts the outcome of one request. One goroutine uses it.
type RequestRecorder struct {
	meter   *Meter
	class   *ClassCounters
	targets config.Targets
	tier    mp.Tier

	onTime, late uint64 // gaps between tokens
}

func (rq *RequestRecorder) count(ta Target, taken, bound time.Duration) {
	rq.meter.tiers[rq.tier].add(ta, taken, 1)
	rq.meter.mu.Lock()
	defer rq.meter.mu.Unlock()
	if taken <= bound {
		rq.class.add(rq.meter.clock.Now(), ta, 1, 0)
	} else {
		rq.class.add(rq.meter.clock.Now(), ta, 0, 1)
	}
}

// RecordFirstToken counts the time from the arrival to the first token.
func (rq *RequestRecorder) RecordFirstToken(taken time.Duration) {
	rq.meter.tiers[rq.tier].firstToken.RecordDuration(taken)
	rq.count(FirstToken, taken, rq.targets.FirstToken.Std())
}

// RecordTokenGap counts the time before a chunk that brought the given count of tokens.
func (rq *RequestRecorder) RecordTokenGap(taken time.Duration, tokens mp.Tokens) {
	if taken <= rq.targets.BetweenTokens.Std()*time.Duration(tokens) {
		rq.onTime += uint64(tokens)
	} else {
		rq.late += uint64(tokens)
	}
	each := taken / time.Duration(tokens)
	rq.meter.tiers[rq.tier].gap.RecordDuration(each)
	rq.meter.tiers[rq.tier].add(BetweenTokens, each, tokens)
}

// RecordCompleted counts an answer that the caller has whole.
func (rq *RequestRecorder) RecordCompleted(tokens mp.Tokens) {
	rq.meter.tiers[rq.tier].tokens.Inc(int64(tokens))
	rq.end(func(cl *ClassCounters) {
		cl.Completed++
		cl.Goodput += tokens
	})
}

// RecordAnswered counts the whole answer of a plain service.
func (rq *RequestRecorder) RecordAnswered(taken time.Duration) {
	rq.count(WholeAnswer, taken, rq.targets.WholeAnswer.Std())
	rq.end(func(cl *ClassCounters) { cl.Completed++ })
}

// RecordRefused counts a request of which nothing ran, or a call of a plain service
// that failed.
func (rq *RequestRecorder) RecordRefused(kind mp.Kind) {
	rq.end(func(cl *ClassCounters) { cl.Failures[kind]++ })
}

// RecordBroken counts an answer that the caller has only in part.
func (rq *RequestRecorder) RecordBroken(kind mp.Kind, tokens mp.Tokens) {
	cause := WasteBroken
	if kind == mp.KindCallerGone {
		cause = WasteCancelled
	}
	rq.waste(cause, tokens)
	rq.end(func(cl *ClassCounters) { cl.Failures[kind]++ })
}

// RecordResumed counts tokens that an answer's next engine computes again.
func (rq *RequestRecorder) RecordResumed(tokens mp.Tokens) {
	rq.waste(WasteResumed, tokens)
}

func (rq *RequestRecorder) waste(cause WasteCause, tokens mp.Tokens) {
	rq.meter.tiers[rq.tier].wasted[cause].Inc(int64(tokens))
	rq.meter.mu.Lock()
	defer rq.meter.mu.Unlock()
	rq.class.Wasted[cause] += tokens
}

func (rq *RequestRecorder) end(count func(cl *ClassCounters)) {
	rq.meter.mu.Lock()
	defer rq.meter.mu.Unlock()
	rq.class.add(rq.meter.clock.Now(), BetweenTokens, rq.onTime, rq.late)
	count(rq.class)
}
