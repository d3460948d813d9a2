package replay

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/trace"
)

// isPartitioned reports whether a network partition separates two data centres.
func (re *replay) isPartitioned(a, b mp.DataCentreID) bool {
	return a != b && (re.partitioned[a] || re.partitioned[b])
}

// injectFault starts a fault and schedules its end. It returns an error if the kind or
// the engine is unknown.
func (re *replay) injectFault(fa *trace.Fault) error {
	until := re.now + fa.Duration.Std()
	switch fa.Kind {
	case trace.FaultSlow, trace.FaultCrash:
		se, ok := re.engines[fa.Engine]
		if !ok {
			return errors.NotFoundf("engine %q", fa.Engine)
		}
		if fa.Kind == trace.FaultSlow {
			se.slowdownFactor = fa.SlowdownFactor
			re.eventQueue.add(until, func() { se.slowdownFactor = 1 })
			return nil
		}
		re.crash(se)
		re.eventQueue.add(until, func() { se.down = false })
	case trace.FaultReportDelay:
		re.reportDelaySamples = int(fa.ReportDelay.Std() / sampleInterval)
		re.eventQueue.add(until, func() { re.reportDelaySamples = 0 })
	case trace.FaultPartition:
		re.partitioned[fa.DataCentre] = true
		re.failPartitionedAttempts(fa.DataCentre)
		re.eventQueue.add(until, func() { delete(re.partitioned, fa.DataCentre) })
	default:
		return errors.NotValidf("fault %q", fa.Kind)
	}
	return nil
}

// crash stops an engine and fails the requests on it.
func (re *replay) crash(se *simulatedEngine) {
	se.down = true
	se.reset()
	for _, rq := range sortedRequests(se.requests) {
		delete(se.requests, rq.id)
		re.fail(rq, rq.attemptOutcome(true))
	}
}

// failPartitionedAttempts fails the attempts whose host and engine are separated by the
// network partition of a data centre.
func (re *replay) failPartitionedAttempts(dc mp.DataCentreID) {
	for _, id := range re.engineIDs {
		se := re.engines[id]
		for _, rq := range sortedRequests(se.requests) {
			if rq.host.dc == se.config.DataCentre || (rq.host.dc != dc && se.config.DataCentre != dc) {
				continue
			}
			se.model.Cancel(rq.id)
			delete(se.requests, rq.id)
			re.fail(rq, rq.attemptOutcome(true))
		}
	}
}

// sortedRequests returns the requests sorted by ID, so that a replay is
// deterministic.
func sortedRequests(requests map[mp.RequestID]*request) []*request {
	list := make([]*request, 0, len(requests))
	for _, rq := range requests {
		list = append(list, rq)
	}
	slices.SortFunc(list, func(a, b *request) int { return strings.Compare(string(a.id), string(b.id)) })
	return list
}
