package mangopaddle

// Headers that pass between callers, entry hosts, engines and services.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderClass          = "X-Mangopaddle-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLastEventID asks an engine to resume a stream behind an event, as
	// server-sent events define it. Engines number events by the count of
	// answer tokens so far.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderResumedAt says behind which event an engine resumed a stream.
	HeaderResumedAt = "X-Engine-Resumed-At"
	// HeaderRunning and HeaderWaiting carry an engine's load on its answers.
	HeaderRunning = "X-Engine-Running"
	HeaderWaiting = "X-Engine-Waiting"
)

// StreamEnd is the data of the last event of a stream.
const StreamEnd = "[DONE]"

// EngineLoad is an engine's load report.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Fencing is the highest fencing number that the engine has accepted.
	Fencing uint64 `json:"fencing"`
	// Age is how old the report is when it is sent.
	Age Duration `json:"age,omitempty"`
}

// CacheEvent is one change of an engine's prefix cache. Events come late, and
// a gap in the sequence numbers means that some were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	PrefixID uint64 `json:"prefix_id"`
	Tokens   Tokens `json:"tokens"`
}

// EngineAction is what an order asks of an engine.
type EngineAction string

// The actions of orders.
const (
	ActionLoad    EngineAction = "load"
	ActionUnload  EngineAction = "unload"
	ActionAdapter EngineAction = "adapter"
	ActionVersion EngineAction = "version"
	ActionRole    EngineAction = "role"
)

// EngineOrder asks an engine for a wanted end state.
type EngineOrder struct {
	Fencing uint64       `json:"fencing"`
	Action  EngineAction `json:"action"`
	Model   ModelID      `json:"model,omitempty"`
	// Value is the wanted adapter, version or role.
	Value string `json:"value,omitempty"`
}
