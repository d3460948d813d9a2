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
func (li *LogBuffer) Write(line []byte) (int, error) {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.text.Write(line)
}

// Text returns all lines written so far.
func (li *LogBuffer) Text() string {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.text.String()
}

// Count returns the number of lines with an event.
func (li *LogBuffer) Count(event string) int {
	return strings.Count(li.Text(), `"event":"`+event+`"`)
}

// RequestEvents returns the fields of the log lines of a request by event. Of several
// lines with one event, it returns the last.
func (li *LogBuffer) RequestEvents(request string) map[string]map[string]any {
	found := map[string]map[string]any{}
	for line := range strings.Lines(li.Text()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["request"] == request {
			found[fields["event"].(string)] = fields
		}
	}
	return found
}
