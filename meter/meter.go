// Package meter counts the outcomes of requests to the router's own API for each
// organisation and class: attainment of the latency targets, goodput, wasted tokens and
// failures by kind.
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
	FirstToken    Target = iota // time to the first token of an answer
	BetweenTokens               // time between two tokens of an answer
	WholeAnswer                 // time to the complete response of a plain service
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
	WasteCancelled WasteCause = iota // the request ended with mangopaddle.KindCallerGone
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
	firstToken        tally.Histogram
	timeBetweenTokens tally.Histogram
	tokens            tally.Counter
	wasted            [wasteCount]tally.Counter

	// mu guards only the sketches, so that a report over all classes does not delay
	// the forwarding of tokens.
	mu       sync.Mutex
	sketches [targetCount]*Sketch
}

// Histogram buckets: from 10 ms to 22 s for the time to the first token, from 5 ms to
// 0.7 s for the time between tokens.
var (
	firstTokenBuckets        = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 20)
	timeBetweenTokensBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.3, 20)
)

func (tm *tierMetrics) add(ta Target, latency time.Duration, count mp.Tokens) {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	tm.sketches[ta].add(latency, count)
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
		firstToken:        tagged.Histogram("first_token_seconds", firstTokenBuckets),
		timeBetweenTokens: tagged.Histogram("between_tokens_seconds", timeBetweenTokensBuckets),
		tokens:            tagged.Counter("answer_tokens"),
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

// RecordAnswered counts a request that was completed without an error.
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
func (rr *RequestRecorder) recordLatency(ta Target, latency, target time.Duration) {
	rr.meter.tiers[rr.tier].add(ta, latency, 1)
	rr.meter.mu.Lock()
	defer rr.meter.mu.Unlock()
	if latency <= target {
		rr.class.add(rr.meter.clock.Now(), ta, 1, 0)
	} else {
		rr.class.add(rr.meter.clock.Now(), ta, 0, 1)
	}
}

// RecordFirstToken records the time from the arrival to the first token.
func (rr *RequestRecorder) RecordFirstToken(latency time.Duration) {
	rr.meter.tiers[rr.tier].firstToken.RecordDuration(latency)
	rr.recordLatency(FirstToken, latency, rr.targets.FirstToken.Std())
}

// RecordTimeBetweenTokens records the time between two events of a stream that carry
// tokens, of which the second has the given number. Each of these tokens gets an equal
// part of the time.
func (rr *RequestRecorder) RecordTimeBetweenTokens(gap time.Duration, tokens mp.Tokens) {
	if gap <= rr.targets.BetweenTokens.Std()*time.Duration(tokens) {
		rr.met += uint64(tokens)
	} else {
		rr.missed += uint64(tokens)
	}
	perToken := gap / time.Duration(tokens)
	rr.meter.tiers[rr.tier].timeBetweenTokens.RecordDuration(perToken)
	rr.meter.tiers[rr.tier].add(BetweenTokens, perToken, tokens)
}

// RecordCompleted records an answer that was delivered in full.
func (rr *RequestRecorder) RecordCompleted(tokens mp.Tokens) {
	rr.meter.tiers[rr.tier].tokens.Inc(int64(tokens))
	rr.finish(func(cl *ClassCounters) {
		cl.Completed++
		cl.Goodput += tokens
	})
}

// RecordServiceResponse records the time to the complete response of a plain
// service.
func (rr *RequestRecorder) RecordServiceResponse(latency time.Duration) {
	rr.recordLatency(WholeAnswer, latency, rr.targets.WholeAnswer.Std())
	rr.finish(func(cl *ClassCounters) { cl.Completed++ })
}

// RecordFailed records a request that ended before an engine was chosen for it, or a
// failed call of a plain service.
func (rr *RequestRecorder) RecordFailed(kind mp.Kind) {
	rr.finish(func(cl *ClassCounters) { cl.Failures[kind]++ })
}

// RecordBroken records an answer that ended early, possibly before its first token.
// The tokens that the caller got count as wasted.
func (rr *RequestRecorder) RecordBroken(kind mp.Kind, tokens mp.Tokens) {
	cause := WasteBroken
	if kind == mp.KindCallerGone {
		cause = WasteCancelled
	}
	rr.recordWaste(cause, tokens)
	rr.finish(func(cl *ClassCounters) { cl.Failures[kind]++ })
}

// RecordResumed records tokens that have to be computed again, because an answer is
// resumed on another engine.
func (rr *RequestRecorder) RecordResumed(tokens mp.Tokens) {
	rr.recordWaste(WasteResumed, tokens)
}

func (rr *RequestRecorder) recordWaste(cause WasteCause, tokens mp.Tokens) {
	rr.meter.tiers[rr.tier].wasted[cause].Inc(int64(tokens))
	rr.meter.mu.Lock()
	defer rr.meter.mu.Unlock()
	rr.class.Wasted[cause] += tokens
}

// finish adds the request's times between tokens to its class and then applies count,
// under one lock.
func (rr *RequestRecorder) finish(count func(cl *ClassCounters)) {
	rr.meter.mu.Lock()
	defer rr.meter.mu.Unlock()
	rr.class.add(rr.meter.clock.Now(), BetweenTokens, rr.met, rr.missed)
	count(rr.class)
}
