package brittle

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
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
	// rejectionMemory is how long others are told of a rejection, and maxRejections the maximum
	// number of servers of a service in a report that rejected requests.
	rejectionMemory = time.Second
	maxRejections   = 8
)

// Report is what one or more hosts have heard from the servers of a service.
type Report struct {
	Limit int `json:"limit,omitempty"`
	// Age is the time since the last answer that said that its server is brittle.
	Age mp.Duration `json:"age"`
	// DeniedAge is the time since the last answer that did not; zero if none came after it.
	DeniedAge mp.Duration `json:"denied_age,omitempty"`
	// Rejections are the servers that lately rejected a request.
	Rejections []Rejection `json:"rejections,omitempty"`
}

// Rejection tells of a server that rejected a request.
type Rejection struct {
	Server          mp.ServerID `json:"server"`
	StartedAtMillis int64       `json:"started_at_ms,omitempty"`
	Age             mp.Duration `json:"age"`
}

// check returns an error if the report can't be.
func (re Report) check() error {
	if re.Limit < 0 || re.Limit > maxLimit || re.Age < 0 || re.Age.Std() > wordMemory || re.DeniedAge < 0 || re.DeniedAge > re.Age || len(re.Rejections) > maxRejections {
		return errors.NotValidf("report %+v", re)
	}
	for _, rj := range re.Rejections {
		if rj.Server == "" || rj.Age < 0 || rj.Age.Std() > rejectionMemory {
			return errors.NotValidf("rejection %+v", rj)
		}
	}
	return nil
}

// Reports holds a report for each service that is brittle.
type Reports map[mp.ServiceName]Report

// Check returns an error if the reports can't be.
func (rs Reports) Check() error {
	if len(rs) > maxReports {
		return errors.NotValidf("reports on %d brittle services (want at most %d)", len(rs), maxReports)
	}
	for name, re := range rs {
		if err := re.check(); err != nil || name == "" {
			return errors.NewNotValid(err, "brittle service "+strconv.Quote(string(name)))
		}
	}
	return nil
}

// WithoutRejections returns the reports without the servers that rejected requests.
func (rs Reports) WithoutRejections() Reports {
	reports := maps.Clone(rs)
	for name, re := range reports {
		re.Rejections = nil
		reports[name] = re
	}
	return reports
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
		re := tr.services[name].report(now, sc)
		re.Rejections = tr.rejections(now, name, sc)
		reports[name] = re
	}
	return reports
}

// rejections returns the servers of a service that lately rejected requests, the last ones first.
func (tr *Tracker) rejections(now time.Time, name mp.ServiceName, sc scope) []Rejection {
	var rejections []Rejection
	for _, se := range tr.servers {
		at := se.rejectedAt
		if sc != ownScope {
			at = se.heardRejectionAt
		}
		if se.Service == name && now.Sub(at) < rejectionMemory {
			rejections = append(rejections, Rejection{Server: se.ID, StartedAtMillis: se.StartedAtMillis, Age: mp.Duration(now.Sub(at))})
		}
	}
	slices.SortFunc(rejections, func(one, two Rejection) int {
		return cmp.Or(cmp.Compare(one.Age, two.Age), cmp.Compare(one.Server, two.Server))
	})
	return rejections[:min(len(rejections), maxRejections)]
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
		for _, rj := range re.Rejections {
			if se, ok := tr.servers[rj.Server]; ok && se.StartedAtMillis == rj.StartedAtMillis {
				se.recordHeardRejection(now, now.Add(-rj.Age.Std()))
			}
		}
		changes = append(changes, sv.announce(now, name, SourcePeer)...)
	}
	return changes
}
