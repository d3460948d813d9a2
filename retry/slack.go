package retry

const (
	// unknownHosts is the assumed number of hosts until a host knows the others of its
	// data centre.
	unknownHosts = 1000
	// minHosts is the lowest assumed number of hosts.
	minHosts = 16
	// hostsMargin makes up for data centres that have more hosts than this one's.
	hostsMargin = 2
)

// SharedSlack divides a slack that is set for all hosts together. Hosts don't tell each
// other their retries; each takes a part, by the number of hosts that it knows. It is not
// safe for concurrent use.
type SharedSlack struct {
	slack       float64
	dataCentres int
	hosts       int // the most that were live at a time, estimated
}

// NewSharedSlack returns the slack of hosts in a number of data centres.
func NewSharedSlack(slack float64, dataCentres int) *SharedSlack {
	return &SharedSlack{slack: slack, dataCentres: max(1, dataCentres), hosts: unknownHosts}
}

// Observe records the number of live hosts of this host's data centre. The first call
// replaces the assumption for an unknown number. After it the highest number counts, so
// that hosts that are cut off from each other don't each take the part of all.
func (ss *SharedSlack) Observe(localHosts int) {
	estimate := max(minHosts, hostsMargin*localHosts*ss.dataCentres)
	if ss.hosts == unknownHosts || estimate > ss.hosts {
		ss.hosts = estimate
	}
}

// Part returns the part of this host.
func (ss *SharedSlack) Part() float64 { return ss.slack / float64(ss.hosts) }
