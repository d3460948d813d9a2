package gateway

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/routing"
)

// workloads holds the workload of each service with engines, as a routing table
// and the speed of engines define them. It is immutable.
type workloads struct {
	table     *routing.Table
	steps     *stepDurations
	byService map[mp.ServiceName]placement.Workload
}

// workloadsOf returns the workloads of a routing table with the speed of engines in force.
// The last ones are kept, because requests of one configuration follow each other.
func (ga *Gateway) workloadsOf(table *routing.Table) *workloads {
	steps := ga.stepDurations.Load()
	if wo := ga.workloads.Load(); wo != nil && wo.table == table && wo.steps == steps {
		return wo
	}
	wo := newWorkloads(table, steps)
	ga.durations.keep(table.Routes())
	ga.workloads.Store(wo)
	return wo
}

func newWorkloads(table *routing.Table, steps *stepDurations) *workloads {
	classes := map[mp.ServiceName][]placement.Class{}
	for _, ro := range table.Routes() {
		for _, weighted := range ro.WeightedServices {
			service, ok := table.Service(weighted.Service)
			if !ok || service.Engine == nil {
				continue
			}
			classes[service.Name] = append(classes[service.Name], placement.Class{
				Priority:      ro.Priority,
				LatencyTarget: ro.LatencyTarget,
				Tolerance:     jitterTolerance(table, ro, service.Name),
			})
		}
	}
	wo := &workloads{table: table, steps: steps, byService: make(map[mp.ServiceName]placement.Workload, len(classes))}
	for name, group := range classes {
		var opts []placement.WorkloadOption
		if duration, ok := (*steps)[name]; ok {
			opts = append(opts, placement.WithStepDuration(duration))
		}
		wo.byService[name] = placement.NewWorkload(group, opts...)
	}
	return wo
}

// jitterTolerance returns what the streams of a route tolerate between two tokens at a
// service; zero if it has no engines.
func jitterTolerance(table *routing.Table, ro *routing.Route, name mp.ServiceName) placement.JitterTolerance {
	service, ok := table.Service(name)
	if !ok || service.Engine == nil {
		return 0
	}
	return placement.NewJitterTolerance(ro.EventGapTarget, service.Engine.TokensPerEvent)
}
