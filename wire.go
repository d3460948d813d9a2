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
	// Age is how old the report is when it is sent.
	Age Duration `json:"age,omitempty"`
}
