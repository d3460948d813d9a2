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

// injectFault starts a fault and schedules its end.
func (re *replay) injectFault(fa *trace.Fault) error {
	until := re.now + fa.Duration.Std()
	switch fa.Kind {
	case trace.FaultSlow, trace.FaultCrash:
		mo, ok := re.engines[fa.Engine]
		if !ok {
			return errors.NotFoundf("engine %q", fa.Engine)
		}
		if fa.Kind == trace.FaultSlow {
			mo.slowdownFactor = fa.SlowdownFactor
			re.eventQueue.add(until, func() { mo.slowdownFactor = 1 })
			return nil
		}
		re.crash(mo)
		re.eventQueue.add(until, func() { mo.down = false })
	case trace.FaultReportDelay:
		re.reportDelaySamples = int(fa.ReportDelay.Std() / sampleInterval)
		re.eventQueue.add(until, func() { re.reportDelaySamples = 0 })
	case trace.FaultPartition:
		re.partitioned[fa.DataCentre] = true
		re.failCrossingRuns(fa.DataCentre)
		re.eventQueue.add(until, func() { delete(re.partitioned, fa.DataCentre) })
	default:
		return errors.NotValidf("fault %q", fa.Kind)
	}
	return nil
}

// crash stops an engine and fails the requests on it.
func (re *replay) crash(mo *simulatedEngine) {
	mo.down = true
	mo.reset()
	for _, rq := range sortedRequests(mo.requests) {
		delete(mo.requests, rq.id)
		re.fail(rq, rq.runOutcome(true))
	}
}

// failCrossingRuns fails the runs whose host and engine are on different sides of a
// data centre's boundary.
func (re *replay) failCrossingRuns(dc mp.DataCentreID) {
	for _, id := range re.engineIDs {
		mo := re.engines[id]
		for _, rq := range sortedRequests(mo.requests) {
			if rq.host.dc == mo.config.DataCentre || (rq.host.dc != dc && mo.config.DataCentre != dc) {
				continue
			}
			mo.model.Cancel(rq.id)
			delete(mo.requests, rq.id)
			re.fail(rq, rq.runOutcome(true))
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
