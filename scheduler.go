package mangopaddle

import "time"

// Work is one request as the scheduling decisions see it.
type Work struct {
	ID           RequestID
	Organisation OrganisationID
	Class        ClassName
	Model        ModelID
	Tier         Tier
	// Prompt is the estimated length of the prompt.
	Prompt Tokens
	// PrefixID names the shared part of the prompt; zero for none.
	PrefixID uint64
	// PrefixTokens is the length of the shared part.
	PrefixTokens Tokens
	// AnswerLimit is the caller's bound on the answer; zero for none.
	AnswerLimit Tokens
	// FirstToken and BetweenTokens are the targets of the class.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// LongestWait bounds the wait for a place on an engine.
	LongestWait time.Duration
	// Promised is this host's part of the promised share.
	Promised TokensPerSecond
	// Most is this host's part of the upper limit; zero for none.
	Most TokensPerSecond
	// MostConcurrency is this host's part of the limit of requests that wait or
	// run; zero for none.
	MostConcurrency int
}

// Verdict is what is to happen with a request.
type Verdict int

// The verdicts.
const (
	// VerdictStart sends the request to the engine now.
	VerdictStart Verdict = iota
	// VerdictWait keeps the request until a Start or an expiry names it.
	VerdictWait
	// VerdictRefuse tells the caller that the request was not run.
	VerdictRefuse
)

// Decision is the answer of a scheduler to a request.
type Decision struct {
	Verdict Verdict
	// Engine is where to run, with VerdictStart.
	Engine EngineID
	// Priority orders the request in the engine's queue, with VerdictStart; a
	// lower one runs first.
	Priority int
	// Reason says why, with VerdictRefuse.
	Reason Kind
	// RetryAfter is when a retry may succeed, with VerdictRefuse.
	RetryAfter time.Duration
}

// Outcome is how a run on an engine ended.
type Outcome struct {
	// Answer counts the tokens that the run produced.
	Answer Tokens
	// FirstToken is the time from the start to the first token; zero if none
	// came.
	FirstToken time.Duration
	// MeanGap is the mean time between tokens; zero if unknown.
	MeanGap time.Duration
	// Failed says that the engine broke the run off.
	Failed bool
	// Unreachable says that the engine could not be reached at all.
	Unreachable bool
}

// Start is a waiting request that may now run.
type Start struct {
	ID       RequestID
	Engine   EngineID
	Priority int
}

// Scheduler decides which request runs where and when. It is a
// pure state machine: every call carries the time, and none does I/O.
type Scheduler interface {
	// Arrive decides about a new request.
	Arrive(now time.Time, wo Work) Decision
	// Next returns a waiting request that may start; false if none may.
	Next(now time.Time) (Start, bool)
	// Expire returns a waiting request whose wait is over; false if none is.
	Expire(now time.Time) (RequestID, bool)
	// Reassign picks another engine for a request whose engine failed.
	Reassign(now time.Time, id RequestID, outcome Outcome) Decision
	// Done ends a request that was started.
	Done(now time.Time, id RequestID, outcome Outcome)
	// Abandon removes a request that waits.
	Abandon(now time.Time, id RequestID)
	// ObserveLoad takes the load that an engine reported with an answer.
	ObserveLoad(now time.Time, engine EngineID, load EngineLoad)
}
