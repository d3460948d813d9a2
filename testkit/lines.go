package testkit

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// LogBuffer keeps log lines, for writers and readers on several goroutines.
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

// Text returns all lines.
func (li *LogBuffer) Text() string {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.text.String()
}

// Count returns how many lines have an event.
func (li *LogBuffer) Count(event string) int {
	return strings.Count(li.Text(), `"event":"`+event+`"`)
}

// RequestEvents returns the fields of the lines about a request, by event.
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
