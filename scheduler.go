package mangopaddle

import "time"

// Request is one request as the scheduling decisions see it.
type Request struct {
	ID           RequestID
	Organisation OrganisationID
	Class        ClassName
	Model        ModelID
	Tier         Tier
	// PromptTokens is the estimated length of the prompt.
	PromptTokens Tokens
	// PrefixID names the shared part of the prompt; zero for none.
	PrefixID uint64
	// PrefixTokens is the length of the shared part.
	PrefixTokens Tokens
	// MaxAnswerTokens is the caller's bound on the answer; zero for none.
	MaxAnswerTokens Tokens
	// FirstTokenTarget and BetweenTokens are the targets of the class.
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
	// MaxWait bounds the wait for a place on an engine.
	MaxWait time.Duration
	// PromisedRate is this host's part of the promised share.
	PromisedRate TokensPerSecond
	// MaxRate is this host's part of the upper limit; zero for none.
	MaxRate TokensPerSecond
	// MaxConcurrency is this host's part of the limit of requests that wait or
	// run; zero for none.
	MaxConcurrency int
}

// Action is what is to happen with a request.
type Action int

// The verdicts.
const (
	// ActionStart sends the request to the engine now.
	ActionStart Action = iota
	// ActionWait keeps the request until a Start or an expiry names it.
	ActionWait
	// ActionRefuse tells the caller that the request was not run.
	ActionRefuse
)

// Decision is the answer of a scheduler to a request.
type Decision struct {
	Action Action
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
	// AnswerTokens counts the tokens that the run produced.
	AnswerTokens Tokens
	// TimeToFirstToken is the time from the start to the first token; zero if none
	// came.
	TimeToFirstToken time.Duration
	// MeanTimeBetweenTokens is the mean time between tokens; zero if unknown.
	MeanTimeBetweenTokens time.Duration
	// Failed says that the engine broke the run off.
	Failed bool
	// Unreachable says that the engine could not be reached at all.
	Unreachable bool
}

// Assignment is a waiting request that may now run.
type Assignment struct {
	ID       RequestID
	Engine   EngineID
	Priority int
}

// Scheduler decides which request runs where and when. It is a
// pure state machine: every call carries the time, and none does I/O.
type Scheduler interface {
	// Submit decides about a new request.
	Submit(now time.Time, wo Request) Decision
	// Next returns a waiting request that may start; false if none may.
	Next(now time.Time) (Assignment, bool)
	// Expire returns a waiting request whose wait is over; false if none is.
	Expire(now time.Time) (RequestID, bool)
	// Reassign picks another engine for a request whose engine failed.
	Reassign(now time.Time, id RequestID, outcome Outcome) Decision
	// Done ends a request that was started.
	Done(now time.Time, id RequestID, outcome Outcome)
	// Cancel removes a request that waits.
	Cancel(now time.Time, id RequestID)
	// ObserveLoad takes the load that an engine reported with an answer.
	ObserveLoad(now time.Time, engine EngineID, load EngineLoad)
}
