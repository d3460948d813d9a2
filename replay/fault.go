package replay

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/trace"
)

func (re *replay) apart(a, b mp.DataCentreID) bool {
	return a != b && (re.cut[a] || re.cut[b])
}

// begin starts a fault and plans its end.
func (re *replay) begin(fa *trace.Fault) error {
	until := re.now + fa.Duration.Std()
	switch fa.Kind {
	case trace.FaultSlow, trace.FaultCrash:
		mo, ok := re.engines[fa.Engine]
		if !ok {
			return errors.NotFoundf("engine %q", fa.Engine)
		}
		if fa.Kind == trace.FaultSlow {
			mo.slowdown = fa.Factor
			re.events.add(until, func() { mo.slowdown = 1 })
			return nil
		}
		re.crash(mo)
		re.events.add(until, func() { mo.down = false })
	case trace.FaultReportDelay:
		re.lag = int(fa.ReportDelay.Std() / sampleInterval)
		re.events.add(until, func() { re.lag = 0 })
	case trace.FaultPartition:
		re.cut[fa.DataCentre] = true
		re.breakLinks(fa.DataCentre)
		re.events.add(until, func() { delete(re.cut, fa.DataCentre) })
	default:
		return errors.NotValidf("fault %q", fa.Kind)
	}
	return nil
}

func (re *replay) crash(mo *modelled) {
	mo.down = true
	mo.reset()
	for _, rq := range sortedRequests(mo.requests) {
		delete(mo.requests, rq.id)
		re.fail(rq, rq.runOutcome(true))
	}
}

// breakLinks ends the runs that cross the edge of a data centre.
func (re *replay) breakLinks(dc mp.DataCentreID) {
	for _, id := range re.order {
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

func sortedRequests(requests map[mp.RequestID]*request) []*request {
	list := make([]*request, 0, len(requests))
	for _, rq := range requests {
		list = append(list, rq)
	}
	slices.SortFunc(list, func(a, b *request) int { return strings.Compare(string(a.id), string(b.id)) })
	return list
}
