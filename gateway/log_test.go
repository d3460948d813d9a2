package gateway_test

import (
	"bytes"
	"encoding/json"
	"sync"
)

// logBuffer keeps log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (lb *logBuffer) Write(line []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.lines.Write(line)
}

// events returns the fields of the lines about a request, by event.
func (lb *logBuffer) events(request string) map[string]map[string]any {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	found := map[string]map[string]any{}
	for line := range bytes.Lines(lb.lines.Bytes()) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["request"] == request {
			found[fields["event"].(string)] = fields
		}
	}
	return found
}

// count returns how many lines have an event.
func (lb *logBuffer) count(event string) int {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return bytes.Count(lb.lines.Bytes(), []byte(`"event":"`+event+`"`))
}
