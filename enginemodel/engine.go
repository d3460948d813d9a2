// Package enginemodel simulates an inference engine with continuous batching, chunked
// prefill, priorities, preemption and a prefix cache, in virtual time. It does no I/O
// and reads no clock, so that fake engines and replays can share it.
package enginemodel

import (
	"sort"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Params holds the capacity and speed of an engine.
type Params struct {
	// Slots is the maximum number of sequences that run at once.
	Slots int
	// StepBase is the fixed part of the duration of a step.
	StepBase time.Duration
	// StepPerSequence is added to the duration for each running sequence.
	StepPerSequence time.Duration
	// PrefillPerToken is added to the duration for each token that is prefilled.
	PrefillPerToken time.Duration
	// MaxPrefillChunk is the maximum number of tokens that are prefilled in one step.
	MaxPrefillChunk mp.Tokens
	// Preempts enables preemption: a waiting sequence takes the slot of a less urgent
	// running one.
	Preempts bool
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens mp.Tokens
}

// DefaultParams returns the parameters of an engine that produces a token about every
// 25 ms for each of 32 sequences.
func DefaultParams() Params {
	return Params{
		Slots:           32,
		StepBase:        12 * time.Millisecond,
		StepPerSequence: 400 * time.Microsecond,
		PrefillPerToken: 50 * time.Microsecond,
		MaxPrefillChunk: 512,
		CacheTokens:     200_000,
	}
}

// Sequence is one request on the engine.
type Sequence struct {
	ID mp.RequestID
	// Priority orders the sequences; a lower value is more urgent and runs first.
	Priority int
	// PromptTokens is the length of the prompt, including the prefix.
	PromptTokens mp.Tokens
	// PrefixID identifies the shared prefix of the prompt; zero for none.
	PrefixID uint64
	// PrefixTokens is the length of the shared prefix.
	PrefixTokens mp.Tokens
	// AnswerTokens is the length of the complete answer.
	AnswerTokens mp.Tokens
	// ProducedTokens is the number of answer tokens so far. It starts above zero for a
	// resumed sequence.
	ProducedTokens mp.Tokens

	submitOrder uint64
	// prefillTokens is what is left to prefill: of the prompt and, after a preemption
	// or for a resumed sequence, of the answer so far.
	prefillTokens mp.Tokens
}

// Progress is one new token of a sequence.
type Progress struct {
	Sequence *Sequence
	// Finished marks the last token.
	Finished bool
}

// Engine is a simulated engine. It is not safe for concurrent use.
type Engine struct {
	params    Params
	waiting   []*Sequence
	running   []*Sequence
	progress  []Progress
	cache     prefixCache
	submitted uint64
	// Preemptions counts preemptions.
	Preemptions uint64
	// Recomputed counts the prompt and answer tokens that have to be computed again
	// after a preemption.
	Recomputed mp.Tokens
}

// New returns an idle engine.
func New(params Params) *Engine {
	return &Engine{params: params, cache: newPrefixCache(params.CacheTokens)}
}

// Submit adds a sequence to the queue.
func (en *Engine) Submit(sq *Sequence) {
	en.submitted++
	sq.submitOrder = en.submitted
	en.enqueue(sq)
}

// enqueue inserts a sequence into the queue by priority.
func (en *Engine) enqueue(sq *Sequence) {
	ix := sort.Search(len(en.waiting), func(ix int) bool { return runsBefore(sq, en.waiting[ix]) })
	en.waiting = append(en.waiting, nil)
	copy(en.waiting[ix+1:], en.waiting[ix:])
	en.waiting[ix] = sq
}

// runsBefore orders sequences by priority, and equal ones by submission.
func runsBefore(sa, sb *Sequence) bool {
	if sa.Priority != sb.Priority {
		return sa.Priority < sb.Priority
	}
	return sa.submitOrder < sb.submitOrder
}

// Cancel removes a waiting or running sequence. It reports whether there was one.
func (en *Engine) Cancel(id mp.RequestID) bool {
	var inWaiting, inRunning bool
	en.waiting, inWaiting = remove(en.waiting, id)
	en.running, inRunning = remove(en.running, id)
	return inWaiting || inRunning
}

func remove(list []*Sequence, id mp.RequestID) ([]*Sequence, bool) {
	for ix, sq := range list {
		if sq.ID == id {
			return append(list[:ix], list[ix+1:]...), true
		}
	}
	return list, false
}

// Running returns the number of sequences that hold a slot.
func (en *Engine) Running() int { return len(en.running) }

// Waiting returns the number of sequences that wait for a slot.
func (en *Engine) Waiting() int { return len(en.waiting) }

// Idle reports whether the engine has no sequences.
func (en *Engine) Idle() bool { return len(en.running)+len(en.waiting) == 0 }

// CachedTokens returns how many tokens of a prefix are in the cache.
func (en *Engine) CachedTokens(prefix uint64) mp.Tokens {
	return en.cache.cachedTokens(prefix)
}

// Step runs one step: it fills free slots, prefills a chunk of tokens and decodes one
// token for each sequence whose prefill is complete. It returns the duration of the
// step, which is zero without sequences, and the new tokens, which are valid until the
// next call.
func (en *Engine) Step() (time.Duration, []Progress) {
	en.fillSlots()
	en.progress = en.progress[:0]
	if len(en.running) == 0 {
		return 0, en.progress
	}
	duration := en.params.StepBase + time.Duration(len(en.running))*en.params.StepPerSequence
	computed := en.prefill()
	duration += time.Duration(computed) * en.params.PrefillPerToken
	en.decode()
	return duration, en.progress
}

// fillSlots starts waiting sequences while a slot is free or can be preempted.
func (en *Engine) fillSlots() {
	for len(en.waiting) > 0 && (len(en.running) < en.params.Slots || en.preempt(en.waiting[0])) {
		sq := en.waiting[0]
		en.waiting = append(en.waiting[:0], en.waiting[1:]...)
		sq.prefillTokens = max(0, sq.PromptTokens+sq.ProducedTokens-en.lookUpPrefix(sq))
		en.running = append(en.running, sq)
	}
}

// lookUpPrefix returns how much of a sequence's prefix is cached, and adds the prefix
// to the cache.
func (en *Engine) lookUpPrefix(sq *Sequence) mp.Tokens {
	if sq.PrefixID == 0 {
		return 0
	}
	cached := min(en.cache.cachedTokens(sq.PrefixID), sq.PrefixTokens)
	en.cache.add(sq.PrefixID, sq.PrefixTokens)
	return cached
}

// preempt frees the slot of the running sequence that sorts last, if it is less urgent
// than the candidate. It reports whether a slot was freed.
func (en *Engine) preempt(candidate *Sequence) bool {
	if !en.params.Preempts {
		return false
	}
	last := 0
	for ix, sq := range en.running {
		if runsBefore(en.running[last], sq) {
			last = ix
		}
	}
	victim := en.running[last]
	if victim.Priority <= candidate.Priority {
		return false
	}
	en.running = append(en.running[:last], en.running[last+1:]...)
	en.Preemptions++
	en.Recomputed += victim.PromptTokens + victim.ProducedTokens - victim.prefillTokens
	en.enqueue(victim)
	return true
}

// prefill computes up to MaxPrefillChunk tokens, in order of priority, and returns the
// number computed.
func (en *Engine) prefill() mp.Tokens {
	budget := en.params.MaxPrefillChunk
	for budget > 0 {
		sq := en.nextToPrefill()
		if sq == nil {
			break
		}
		chunk := min(budget, sq.prefillTokens)
		sq.prefillTokens -= chunk
		budget -= chunk
	}
	return en.params.MaxPrefillChunk - budget
}

// nextToPrefill returns the running sequence to prefill next, or nil if there is none.
func (en *Engine) nextToPrefill() *Sequence {
	var next *Sequence
	for _, sq := range en.running {
		if sq.prefillTokens > 0 && (next == nil || runsBefore(sq, next)) {
			next = sq
		}
	}
	return next
}

// decode produces one token for each running sequence whose prefill is complete, and
// removes finished sequences.
func (en *Engine) decode() {
	kept := en.running[:0]
	for _, sq := range en.running {
		if sq.prefillTokens > 0 {
			kept = append(kept, sq)
			continue
		}
		sq.ProducedTokens++
		finished := sq.ProducedTokens >= sq.AnswerTokens
		en.progress = append(en.progress, Progress{Sequence: sq, Finished: finished})
		if !finished {
			kept = append(kept, sq)
		}
	}
	en.running = kept
}
