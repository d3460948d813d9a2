// Package trace reads, writes and generates recorded traffic: requests and
// faults, one JSON object to a line, in the order of their times.
package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// FaultKind is what happens to a part of the deployment.
type FaultKind string

// The kinds of faults.
const (
	// FaultSlow multiplies the time of an engine's iterations.
	FaultSlow FaultKind = "slow"
	// FaultCrash ends everything on an engine, which then refuses requests.
	FaultCrash FaultKind = "crash"
	// FaultReportDelay delays load reports.
	FaultReportDelay FaultKind = "lag"
	// FaultPartition parts a data centre from the others.
	FaultPartition FaultKind = "cut"
)

// Fault is a fault that begins at a time and lasts for a while.
type Fault struct {
	Kind       FaultKind       `json:"kind"`
	Engine     mp.EngineID     `json:"engine,omitempty"`
	DataCentre mp.DataCentreID `json:"data_centre,omitempty"`
	// Factor multiplies the time of iterations, with FaultSlow.
	Factor float64 `json:"factor,omitempty"`
	// ReportDelay is the age of load reports, with FaultLag.
	ReportDelay mp.Duration `json:"lag,omitempty"`
	// Duration is how long the fault lasts.
	Duration mp.Duration `json:"lasts"`
}

// Request is one recorded request.
type Request struct {
	Organisation mp.OrganisationID `json:"organisation"`
	Class        mp.ClassName      `json:"class"`
	Model        mp.ModelID        `json:"model"`
	DataCentre   mp.DataCentreID   `json:"data_centre"`
	Prompt       mp.Tokens         `json:"prompt_tokens"`
	PrefixID     uint64            `json:"prefix_id,omitempty"`
	PrefixTokens mp.Tokens         `json:"prefix_tokens,omitempty"`
	Output       mp.Tokens         `json:"output_tokens"`
}

// Line is one line of a trace: a request or a fault.
type Line struct {
	// At is the time since the beginning of the trace.
	At      mp.Duration `json:"at"`
	Request *Request    `json:"request,omitempty"`
	Fault   *Fault      `json:"fault,omitempty"`
}

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// Read returns the lines of a trace.
func Read(in io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for number := 1; scanner.Scan(); number++ {
		var li Line
		if err := json.Unmarshal(scanner.Bytes(), &li); err != nil {
			return nil, errors.Annotatef(err, "line %d of the trace", number)
		}
		if (li.Request == nil) == (li.Fault == nil) {
			return nil, errors.NotValidf("line %d of the trace (want one of \"request\" and \"fault\")", number)
		}
		lines = append(lines, li)
	}
	return lines, errors.Annotate(scanner.Err(), "trace")
}

// Write writes the lines of a trace.
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
