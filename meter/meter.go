// Package meter counts the outcomes of requests for each organisation and class:
// attainment of the latency targets, goodput, wasted tokens and failures by kind.
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

// String returns the name of the target as configurations and reports write it.
func (ta Target) String() string {
	return [...]string{"first_token", "between_tokens", "whole_answer"}[ta]
}

// WasteCause is the reason why computed tokens were wasted.
type WasteCause int

// The causes.
const (
	WasteCancelled WasteCause = iota // the caller disconnected
	WasteResumed                     // recomputed by another engine when an answer was resumed
	WasteBroken                      // the answer ended early for another reason
	wasteCount
)

// String returns the name of the cause as reports and metrics write it.
func (wa WasteCause) String() string {
	return [...]string{"cancelled", "resumed", "broken"}[wa]
}

// Meter counts outcomes of requests. It is safe for concurrent use.
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

// tierMetrics holds the process-wide metrics of a tier.
type tierMetrics struct {
	firstToken tally.Histogram
	tokenGap   tally.Histogram
	tokens     tally.Counter
	wasted     [wasteCount]tally.Counter

	// mu guards only the sketches, so that a report over all classes does not delay
	// the forwarding of tokens.
	mu       sync.Mutex
	sketches [targetCount]*Sketch
}

var (
	firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 20)
	tokenGapBuckets   = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.3, 20)
)

func (tm *tierMetrics) add(ta Target, taken time.Duration, count mp.Tokens) {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	tm.sketches[ta].add(taken, count)
}

// Option configures a Meter.
type Option func(*Meter)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(me *Meter) { me.clock = clock }
}

// New returns a meter that also reports its metrics to the scope.
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
		tokenGap:   tagged.Histogram("between_tokens_seconds", tokenGapBuckets),
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

// TrackInFlight adds a request to those in flight, and returns the function that
// removes it.
func (me *Meter) TrackInFlight() func() {
	me.inFlight.Add(1)
	return func() { me.inFlight.Add(-1) }
}

// InFlight returns the number of requests in flight.
func (me *Meter) InFlight() int64 { return me.inFlight.Load() }

// RecordAnswered counts a request that was answered without an error.
func (me *Meter) RecordAnswered() { me.answered.Inc(1) }

// RecordFailed counts a request that ended with an error.
func (me *Meter) RecordFailed(kind mp.Kind) { me.failed[kind].Inc(1) }

// StartRequest counts a new request of a class and returns the recorder of its
// outcome.
func (me *Meter) StartRequest(organisation mp.OrganisationID, class *config.Class) *RequestRecorder {
	me.mu.Lock()
	defer me.mu.Unlock()
	key := classKey{organisation: organisation, class: class.Name}
	cl, ok := me.classes[key]
	if !ok {
		cl = newClassCounters(organisation, class)
		me.classes[key] = cl
	}
	cl.Tier = class.Tier
	cl.Requests++
	return &RequestRecorder{meter: me, class: cl, targets: class.Targets, tier: class.Tier}
}

// RequestRecorder records the outcome of one request. It is not safe for concurrent
// use.
type RequestRecorder struct {
	meter   *Meter
	class   *ClassCounters
	targets config.Targets
	tier    mp.Tier

	met, missed uint64 // tokens within and beyond the target for the time between tokens
}

// recordLatency records a latency and whether it is within its target.
func (rq *RequestRecorder) recordLatency(ta Target, taken, target time.Duration) {
	rq.meter.tiers[rq.tier].add(ta, taken, 1)
	rq.meter.mu.Lock()
	defer rq.meter.mu.Unlock()
	if taken <= target {
		rq.class.add(rq.meter.clock.Now(), ta, 1, 0)
	} else {
		rq.class.add(rq.meter.clock.Now(), ta, 0, 1)
	}
}

// RecordFirstToken records the time from the arrival to the first token.
func (rq *RequestRecorder) RecordFirstToken(taken time.Duration) {
	rq.meter.tiers[rq.tier].firstToken.RecordDuration(taken)
	rq.recordLatency(FirstToken, taken, rq.targets.FirstToken.Std())
}

// RecordTokenGap records the time between two chunks of a stream, of which the
// second has the given number of tokens. Each token gets an equal part of it.
func (rq *RequestRecorder) RecordTokenGap(taken time.Duration, tokens mp.Tokens) {
	if taken <= rq.targets.BetweenTokens.Std()*time.Duration(tokens) {
		rq.met += uint64(tokens)
	} else {
		rq.missed += uint64(tokens)
	}
	perToken := taken / time.Duration(tokens)
	rq.meter.tiers[rq.tier].tokenGap.RecordDuration(perToken)
	rq.meter.tiers[rq.tier].add(BetweenTokens, perToken, tokens)
}

// RecordCompleted records an answer that was delivered in full.
func (rq *RequestRecorder) RecordCompleted(tokens mp.Tokens) {
	rq.meter.tiers[rq.tier].tokens.Inc(int64(tokens))
	rq.finish(func(cl *ClassCounters) {
		cl.Completed++
		cl.Goodput += tokens
	})
}

// RecordServiceResponse records the complete answer of a plain service.
func (rq *RequestRecorder) RecordServiceResponse(taken time.Duration) {
	rq.recordLatency(WholeAnswer, taken, rq.targets.WholeAnswer.Std())
	rq.finish(func(cl *ClassCounters) { cl.Completed++ })
}

// RecordFailed records a request that was refused before anything ran, or a failed
// call of a plain service.
func (rq *RequestRecorder) RecordFailed(kind mp.Kind) {
	rq.finish(func(cl *ClassCounters) { cl.Failures[kind]++ })
}

// RecordBroken records an answer of which the caller got only a part; its tokens
// count as wasted.
func (rq *RequestRecorder) RecordBroken(kind mp.Kind, tokens mp.Tokens) {
	cause := WasteBroken
	if kind == mp.KindCallerGone {
		cause = WasteCancelled
	}
	rq.recordWaste(cause, tokens)
	rq.finish(func(cl *ClassCounters) { cl.Failures[kind]++ })
}

// RecordResumed records tokens that have to be computed again, because an answer is
// resumed on another engine.
func (rq *RequestRecorder) RecordResumed(tokens mp.Tokens) {
	rq.recordWaste(WasteResumed, tokens)
}

func (rq *RequestRecorder) recordWaste(cause WasteCause, tokens mp.Tokens) {
	rq.meter.tiers[rq.tier].wasted[cause].Inc(int64(tokens))
	rq.meter.mu.Lock()
	defer rq.meter.mu.Unlock()
	rq.class.Wasted[cause] += tokens
}

// finish adds the request's token gaps to its class and then applies count, under
// one lock.
func (rq *RequestRecorder) finish(count func(cl *ClassCounters)) {
	rq.meter.mu.Lock()
	defer rq.meter.mu.Unlock()
	rq.class.add(rq.meter.clock.Now(), BetweenTokens, rq.met, rq.missed)
	count(rq.class)
}
