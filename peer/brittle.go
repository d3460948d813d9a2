package peer

import (
	"github.com/mangopaddle/mangopaddle/brittle"
)

// WithBrittle makes the load updates carry which services are brittle: what this host has heard,
// or all hosts of its data centre in aggregates. By default they carry none.
func WithBrittle(reports func(aggregate bool) brittle.Reports) LoadBroadcasterOption {
	return func(lb *LoadBroadcaster) { lb.brittle = reports }
}

// brittleReports returns the reports for an update.
func (lb *LoadBroadcaster) brittleReports(aggregate bool) brittle.Reports {
	if lb.brittle == nil {
		return nil
	}
	return lb.brittle(aggregate)
}
