package mangopaddle

import "time"

// Request describes a request to the scheduler.
type Request struct {
	ID           RequestID
	Organisation OrganisationID
	Class        ClassName
	Model        ModelID
	Tier         Tier
	// PromptTokens is the estimated length of the prompt.
	PromptTokens Tokens
	// PrefixID identifies the shared prefix of the prompt; zero for none.
	PrefixID uint64
	// PrefixTokens is the length of the shared prefix.
	PrefixTokens Tokens
	// MaxAnswerTokens is the caller's limit on the answer; zero for none.
	MaxAnswerTokens Tokens
	// FirstTokenTarget and BetweenTokensTarget are the latency targets of the class:
	// the time to the first token and the time between tokens.
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
	// MaxWait is the maximum time in the queue for a slot on an engine.
	MaxWait time.Duration
	// PromisedRate is this host's fraction of the promised rate of the class. Requests
	// within it are served before others of the tier.
	PromisedRate TokensPerSecond
	// MaxRate is this host's fraction of the maximum rate of the class, above which
	// requests are best-effort: they are served only while engines have spare
	// capacity. Zero sets no limit.
	MaxRate TokensPerSecond
	// MaxConcurrency is this host's fraction of the limit on queued and running
	// requests of the class; zero for no limit.
	MaxConcurrency int
}

// Action is what to do with a request.
type Action int

// The actions.
const (
	// ActionStart sends the request to the engine now.
	ActionStart Action = iota
	// ActionWait queues the request until Next or Expire returns it.
	ActionWait
	// ActionRefuse ends the request with an error. A request that Submit refuses, or
	// that is refused in the queue, was not run.
	ActionRefuse
)

// Decision is the scheduler's decision about a request.
type Decision struct {
	Action Action
	// Engine is the engine that runs the request, with ActionStart.
	Engine EngineID
	// Priority orders the request in the engine's queue, with ActionStart; a lower
	// value runs first.
	Priority int
	// Reason is the kind of the error, with ActionRefuse.
	Reason Kind
	// RetryAfter is the delay after which a retry may succeed, with ActionRefuse.
	RetryAfter time.Duration
}

// Outcome describes how an attempt ended: one try of a request on one engine. Package
// meter counts the outcomes of whole requests.
type Outcome struct {
	// AnswerTokens is the number of tokens of the answer so far, including those of
	// earlier attempts that this one resumed.
	AnswerTokens Tokens
	// TimeToFirstToken is the time from the start of the attempt to its first token;
	// zero if there was none.
	TimeToFirstToken time.Duration
	// Completed reports that the engine gave a whole answer, which may be without tokens, or
	// refused the request as invalid.
	Completed bool
	// MeanTimeBetweenTokens is zero if unknown.
	MeanTimeBetweenTokens time.Duration
	// Failed reports that the attempt failed because of the engine, which refused or
	// aborted it or could not be reached. It is false if the attempt was cancelled or
	// the request was invalid.
	Failed bool
	// Unreachable reports that no connection to the engine could be made.
	Unreachable bool
	// Pause is how long the engine wants no requests from this host; zero if it doesn't
	// say.
	Pause time.Duration
}

// Assignment is a queued request that may now run on an engine.
type Assignment struct {
	ID       RequestID
	Engine   EngineID
	Priority int
}

// Scheduler decides which request runs on which engine and when. It is a pure
// state machine: the caller passes the time to each call, and no call does I/O.
type Scheduler interface {
	// Submit decides about a new request.
	Submit(now time.Time, rq Request) Decision
	// Next dequeues a request that may start; false if there is none.
	Next(now time.Time) (Assignment, bool)
	// Expire dequeues a request whose maximum wait has passed; false if there is
	// none.
	Expire(now time.Time) (RequestID, bool)
	// Reassign records a failed attempt and picks an engine, preferably another one, for
	// the next. A refusal ends the request.
	Reassign(now time.Time, id RequestID, outcome Outcome) Decision
	// Done records the end of a request that was started.
	Done(now time.Time, id RequestID, outcome Outcome)
	// Cancel removes a queued request.
	Cancel(now time.Time, id RequestID)
	// ObserveLoad records the load that an engine has reported.
	ObserveLoad(now time.Time, engine EngineID, load EngineLoad)
}
