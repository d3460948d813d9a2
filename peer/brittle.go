package peer

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/brittle"
)

// maxBrittleBytes is the maximum size of what an update tells of brittle services.
const maxBrittleBytes = maxDatagramBytes / 8

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

// boundedBrittle returns the reports, without the rejections if they are too large, and none if
// that isn't enough: names with characters that JSON escapes are long.
func boundedBrittle(reports brittle.Reports) (brittle.Reports, error) {
	for _, bounded := range []brittle.Reports{reports, reports.WithoutRejections()} {
		data, err := json.Marshal(bounded)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(data) <= maxBrittleBytes {
			return bounded, nil
		}
	}
	return nil, nil
}
