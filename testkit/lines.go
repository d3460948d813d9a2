package testkit

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
)

// Lines keeps log lines, for writers and readers on several goroutines.
type Lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (li *Lines) Write(line []byte) (int, error) {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.text.Write(line)
}

// Text returns all lines.
func (li *Lines) Text() string {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.text.String()
}

// Count returns how many lines have an event.
func (li *Lines) Count(event string) int {
	return strings.Count(li.Text(), `"event":"`+event+`"`)
}

// Events returns the fields of the lines about a request, by event.
func (li *Lines) Events(request string) map[string]map[string]any {
	found := map[string]map[string]any{}
	for line := range strings.Lines(li.Text()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["request"] == request {
			found[fields["event"].(string)] = fields
		}
	}
	return found
}
