package placement

import (
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/speed"
)

const (
	// defaultPrefillChunk is the number of prompt tokens that an engine is assumed to
	// prefill in one step until enough of its service's engines was observed.
	defaultPrefillChunk mp.Tokens = 1024
	// defaultPrefillRate is the rate at which it is assumed to do so, in tokens/s.
	defaultPrefillRate float64 = 40_000
)

// DefaultSpeed returns the speed that engines are assumed to have until enough of them was
// observed.
func DefaultSpeed() speed.Speed {
	return speed.Speed{StepWithPrefill: prefillDuration(defaultPrefillChunk), PrefillRate: defaultPrefillRate}
}

// prefillDuration returns how long an engine takes to prefill a prompt at the
// default rate.
func prefillDuration(tokens mp.Tokens) time.Duration {
	return time.Duration(float64(tokens) / defaultPrefillRate * float64(time.Second))
}

// EventMark is the state of an engine when an event of one of its streams was relayed.
type EventMark struct {
	server        mp.ServerID
	at            time.Time
	prefillTokens mp.Tokens
}

// RecordEvents records that events arrived which hold a number of tokens, and returns the
// mark for the next ones. last is the mark of the event before them, zero if there is none.
// The time between two tokens shows the duration of a step with prefill if the engine
// prefilled prompts in each step: the prompts queued at the last event last for as many
// steps as the events have tokens, and there still are prompts now.
func (pl *Placer) RecordEvents(now time.Time, ch Choice, last EventMark, tokens int) EventMark {
	se, ok := pl.servers[ch.Server.ID]
	es := pl.speeds[ch.Server.Service]
	if !ok || es == nil {
		return EventMark{}
	}
	mark := EventMark{server: se.ID, at: now, prefillTokens: se.queue.total() + pl.peerLoad(se.ID).PrefillTokens}
	if last.server != se.ID || tokens <= 0 {
		return mark
	}
	chunk := stepTokens(es.Speed())
	if last.prefillTokens >= chunk*mp.Tokens(tokens) && mark.prefillTokens >= chunk {
		es.ObserveGap(now, now.Sub(last.at)/time.Duration(tokens))
	}
	return mark
}

// stepTokens returns the number of prompt tokens that an engine prefills in one step.
func stepTokens(sp speed.Speed) mp.Tokens {
	return mp.Tokens(sp.StepWithPrefill.Seconds()*sp.PrefillRate + 0.5)
}

// keepSpeeds drops the speeds of services that have no engines any more, and adds the
// default speed for new ones.
func (pl *Placer) keepSpeeds() {
	for name := range pl.speeds {
		if _, ok := pl.services[name]; !ok {
			delete(pl.speeds, name)
		}
	}
	for name, servers := range pl.services {
		if _, ok := pl.speeds[name]; !ok && servers[0].IsEngine {
			pl.speeds[name] = speed.New(DefaultSpeed())
		}
	}
}

// Speed returns how fast the engines of a service are.
func (pl *Placer) Speed(service mp.ServiceName) speed.Speed {
	if es, ok := pl.speeds[service]; ok {
		return es.Speed()
	}
	return DefaultSpeed()
}

// RefusedSpeeds returns the number of implausible values that this host has observed of the
// engines of a service.
func (pl *Placer) RefusedSpeeds(service mp.ServiceName) int64 {
	if es, ok := pl.speeds[service]; ok {
		return es.Refused()
	}
	return 0
}

// SpeedState is how fast the engines of a service are, with what it was decided from.
type SpeedState struct {
	speed.Speed
	// Steps and Prefills are the weights of the observations of all hosts.
	Steps, Prefills float64
	// Refused is the number of implausible values that this host has observed.
	Refused int64
	// Changed reports that the speed has changed.
	Changed bool
}

// UpdateSpeeds decides how fast the engines of each service are.
func (pl *Placer) UpdateSpeeds(now time.Time) map[mp.ServiceName]SpeedState {
	states := make(map[mp.ServiceName]SpeedState, len(pl.speeds))
	for name, es := range pl.speeds {
		state := SpeedState{Changed: es.Update(now), Refused: es.Refused()}
		state.Speed = es.Speed()
		state.Steps, state.Prefills = es.Observations(now)
		states[name] = state
	}
	return states
}

// SpeedReports returns what this host tells others of the engines' speed; if dataCentre is
// set, what all hosts of its data centre have observed.
func (pl *Placer) SpeedReports(now time.Time, dataCentre bool) map[mp.ServiceName]speed.Report {
	reports := map[mp.ServiceName]speed.Report{}
	for name, es := range pl.speeds {
		report := es.Report(now)
		if dataCentre {
			report = es.DataCentreReport(now)
		}
		if !report.IsZero() {
			reports[name] = report
		}
	}
	return reports
}

// MergeSpeeds records what another host or data centre has observed. It returns the last
// error of a report that has values that can't be.
func (pl *Placer) MergeSpeeds(now time.Time, from speed.Source, reports map[mp.ServiceName]speed.Report) error {
	var last error
	for name, report := range reports {
		if es, ok := pl.speeds[name]; ok {
			if err := es.Merge(now, from, report); err != nil {
				last = errors.Annotatef(err, "speed of service %q", name)
			}
		}
	}
	return last
}

// SetServesJitterSensitive sets whether a service gets jitter-sensitive streams.
func (pl *Placer) SetServesJitterSensitive(service mp.ServiceName, serves bool) {
	servers := pl.services[service]
	if len(servers) == 0 || servers[0].ServesJitterSensitive == serves {
		return
	}
	for _, se := range servers {
		se.ServesJitterSensitive = serves
	}
	pl.updateReservation(service)
}
