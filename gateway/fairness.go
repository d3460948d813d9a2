package gateway

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/fairness"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
)

// organisationID returns the identifier of the request's organisation, or "" if it has none.
func (re *request) organisationID() mp.OrganisationID {
	if re.organisation == nil {
		return ""
	}
	return re.organisation.ID
}

// group returns what the request's organisation shares with others.
func (re *request) group() fairness.Group {
	return fairness.Group{Service: re.service, Level: placement.LevelOf(re.rank.Priority)}
}

// choose chooses the backend server for an attempt, with a shorter queue if the request's
// organisation has more than its fair part, and counts the first attempt of a request. The
// caller must hold placerMu.
func (ga *Gateway) choose(now time.Time, re *request, rq *placement.Request, mayBeLate bool) (ch placement.Choice, late time.Duration, ok bool) {
	rq.QueueShare = ga.fairness.QueueShare(now, re.group(), re.organisationID())
	ch, ok = ga.placer.Choose(now, rq)
	late = ch.Lateness(rq)
	if ok && ch.Server.IsEngine && !re.usageCounted {
		re.usageCounted = true
		ga.fairness.Record(now, re.group(), re.organisationID(), max(1, ch.PrefillTokens), late <= 0 || mayBeLate)
	}
	return ch, late, ok
}

// countOverFairLevel counts a refused request that would have been sent if its organisation
// were not above the fair level.
func (ga *Gateway) countOverFairLevel(ch placement.Choice, rq *placement.Request) {
	unlimited := *rq
	unlimited.QueueShare = 1
	if rq.QueueShare < 1 && ch.Lateness(&unlimited) <= 0 {
		ga.counters.countOverFairLevel()
	}
}

// Usage implements peer.LoadDelegate.
func (ga *Gateway) Usage(ofDataCentre bool) fairness.Report {
	now := ga.clock.Now()
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	if ofDataCentre {
		return ga.fairness.DataCentreReport(now)
	}
	return ga.fairness.LocalReport(now)
}

// mergeUsage merges the usage of organisations in a load update. The caller must hold
// placerMu.
func (ga *Gateway) mergeUsage(now time.Time, update peer.LoadUpdate) {
	switch {
	case update.Usage == nil:
	case update.Aggregate:
		ga.fairness.MergeDataCentre(now, update.From.DataCentre, update.Usage)
	default:
		ga.fairness.MergeHost(now, update.Host, update.Usage)
	}
}

const (
	// exceedingLogInterval is the shortest time between two log lines on an organisation
	// above the fair level of a group.
	exceedingLogInterval = 10 * time.Second
	// maxExceedingLines is the maximum number of such lines in one maintenance run.
	maxExceedingLines = 4
)

// exceedingKey identifies an organisation above the fair level of a group.
type exceedingKey struct {
	fairness.Group
	organisation mp.OrganisationID
}

// observeFairness updates the gauge of the organisations above their fair levels, and logs
// those that have not been logged for a while. Only the maintenance goroutine calls it.
func (ga *Gateway) observeFairness(now time.Time) {
	ga.placerMu.Lock()
	exceeding := ga.fairness.Exceeding(now)
	ga.placerMu.Unlock()
	ga.counters.scope.Gauge("organisations_over_fair_level").Update(float64(len(exceeding)))
	for key, loggedAt := range ga.exceedingLogged {
		if now.Sub(loggedAt) >= exceedingLogInterval {
			delete(ga.exceedingLogged, key)
		}
	}
	lines := 0
	for _, ex := range exceeding {
		key := exceedingKey{Group: ex.Group, organisation: ex.Organisation}
		if _, logged := ga.exceedingLogged[key]; logged || lines == maxExceedingLines {
			continue
		}
		lines++
		ga.exceedingLogged[key] = now
		ga.logger.Info().Str("event", "fair_level_exceeded").Str("organisation", string(ex.Organisation)).Str("service", string(ex.Service)).
			Int("level", ex.Level).Float64("excess", ex.Excess).Float64("sent", ex.Sent).Float64("fair_level", ex.FairLevel).
			Int("reports", ex.Reports).Dur("oldest_report_ms", ex.OldestReport).Msg("organisation above its fair level waits in shorter queues")
	}
}
