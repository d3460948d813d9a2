package placement

import "time"

// UrgentClass is a class of more urgent requests that wait in the same queues as another
// request.
type UrgentClass struct {
	// Priority is the least urgent priority of requests of the class that are more urgent
	// than the other request.
	Priority int
	// LatencyTarget is the target for the time to the first event.
	LatencyTarget time.Duration
	// UrgentLatencyTarget is the shortest target of the classes that are more urgent than
	// this one and wait in the same queues; zero if there are none.
	UrgentLatencyTarget time.Duration
}

// MoreUrgent returns the classes with requests that are more urgent than a request with
// this priority and tolerance, and wait in the same queues. Organisations make the
// priority of a class more urgent by up to maxRaise levels. Classes without a latency
// target are left out.
func (wo Workload) MoreUrgent(priority, maxRaise int, tolerance JitterTolerance) []UrgentClass {
	sensitive := wo.JitterSensitive(tolerance)
	var urgent []UrgentClass
	for _, cl := range wo.classes {
		if max(0, cl.Priority-maxRaise) >= priority || cl.LatencyTarget <= 0 || wo.JitterSensitive(cl.Tolerance) != sensitive {
			continue
		}
		urgent = append(urgent, UrgentClass{
			Priority:            min(cl.Priority, priority-1),
			LatencyTarget:       cl.LatencyTarget,
			UrgentLatencyTarget: wo.UrgentLatencyTarget(cl.Priority, cl.Tolerance),
		})
	}
	return urgent
}

// waitLimit returns the maximum queue wait of requests of a class at a load level between
// 0 and 1, without regard to the limits of more urgent classes. It falls with the load
// level, and with less urgent priorities.
func (uc UrgentClass) waitLimit(loadLevel float64, prefill time.Duration) time.Duration {
	ix := LevelOf(uc.Priority)
	atLowLoad := scale(uc.LatencyTarget, lowLoadWaitRatios[ix])
	atHighLoad := scale(uc.LatencyTarget, highLoadWaitRatios[ix])
	if uc.UrgentLatencyTarget > 0 {
		atHighLoad = min(atHighLoad, maxWaitBeforeUrgent(uc.UrgentLatencyTarget, prefill))
	}
	return atLowLoad + scale(atHighLoad-atLowLoad, loadLevel)
}
