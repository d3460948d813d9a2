package fairness

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// maxNamed is the maximum number of organisations that a report has by name.
	maxNamed = 16
	// maxGroups is the maximum number of groups in a report.
	maxGroups = 8
	// maxNameBytes is the length above which the name of an organisation is shortened.
	maxNameBytes = 64
	// maxPlausible is the highest number in a report that is believed. A higher one can only
	// be the result of a fault.
	maxPlausible = 1 << 40
)

// Report is the usage of the scarce groups that a host, or a data centre, has seen.
type Report []GroupUsage

// GroupUsage is the usage of one group.
type GroupUsage struct {
	Service mp.ServiceName `json:"service"`
	Level   int            `json:"level,omitempty"`
	// Named is the usage of the organisations that offer the most.
	Named []NamedUsage `json:"named,omitempty"`
	// Rest is the sum of the others.
	Rest RestUsage `json:"rest,omitzero"`
}

// NamedUsage is the usage of an organisation, in prompt tokens.
type NamedUsage struct {
	Organisation mp.OrganisationID `json:"organisation,omitempty"`
	Offered      int64             `json:"offered"`
	Sent         int64             `json:"sent"`
}

// RestUsage is the summed usage of a number of organisations, in prompt tokens.
type RestUsage struct {
	Organisations int   `json:"organisations"`
	Offered       int64 `json:"offered"`
	Sent          int64 `json:"sent"`
}

func (gu GroupUsage) group() Group { return Group{Service: gu.Service, Level: gu.Level} }

// Check returns an error if the report can't be.
func (rp Report) Check() error {
	if len(rp) > maxGroups {
		return errors.NotValidf("report on %d groups", len(rp))
	}
	named := 0
	for _, gu := range rp {
		named += len(gu.Named)
		if gu.Level < 0 || gu.Rest.Organisations < 0 || gu.Rest.Organisations > maxPlausible || !plausible(gu.Rest.Offered, gu.Rest.Sent) ||
			(gu.Rest.Organisations == 0 && gu.Rest.Offered > 0) {
			return errors.NotValidf("usage of service %q, level %d", gu.Service, gu.Level)
		}
		for _, nu := range gu.Named {
			if len(nu.Organisation) > maxNameBytes || !plausible(nu.Offered, nu.Sent) {
				return errors.NotValidf("usage of an organisation at service %q, level %d", gu.Service, gu.Level)
			}
		}
	}
	if named > maxNamed {
		return errors.NotValidf("report on %d organisations", named)
	}
	return nil
}

func plausible(offered, sent int64) bool {
	return sent >= 0 && sent <= offered && offered <= maxPlausible
}

// reportedName returns the name by which reports have an organisation: its identifier, the
// end of which is replaced by a hash if it is too long.
func reportedName(id mp.OrganisationID) mp.OrganisationID {
	if len(id) <= maxNameBytes {
		return id
	}
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(id))
	hash := fmt.Sprintf("%016x", ha.Sum64())
	return id[:maxNameBytes-len(hash)] + mp.OrganisationID(hash)
}

// receivedReport is a report with the time of its arrival.
type receivedReport struct {
	report Report
	at     time.Time
}

// MergeHost records the report of another host of the data centre in place of its last one.
func (tr *Tracker) MergeHost(now time.Time, host mp.HostID, report Report) {
	expire(tr.hosts, now)
	tr.hosts[host] = receivedReport{report: report, at: now}
}

// MergeDataCentre records the report of another data centre in place of its last one.
func (tr *Tracker) MergeDataCentre(now time.Time, dc mp.DataCentreID, report Report) {
	expire(tr.dataCentres, now)
	tr.dataCentres[dc] = receivedReport{report: report, at: now}
}

// expire removes the reports that are too old.
func expire[K comparable](reports map[K]receivedReport, now time.Time) {
	for source, received := range reports {
		if now.Sub(received.at) >= reportLifetime {
			delete(reports, source)
		}
	}
}

// oldest returns the age of the oldest report.
func oldest[K comparable](reports map[K]receivedReport, now time.Time) time.Duration {
	var age time.Duration
	for _, received := range reports {
		age = max(age, now.Sub(received.at))
	}
	return age
}

// rest is the usage of a number of organisations that are not known by name.
type rest struct {
	Usage
	organisations int
}

// groupTotal is the usage of a group.
type groupTotal struct {
	named map[mp.OrganisationID]Usage
	rest  rest
}

// sum returns the usage of all organisations.
func (gt groupTotal) sum() Usage {
	sum := gt.rest.Usage
	for _, us := range gt.named {
		sum = sum.plus(us)
	}
	return sum
}

// add adds the usage in a report.
func (gt *groupTotal) add(gu GroupUsage) {
	for _, nu := range gu.Named {
		gt.named[nu.Organisation] = gt.named[nu.Organisation].plus(Usage{Offered: float64(nu.Offered), Sent: float64(nu.Sent)})
	}
	gt.rest.Usage = gt.rest.plus(Usage{Offered: float64(gu.Rest.Offered), Sent: float64(gu.Rest.Sent)})
	// The same small organisations use many hosts, so that their numbers don't add up.
	gt.rest.organisations = max(gt.rest.organisations, gu.Rest.Organisations)
}

// local returns the usage of a group that this host has seen.
func (tr *Tracker) local(group Group) groupTotal {
	gt := groupTotal{named: make(map[mp.OrganisationID]Usage, len(tr.groups[group]))}
	for id, us := range tr.groups[group] {
		gt.named[id] = us
	}
	return gt
}

// addReports adds what recent reports have on a group.
func addReports[K comparable](gt *groupTotal, group Group, reports map[K]receivedReport, now time.Time) {
	expire(reports, now)
	for _, received := range reports {
		for _, gu := range received.report {
			if gu.group() == group {
				gt.add(gu)
			}
		}
	}
}

// total returns the usage of a group, at this host and as reported.
func (tr *Tracker) total(now time.Time, group Group) groupTotal {
	gt := tr.local(group)
	addReports(&gt, group, tr.hosts, now)
	addReports(&gt, group, tr.dataCentres, now)
	return gt
}

// LocalReport returns what this host has seen of the groups that are scarce here or
// elsewhere; nil if there are none.
func (tr *Tracker) LocalReport(now time.Time) Report {
	return tr.report(now, tr.local)
}

// DataCentreReport returns what all hosts of the data centre have seen of the groups that
// are scarce here or elsewhere; nil if there are none.
func (tr *Tracker) DataCentreReport(now time.Time) Report {
	return tr.report(now, func(group Group) groupTotal {
		gt := tr.local(group)
		addReports(&gt, group, tr.hosts, now)
		return gt
	})
}

// report returns a report of bounded size on the scarce groups.
func (tr *Tracker) report(now time.Time, usage func(Group) groupTotal) Report {
	tr.decay(now)
	groups := tr.scarceGroups(now)
	var report Report
	for _, group := range groups {
		if gt := usage(group); gt.sum().Offered > 0 {
			report = append(report, groupUsage(group, gt, maxNamed/len(groups)))
		}
	}
	return report
}

// scarceGroups returns the groups that are scarce, at most maxGroups of them: the most
// urgent ones first.
func (tr *Tracker) scarceGroups(now time.Time) []Group {
	known := map[Group]bool{}
	for group := range tr.groups {
		known[group] = true
	}
	for _, received := range tr.hosts {
		for _, gu := range received.report {
			known[gu.group()] = true
		}
	}
	var groups []Group
	for group := range known {
		if gt := tr.total(now, group); gt.sum().isScarce() {
			groups = append(groups, group)
		}
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.Service, b.Service))
	})
	return groups[:min(len(groups), maxGroups)]
}

// groupUsage returns the usage of a group with at most a number of organisations by name.
func groupUsage(group Group, gt groupTotal, named int) GroupUsage {
	ids := make([]mp.OrganisationID, 0, len(gt.named))
	for id := range gt.named {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b mp.OrganisationID) int {
		return cmp.Or(cmp.Compare(gt.named[b].Offered, gt.named[a].Offered), cmp.Compare(a, b))
	})
	gu := GroupUsage{Service: group.Service, Level: group.Level}
	left := gt.rest
	for ix, id := range ids {
		us := gt.named[id]
		if ix >= named {
			left.Usage, left.organisations = left.plus(us), left.organisations+1
			continue
		}
		offered := bounded(us.Offered)
		gu.Named = append(gu.Named, NamedUsage{Organisation: id, Offered: offered, Sent: min(offered, bounded(us.Sent))})
	}
	offered := bounded(left.Offered)
	gu.Rest = RestUsage{Organisations: left.organisations, Offered: offered, Sent: min(offered, bounded(left.Sent))}
	return gu
}

// bounded returns a usage as reports have it.
func bounded(tokens float64) int64 { return int64(min(tokens, maxPlausible)) }
