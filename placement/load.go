package placement

import (
	mp "github.com/mangopaddle/mangopaddle"
)

// Load is the outstanding load that hosts have placed on a server.
type Load struct {
	// PrefillTokens counts the prompt tokens of requests whose first event has
	// not arrived yet.
	PrefillTokens mp.Tokens
	// Level1Tokens and Level2Tokens are the parts of PrefillTokens with priority 1, and
	// with priority 2 or less urgent. The rest is the most urgent, or of unknown priority.
	// Level1Prompts and Level2Prompts count the prompts that these parts consist of.
	Level1Tokens  mp.Tokens
	Level1Prompts int
	Level2Tokens  mp.Tokens
	Level2Prompts int
	// Streams counts the jitter-sensitive streams in progress.
	Streams int
}

// Loads returns the load that this host has outstanding at each engine. Servers
// without any are left out.
func (pl *Placer) Loads() map[mp.ServerID]Load {
	loads := map[mp.ServerID]Load{}
	for id, se := range pl.servers {
		if load := se.load(); load.PrefillTokens > 0 || load.Streams > 0 {
			loads[id] = load
		}
	}
	return loads
}

// levelCount is the number of levels by which prefill queues are kept. The last level
// holds all less urgent priorities, as the last entry of the wait ratios does.
const levelCount = len(highLoadWaitRatios)

// LevelOf returns the level of a priority.
func LevelOf(priority int) int { return min(max(0, priority), levelCount-1) }

// queueLevel is the part of a prefill queue that belongs to one level.
type queueLevel struct {
	tokens  mp.Tokens
	prompts int
}

// prefillQueue holds what this host has queued for prefill at an engine, by level.
type prefillQueue [levelCount]queueLevel

// add adds a prompt.
func (pq *prefillQueue) add(level int, tokens mp.Tokens) {
	if tokens > 0 {
		pq[level].tokens += tokens
		pq[level].prompts++
	}
}

// remove removes a prompt. The queue may lack it, if its server was listed anew since it
// was added.
func (pq *prefillQueue) remove(level int, tokens mp.Tokens) {
	if tokens > 0 {
		pq[level].tokens = max(0, pq[level].tokens-tokens)
		pq[level].prompts = max(0, pq[level].prompts-1)
	}
}

// total returns the tokens of all levels.
func (pq *prefillQueue) total() mp.Tokens {
	var total mp.Tokens
	for _, ql := range pq {
		total += ql.tokens
	}
	return total
}

// load returns the queue as a load without streams.
func (pq *prefillQueue) load() Load {
	return Load{
		PrefillTokens: pq.total(),
		Level1Tokens:  pq[1].tokens,
		Level1Prompts: pq[1].prompts,
		Level2Tokens:  pq[2].tokens,
		Level2Prompts: pq[2].prompts,
	}
}

// plus returns the sum of two loads.
func (lo Load) plus(other Load) Load {
	return Load{
		PrefillTokens: lo.PrefillTokens + other.PrefillTokens,
		Level1Tokens:  lo.Level1Tokens + other.Level1Tokens,
		Level1Prompts: lo.Level1Prompts + other.Level1Prompts,
		Level2Tokens:  lo.Level2Tokens + other.Level2Tokens,
		Level2Prompts: lo.Level2Prompts + other.Level2Prompts,
		Streams:       lo.Streams + other.Streams,
	}
}

// tokensAhead returns the prompt tokens that a new request of a level waits for: those of
// the levels at least as urgent, plus a less urgent prompt that is being prefilled, which
// is assumed to have the mean length of the less urgent ones.
func (lo Load) tokensAhead(level int) mp.Tokens {
	var lessUrgent mp.Tokens
	prompts := 0
	if level < 2 {
		lessUrgent, prompts = lo.Level2Tokens, lo.Level2Prompts
	}
	if level < 1 {
		lessUrgent, prompts = lessUrgent+lo.Level1Tokens, prompts+lo.Level1Prompts
	}
	return lo.PrefillTokens - lessUrgent + lessUrgent/mp.Tokens(max(1, prompts))
}
