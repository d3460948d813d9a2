// Package trace reads, writes and generates traces of traffic for package replay, which
// simulates them. A trace lists requests and faults, one JSON object per line, ordered
// by time.
package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultSlow slows an engine down: it multiplies the duration of its steps.
	FaultSlow FaultKind = "slow"
	// FaultCrash fails all requests on an engine, which is unreachable until the end
	// of the fault.
	FaultCrash FaultKind = "crash"
	// FaultReportDelay delays the load reports of all engines.
	FaultReportDelay FaultKind = "lag"
	// FaultPartition separates a data centre from the others by a network partition.
	FaultPartition FaultKind = "cut"
)

// Fault is a simulated fault of limited duration.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Engine is the faulty engine, with FaultSlow and FaultCrash.
	Engine mp.EngineID `json:"engine,omitempty"`
	// DataCentre is the separated data centre, with FaultPartition.
	DataCentre mp.DataCentreID `json:"data_centre,omitempty"`
	// SlowdownFactor multiplies the duration of the engine's steps, with FaultSlow.
	SlowdownFactor float64 `json:"factor,omitempty"`
	// ReportDelay is added to the age of load reports, with FaultReportDelay.
	ReportDelay mp.Duration `json:"lag,omitempty"`
	// Duration is the time from the beginning to the end of the fault.
	Duration mp.Duration `json:"lasts"`
}

// Request is one request of a trace.
type Request struct {
	Organisation mp.OrganisationID `json:"organisation"`
	Class        mp.ClassName      `json:"class"`
	Model        mp.ModelID        `json:"model"`
	// DataCentre is where the request arrives.
	DataCentre mp.DataCentreID `json:"data_centre"`
	// PromptTokens is the length of the prompt, including the shared prefix.
	PromptTokens mp.Tokens `json:"prompt_tokens"`
	// PrefixID identifies the shared prefix of the prompt; zero for none.
	PrefixID uint64 `json:"prefix_id,omitempty"`
	// PrefixTokens is the length of the shared prefix.
	PrefixTokens mp.Tokens `json:"prefix_tokens,omitempty"`
	// AnswerTokens is the length of the complete answer.
	AnswerTokens mp.Tokens `json:"output_tokens"`
}

// Line is one line of a trace: a request or a fault.
type Line struct {
	// At is the time since the start of the trace.
	At      mp.Duration `json:"at"`
	Request *Request    `json:"request,omitempty"`
	Fault   *Fault      `json:"fault,omitempty"`
}

const maxLineBytes = 1 << 20

// Read reads the lines of a trace. It returns an error if a line is not valid JSON or
// does not have exactly one of a request and a fault.
func Read(in io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		var li Line
		if err := json.Unmarshal(scanner.Bytes(), &li); err != nil {
			return nil, errors.Annotatef(err, "line %d of the trace", number)
		}
		if (li.Request == nil) == (li.Fault == nil) {
			return nil, errors.NotValidf("line %d of the trace (want exactly one of \"request\" and \"fault\")", number)
		}
		lines = append(lines, li)
	}
	return lines, errors.Annotate(scanner.Err(), "trace")
}

// Write writes the lines of a trace. It returns an error if out fails.
func Write(out io.Writer, lines []Line) error {
	buffered := bufio.NewWriter(out)
	encoder := json.NewEncoder(buffered)
	for _, li := range lines {
		if err := encoder.Encode(li); err != nil {
			return errors.Annotate(err, "trace")
		}
	}
	return errors.Annotate(buffered.Flush(), "trace")
}
