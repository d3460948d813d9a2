package brittle

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// maxReports is the maximum number of services on which an update reports, and maxNameBytes
	// that of the bytes of their names.
	maxReports   = 8
	maxNameBytes = 512
	// maxLimit bounds a number of tolerated rejections that is believed.
	maxLimit = 1 << 20
)

// Report is what one or more hosts have heard from the servers of a service.
type Report struct {
	Limit int `json:"limit,omitempty"`
	// Age is the time since the last answer that said that its server is brittle.
	Age mp.Duration `json:"age"`
	// DeniedAge is the time since the last answer that did not; zero if none came after it.
	DeniedAge mp.Duration `json:"denied_age,omitempty"`
}

// Reports holds a report for each service that is brittle.
type Reports map[mp.ServiceName]Report

// Check returns an error if the reports can't be.
func (rs Reports) Check() error {
	if len(rs) > maxReports {
		return errors.NotValidf("reports on %d brittle services (want at most %d)", len(rs), maxReports)
	}
	for name, re := range rs {
		if name == "" || re.Limit < 0 || re.Limit > maxLimit || re.Age < 0 || re.Age.Std() > wordMemory || re.DeniedAge < 0 || re.DeniedAge > re.Age {
			return errors.NotValidf("report %+v on brittle service %q", re, name)
		}
	}
	return nil
}

// Reports returns what this host or, for an aggregate, the hosts of its data centre have heard.
// What others told isn't passed on, so that it can't grow younger on its way in a circle.
func (tr *Tracker) Reports(now time.Time, aggregate bool) Reports {
	sc := ownScope
	if aggregate {
		sc = homeScope
	}
	isFresh := func(name mp.ServiceName) bool { return now.Sub(tr.services[name].words[sc].said) < wordMemory }
	names := slices.Collect(maps.Keys(tr.services))
	names = slices.DeleteFunc(names, func(name mp.ServiceName) bool { return !isFresh(name) })
	slices.SortFunc(names, func(one, two mp.ServiceName) int {
		return cmp.Or(tr.services[two].words[sc].said.Compare(tr.services[one].words[sc].said), cmp.Compare(one, two))
	})
	var reports Reports
	bytes := 0
	for _, name := range names[:min(len(names), maxReports)] {
		if bytes += len(name); bytes > maxNameBytes {
			break
		}
		if reports == nil {
			reports = Reports{}
		}
		reports[name] = tr.services[name].report(now, sc)
	}
	return reports
}

func (sv *service) report(now time.Time, sc scope) Report {
	wo := &sv.words[sc]
	re := Report{Limit: min(sv.limit, maxLimit), Age: mp.Duration(now.Sub(wo.said))}
	if !wo.denied.IsZero() {
		re.DeniedAge = mp.Duration(max(now.Sub(wo.denied), time.Nanosecond))
	}
	return re
}

// Merge records what another host of the data centre, or another data centre, has heard. It
// returns the services that are brittle from now on.
func (tr *Tracker) Merge(now time.Time, reports Reports, fromOtherDataCentre bool) []Change {
	sc := homeScope
	if fromOtherDataCentre {
		sc = allScope
	}
	var changes []Change
	for name, re := range reports {
		sv, ok := tr.services[name]
		if !ok {
			sv, ok = tr.addService(name)
		}
		if !ok {
			continue
		}
		sv.say(now.Add(-re.Age.Std()), sc, re.Limit)
		if re.DeniedAge > 0 {
			sv.deny(now.Add(-re.DeniedAge.Std()), sc)
		}
		changes = append(changes, sv.announce(now, name, SourcePeer)...)
	}
	return changes
}
