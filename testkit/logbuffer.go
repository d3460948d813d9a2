package testkit

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// LogBuffer is a buffer for log lines in JSON. It is safe for concurrent use.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (lb *LogBuffer) Write(line []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.text.Write(line)
}

// Text returns all lines written so far.
func (lb *LogBuffer) Text() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.text.String()
}

// Count returns the number of lines with an event.
func (lb *LogBuffer) Count(event string) int {
	return strings.Count(lb.Text(), `"event":"`+event+`"`)
}

// RequestEvents returns the fields of each log line of a request, keyed by the event of
// the line. Of several lines with one event, it returns the last.
func (lb *LogBuffer) RequestEvents(request string) map[string]map[string]any {
	found := map[string]map[string]any{}
	for line := range strings.Lines(lb.Text()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["request"] == request {
			found[fields["event"].(string)] = fields
		}
	}
	return found
}
