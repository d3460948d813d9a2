// Package enginemodel models a model engine with continuous batching in virtual
// time: priorities, preemption, prefill in chunks and a prefix cache. It does no
// I/O and reads no clock, so that stand-ins and replays share it.
package enginemodel

import (
	"sort"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Params sets the size and speed of a modelled engine.
type Params struct {
	// Slots is how many sequences run at once.
	Slots int
	// StepBase is the time of one iteration without its sequences.
	StepBase time.Duration
	// StepPerSequence is added for each running sequence.
	StepPerSequence time.Duration
	// PrefillPerToken is added for each prompt token that is computed.
	PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens that one iteration computes.
	PrefillChunk mp.Tokens
	// Preempts says that a waiting sequence takes the slot of a running one of
	// lower priority.
	Preempts bool
	// CacheTokens bounds the prompt prefixes that are kept.
	CacheTokens mp.Tokens
}

// DefaultParams returns the parameters of an engine that gives each of 32
// sequences a token about every 25 ms.
func DefaultParams() Params {
	return Params{
		Slots:           32,
		StepBase:        12 * time.Millisecond,
		StepPerSequence: 400 * time.Microsecond,
		PrefillPerToken: 50 * time.Microsecond,
		PrefillChunk:    512,
		CacheTokens:     200_000,
	}
}

// Sequence is one request on the engine.
type Sequence struct {
	ID mp.RequestID
	// Priority orders waiting sequences; a lower one runs first.
	Priority int
	// Prompt is the length of the prompt.
	Prompt mp.Tokens
	// PrefixID names the shared part of the prompt; zero for none.
	PrefixID uint64
	// PrefixTokens is the length of the shared part.
	PrefixTokens mp.Tokens
	// Output is the length of the whole answer.
	Output mp.Tokens
	// Produced counts the tokens of the answer so far. A resumed sequence
	// starts above zero.
	Produced mp.Tokens

	arrival  uint64
	uncached mp.Tokens // prompt tokens still to be computed
}

// Progress reports one new token of a sequence.
type Progress struct {
	Sequence *Sequence
	// Finished says that this was the last token.
	Finished bool
}

// Engine is the state of a modelled engine. It is not safe for concurrent use.
type Engine struct {
	pa       Params
	waiting  []*Sequence
	running  []*Sequence
	progress []Progress
	cache    prefixCache
	arrivals uint64
	// Preempted counts sequences that gave their slot to a higher priority.
	Preempted uint64
	// Recomputed counts prompt and answer tokens computed again after a
	// preemption.
	Recomputed mp.Tokens
}

// New returns an idle engine.
func New(pa Params) *Engine {
	return &Engine{pa: pa, cache: newPrefixCache(pa.CacheTokens)}
}

// Submit queues a sequence.
func (en *Engine) Submit(sq *Sequence) {
	en.arrivals++
	sq.arrival = en.arrivals
	en.enqueue(sq)
}

func (en *Engine) enqueue(sq *Sequence) {
	ix := sort.Search(len(en.waiting), func(ix int) bool { return before(sq, en.waiting[ix]) })
	en.waiting = append(en.waiting, nil)
	copy(en.waiting[ix+1:], en.waiting[ix:])
	en.waiting[ix] = sq
}

// before orders sequences by priority and then by arrival.
func before(sa, sb *Sequence) bool {
	if sa.Priority != sb.Priority {
		return sa.Priority < sb.Priority
	}
	return sa.arrival < sb.arrival
}

// Cancel removes a sequence. It reports whether the sequence was there.
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

// Running returns how many sequences hold a slot.
func (en *Engine) Running() int { return len(en.running) }

// Waiting returns how many sequences wait for a slot.
func (en *Engine) Waiting() int { return len(en.waiting) }

// Idle says that there is nothing to do.
func (en *Engine) Idle() bool { return len(en.running)+len(en.waiting) == 0 }

// CachedTokens returns how much of a prefix is in the cache.
func (en *Engine) CachedTokens(prefix uint64) mp.Tokens {
	return en.cache.tokensOf(prefix)
}

// Step runs one iteration: it fills slots, computes prompts and produces one
// token for each sequence whose prompt is done. It returns the time that the
// iteration takes and the new tokens, which are valid until the next call.
func (en *Engine) Step() (time.Duration, []Progress) {
	en.fillSlots()
	en.progress = en.progress[:0]
	if len(en.running) == 0 {
		return 0, en.progress
	}
	took := en.pa.StepBase + time.Duration(len(en.running))*en.pa.StepPerSequence
	computed := en.prefill()
	took += time.Duration(computed) * en.pa.PrefillPerToken
	en.decode()
	return took, en.progress
}

func (en *Engine) fillSlots() {
	for len(en.waiting) > 0 && (len(en.running) < en.pa.Slots || en.preempt(en.waiting[0])) {
		sq := en.waiting[0]
		en.waiting = append(en.waiting[:0], en.waiting[1:]...)
		sq.uncached = max(0, sq.Prompt+sq.Produced-en.cachedFor(sq))
		en.running = append(en.running, sq)
	}
}

func (en *Engine) cachedFor(sq *Sequence) mp.Tokens {
	if sq.PrefixID == 0 {
		return 0
	}
	cached := min(en.cache.tokensOf(sq.PrefixID), sq.PrefixTokens)
	en.cache.add(sq.PrefixID, sq.PrefixTokens)
	return cached
}

// preempt frees the slot of the running sequence that comes last, if it has a
// lower priority than the candidate.
func (en *Engine) preempt(candidate *Sequence) bool {
	if !en.pa.Preempts {
		return false
	}
	last := 0
	for ix, sq := range en.running {
		if before(en.running[last], sq) {
			last = ix
		}
	}
	victim := en.running[last]
	if victim.Priority <= candidate.Priority {
		return false
	}
	en.running = append(en.running[:last], en.running[last+1:]...)
	en.Preempted++
	en.Recomputed += victim.Prompt + victim.Produced - victim.uncached
	en.enqueue(victim)
	return true
}

// prefill computes prompts, those of the highest priority first.
func (en *Engine) prefill() mp.Tokens {
	left := en.pa.PrefillChunk
	for left > 0 {
		sq := en.nextPrompt()
		if sq == nil {
			break
		}
		part := min(left, sq.uncached)
		sq.uncached -= part
		left -= part
	}
	return en.pa.PrefillChunk - left
}

// nextPrompt returns the running sequence whose prompt is computed next; nil if
// none is left.
func (en *Engine) nextPrompt() *Sequence {
	var next *Sequence
	for _, sq := range en.running {
		if sq.uncached > 0 && (next == nil || before(sq, next)) {
			next = sq
		}
	}
	return next
}

func (en *Engine) decode() {
	kept := en.running[:0]
	for _, sq := range en.running {
		if sq.uncached > 0 {
			kept = append(kept, sq)
			continue
		}
		sq.Produced++
		finished := sq.Produced >= sq.Output
		en.progress = append(en.progress, Progress{Sequence: sq, Finished: finished})
		if !finished {
			kept = append(kept, sq)
		}
	}
	en.running = kept
}
