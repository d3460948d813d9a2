package gateway

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/speed"
)

// stepDurations holds the durations of steps with prefill by service. It is immutable and
// replaced as a whole, so that requests read it without a lock.
type stepDurations map[mp.ServiceName]time.Duration

// updateSpeeds decides how fast the engines of each service are, and which services get
// jitter-sensitive streams.
func (ga *Gateway) updateSpeeds(now time.Time) {
	ga.placerMu.Lock()
	states := ga.placer.UpdateSpeeds(now)
	ga.placerMu.Unlock()
	ga.setStepDurations(states)
	for name, state := range states {
		if state.Changed {
			ga.logger.Info().Str("event", "engine_speed_changed").Str("service", string(name)).
				Dur("step_ms", state.StepWithPrefill).Float64("tokens_per_second", state.PrefillRate).
				Float64("gaps", state.Steps).Float64("first_events", state.Prefills).Int64("refused", state.Refused).
				Msg("the engines of a service are faster or slower than assumed before")
		}
	}
	table := ga.view.Load().Table
	if table == nil {
		return
	}
	workloads := ga.workloadsOf(table).byService
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	for name := range states {
		ga.placer.SetServesJitterSensitive(name, workloads[name].HasJitterSensitive())
	}
}

// setStepDurations replaces the durations by which classes are told apart, if they differ.
func (ga *Gateway) setStepDurations(states map[mp.ServiceName]placement.SpeedState) {
	known := *ga.stepDurations.Load()
	changed := len(states) != len(known)
	durations := make(stepDurations, len(states))
	for name, state := range states {
		durations[name] = state.StepWithPrefill
		changed = changed || known[name] != state.StepWithPrefill
	}
	if changed {
		ga.stepDurations.Store(&durations)
	}
}

// Speeds implements peer.LoadDelegate.
func (ga *Gateway) Speeds(dataCentre bool) map[mp.ServiceName]speed.Report {
	now := ga.clock.Now()
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.placer.SpeedReports(now, dataCentre)
}

// mergeSpeeds records what another host or data centre has observed. The caller must hold
// placerMu. The broadcaster has checked the reports.
func (ga *Gateway) mergeSpeeds(now time.Time, update peer.LoadUpdate) {
	from := speed.Source{Host: update.Host}
	if update.Aggregate {
		from = speed.Source{DataCentre: update.From.DataCentre}
	}
	if err := ga.placer.MergeSpeeds(now, from, update.Speeds); err != nil {
		ga.logger.Warn().Str("event", "engine_speed_refused").Str("peer", string(update.Host)).Err(err).Msg("speed of engines of another host refused")
	}
}

// recordStreamEvents tells the placer of relayed events of an engine's stream.
func (ga *Gateway) recordStreamEvents(re *request, ch placement.Choice) {
	service, ok := re.snapshot.Table.Service(re.service)
	if !ok || service.Engine == nil || service.Engine.TokensPerEvent <= 0 {
		return
	}
	st := re.stream
	tokens := (st.events - st.markedEvents) * service.Engine.TokensPerEvent
	st.markedEvents = st.events
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	st.mark = ga.placer.RecordEvents(st.lastAt, ch, st.mark, tokens)
}

// updateSpeedGauges updates the gauges of the speed of engines. Only the maintenance
// goroutine calls it.
func (ga *Gateway) updateSpeedGauges() {
	type gauges struct {
		speed    speed.Speed
		refused  int64
		reserved int
	}
	services := map[mp.ServiceName]gauges{}
	ga.placerMu.Lock()
	for name := range *ga.stepDurations.Load() {
		services[name] = gauges{speed: ga.placer.Speed(name), refused: ga.placer.RefusedSpeeds(name), reserved: ga.placer.ReservedEngines(name)}
	}
	ga.placerMu.Unlock()
	for name, service := range services {
		scope := ga.counters.scope.Tagged(map[string]string{"service": string(name)})
		scope.Gauge("engine_step_seconds").Update(service.speed.StepWithPrefill.Seconds())
		scope.Gauge("engine_prefill_tokens_per_second").Update(service.speed.PrefillRate)
		scope.Gauge("engine_speeds_refused").Update(float64(service.refused))
		scope.Gauge("engines_reserved").Update(float64(service.reserved))
		if service.refused > ga.refusedSpeeds[name] {
			ga.logger.Warn().Str("event", "engine_speed_refused").Str("service", string(name)).Int64("refused_so_far", service.refused).
				Msg("implausible times between events or to a first event left out")
		}
		ga.refusedSpeeds[name] = service.refused
	}
}
