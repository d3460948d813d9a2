package mangopaddle

// HTTP headers between callers, entry hosts, engines and services.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderClass          = "X-Mangopaddle-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLastEventID asks an engine to resume a stream after an event, as the
	// server-sent events standard defines it. The identifier of an event is the
	// number of answer tokens up to it.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderResumedAt is the event after which an engine has resumed a stream.
	HeaderResumedAt = "X-Engine-Resumed-At"
	// HeaderRunning and HeaderWaiting report an engine's load with each of its
	// responses.
	HeaderRunning = "X-Engine-Running"
	HeaderWaiting = "X-Engine-Waiting"
)

// StreamEnd is the data of the event that ends a stream.
const StreamEnd = "[DONE]"

// EngineLoad is the load report of an engine.
type EngineLoad struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Age is the age of the numbers when the report is sent.
	Age Duration `json:"age,omitempty"`
}

// maxEngineRequests is the largest number of requests that an engine can be taken to have.
const maxEngineRequests = 1 << 20

// IsPossible reports whether an engine can mean the report: no number is negative, and it
// has no more requests than any engine can hold.
func (el EngineLoad) IsPossible() bool {
	inRange := func(count int) bool { return count >= 0 && count <= maxEngineRequests }
	return inRange(el.Running) && inRange(el.Waiting) && el.Age >= 0
}
