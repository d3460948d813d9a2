package gateway

import (
	"bytes"
	"strconv"

	"github.com/mangopaddle/mangopaddle/platform"
)

// eventSeparator terminates each event of a stream.
var eventSeparator = []byte("\n\n")

// fieldOf splits a line of an event into the name of its field and its value. A comment has
// an empty name.
func fieldOf(line []byte) (name string, value []byte) {
	before, value, _ := bytes.Cut(line, []byte(":"))
	return string(bytes.TrimRight(before, "\r\n")), bytes.TrimSpace(value)
}

// isEvent reports whether each line of a block of a stream is a comment or a field that
// events have. A blank block is an event without fields.
func isEvent(block []byte) bool {
	for line := range bytes.Lines(block) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			continue
		}
		if name, _ := fieldOf(line); name != "" && !platform.IsEventField(name) {
			return false
		}
	}
	return true
}

// hasData reports whether an event has a line of data.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if name, _ := fieldOf(line); name == platform.EventFieldData {
			return true
		}
	}
	return false
}

// eventID returns the ID of an event, and false if it has no valid one.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		name, value := fieldOf(line)
		if name != platform.EventFieldID {
			continue
		}
		id, err := strconv.ParseInt(string(value), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// endsWithEvent reports whether data is blank or ends with a complete event.
func endsWithEvent(data []byte) bool {
	trimmed := bytes.TrimRight(data, "\r\n")
	return len(trimmed) == 0 || bytes.HasPrefix(data[len(trimmed):], eventSeparator)
}
