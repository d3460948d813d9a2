package origin

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Server is what a History observes of a listed server.
type Server struct {
	Service  mp.ServiceName
	Software mp.SoftwareVersion
}

// History remembers which software versions the servers of each service had lately. It is not
// safe for concurrent use.
type History struct {
	// since is the time from which on the observations are complete; zero before the first.
	since time.Time
	// listed are the versions of the last list, and leftAt is when others were last listed.
	listed map[Server]bool
	leftAt map[Server]time.Time
}

// NewHistory returns a history without observations.
func NewHistory() *History {
	return &History{listed: map[Server]bool{}, leftAt: map[Server]time.Time{}}
}

// Observe takes the list of servers each time that it changes.
func (hi *History) Observe(now time.Time, servers []Server) {
	if hi.since.IsZero() {
		hi.since = now
	}
	listed := make(map[Server]bool, len(servers))
	for _, se := range servers {
		listed[se] = true
		delete(hi.leftAt, se)
	}
	for se := range hi.listed {
		if !listed[se] {
			hi.leftAt[se] = now
		}
	}
	for se, at := range hi.leftAt {
		if now.Sub(at) > recordLifetime {
			delete(hi.leftAt, se)
		}
	}
	hi.listed = listed
}

// Restart records that the lists before a time may lack servers that have come and gone.
func (hi *History) Restart(at time.Time) {
	if !hi.since.IsZero() && hi.since.Before(at) {
		hi.since = at
	}
}

// Sole returns the only software version that servers of a service had in the time before now;
// false if there were several, if it is unknown, or if the observations began later.
func (hi *History) Sole(now time.Time, service mp.ServiceName, period time.Duration) (mp.SoftwareVersion, bool) {
	software, ok := hi.SoleObserved(now, service, period)
	if !ok || software == "" || hi.Unobserved(now, period) > 0 {
		return "", false
	}
	return software, true
}

// SoleObserved is Sole for the part of the time in which there were observations. The version
// may be unknown.
func (hi *History) SoleObserved(now time.Time, service mp.ServiceName, period time.Duration) (mp.SoftwareVersion, bool) {
	versions := hi.versions(now, service, period)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// Unobserved returns how long from now on a time before now will reach back beyond the time from
// which on the observations are complete; zero if it doesn't.
func (hi *History) Unobserved(now time.Time, period time.Duration) time.Duration {
	if hi.since.IsZero() {
		return period
	}
	return max(0, period-now.Sub(hi.since))
}

// versions returns the software versions that servers of a service had in the time before now.
func (hi *History) versions(now time.Time, service mp.ServiceName, period time.Duration) []mp.SoftwareVersion {
	var versions []mp.SoftwareVersion
	for se := range hi.listed {
		if se.Service == service {
			versions = append(versions, se.Software)
		}
	}
	for se, at := range hi.leftAt {
		if se.Service == service && now.Sub(at) <= period {
			versions = append(versions, se.Software)
		}
	}
	return versions
}
