package placement

import (
	"slices"
	"time"
)

// Class is a class of streams that the engines of a service get.
type Class struct {
	// Priority is the priority level; 0 is the most urgent.
	Priority int
	// LatencyTarget is the target for the time to the first event.
	LatencyTarget time.Duration
	// Tolerance is what the streams of the class tolerate between two tokens.
	Tolerance JitterTolerance
}

// Workload describes the classes of streams of one service. It is immutable.
type Workload struct {
	classes    []Class // distinct
	tolerances []JitterTolerance
	// stepDuration is the duration of a step in which an engine prefills prompts.
	stepDuration time.Duration
}

// WorkloadOption configures a workload.
type WorkloadOption func(*Workload)

// WithStepDuration sets the duration of a step in which an engine prefills prompts. The
// default is that of DefaultSpeed.
func WithStepDuration(duration time.Duration) WorkloadOption {
	return func(wo *Workload) { wo.stepDuration = duration }
}

// NewWorkload returns the workload of a service with these classes.
func NewWorkload(classes []Class, opts ...WorkloadOption) Workload {
	wo := Workload{stepDuration: DefaultSpeed().StepWithPrefill}
	for _, opt := range opts {
		opt(&wo)
	}
	for _, cl := range classes {
		if slices.Contains(wo.classes, cl) {
			continue
		}
		wo.classes = append(wo.classes, cl)
		wo.tolerances = append(wo.tolerances, cl.Tolerance)
	}
	return wo
}

// JitterSensitive reports whether streams with this tolerance get engines of their
// own.
func (wo Workload) JitterSensitive(tolerance JitterTolerance) bool {
	return tolerance.IsSensitive(wo.tolerances, wo.stepDuration)
}

// HasJitterSensitive reports whether any class of the service gets engines of its own.
func (wo Workload) HasJitterSensitive() bool {
	return slices.ContainsFunc(wo.tolerances, wo.JitterSensitive)
}

// UrgentLatencyTarget returns the shortest latency target of the more urgent classes
// that wait in the same queues as streams with this priority and tolerance; zero if
// there are none. Jitter-sensitive streams wait in queues of their own.
func (wo Workload) UrgentLatencyTarget(priority int, tolerance JitterTolerance) time.Duration {
	sensitive := wo.JitterSensitive(tolerance)
	var shortest time.Duration
	for _, cl := range wo.classes {
		if cl.Priority >= priority || cl.LatencyTarget <= 0 || wo.JitterSensitive(cl.Tolerance) != sensitive {
			continue
		}
		if shortest == 0 || cl.LatencyTarget < shortest {
			shortest = cl.LatencyTarget
		}
	}
	return shortest
}
