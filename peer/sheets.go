package peer

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

// Load is what hosts have outstanding at one backend server.
type Load struct {
	// PrefillTokens counts the prompt tokens of requests without a first event.
	PrefillTokens mp.Tokens `json:"unread,omitempty"`
	// Streams counts the steady streams in progress.
	Streams int `json:"streams,omitempty"`
}

func (lo Load) plus(other Load) Load {
	return Load{PrefillTokens: lo.PrefillTokens + other.PrefillTokens, Streams: lo.Streams + other.Streams}
}

func (lo Load) minus(other Load) Load {
	return Load{PrefillTokens: lo.PrefillTokens - other.PrefillTokens, Streams: lo.Streams - other.Streams}
}

// LoadUpdate is a host's loads at the backend servers and how new its knowledge is.
// It is sent as a datagram; a lost one is made up for by the next.
type LoadUpdate struct {
	From     Member    `json:"from"`
	Host     mp.HostID `json:"host"`
	Sequence uint64    `json:"sequence"`
	// Aggregate says that the loads are those of all hosts of the data centre.
	Aggregate bool `json:"whole,omitempty"`
	// Relay says that the sheet is to be passed on inside the data centre.
	Relay bool `json:"direct,omitempty"`
	Digest
	Loads map[mp.ServerID]Load `json:"loads,omitempty"`
}

const (
	// sheetLifetime is how long a sheet counts if no newer one comes.
	sheetLifetime = 800 * time.Millisecond
	// liveTime is how long a host is taken to be alive after its last sheet.
	liveTime = 1500 * time.Millisecond
)

// LoadTable holds the newest sheet of each host of the data centre, and of each
// other data centre as a whole. It does no I/O and is not safe for concurrent
// use.
type LoadTable struct {
	host    mp.HostID
	hosts   map[mp.HostID]datedSheet
	centres map[mp.DataCentreID]datedSheet
	total   map[mp.ServerID]Load
}

type datedSheet struct {
	sheet LoadUpdate
	at    time.Time
}

// NewLoadTable returns an empty holder for a host.
func NewLoadTable(host mp.HostID) *LoadTable {
	return &LoadTable{
		host:    host,
		hosts:   map[mp.HostID]datedSheet{},
		centres: map[mp.DataCentreID]datedSheet{},
		total:   map[mp.ServerID]Load{},
	}
}

// Add takes a sheet. One that is older than the newest of its sender is dropped.
func (sh *LoadTable) Add(now time.Time, sheet LoadUpdate) {
	if sheet.Aggregate {
		replaceSheet(sh, sh.centres, sheet.From.DataCentre, now, sheet)
		return
	}
	replaceSheet(sh, sh.hosts, sheet.Host, now, sheet)
}

func replaceSheet[K comparable](sh *LoadTable, group map[K]datedSheet, key K, now time.Time, sheet LoadUpdate) {
	known := group[key]
	if sheet.Sequence <= known.sheet.Sequence && now.Sub(known.at) < sheetLifetime {
		return // a sender that has started again counts from one
	}
	sh.subtract(known.sheet)
	group[key] = datedSheet{sheet: sheet, at: now}
	for id, load := range sheet.Loads {
		sh.total[id] = sh.total[id].plus(load)
	}
}

func (sh *LoadTable) subtract(sheet LoadUpdate) {
	for id, load := range sheet.Loads {
		left := sh.total[id].minus(load)
		if left == (Load{}) {
			delete(sh.total, id)
			continue
		}
		sh.total[id] = left
	}
}

// Expire drops the loads of senders that were not heard of lately.
func (sh *LoadTable) Expire(now time.Time) {
	expireSheets(sh, sh.hosts, now)
	expireSheets(sh, sh.centres, now)
}

func expireSheets[K comparable](sh *LoadTable, group map[K]datedSheet, now time.Time) {
	for key, dated := range group {
		if now.Sub(dated.at) >= sheetLifetime && dated.sheet.Loads != nil {
			sh.subtract(dated.sheet)
			dated.sheet.Loads = nil
			group[key] = dated
		}
		if now.Sub(dated.at) >= liveTime {
			delete(group, key)
		}
	}
}

// Total returns what the other hosts have outstanding at a server.
func (sh *LoadTable) Total(id mp.ServerID) Load { return sh.total[id] }

// Rank returns how many live hosts of the data centre come before this one. The
// first one reads the store for the others.
func (sh *LoadTable) Rank(now time.Time) int {
	rank := 0
	for host, dated := range sh.hosts {
		if host < sh.host && now.Sub(dated.at) < liveTime {
			rank++
		}
	}
	return rank
}

// DataCentreLoads returns the loads of the data centre: the given ones and those of its
// other hosts.
func (sh *LoadTable) DataCentreLoads(own map[mp.ServerID]Load) map[mp.ServerID]Load {
	sum := make(map[mp.ServerID]Load, len(own))
	for id, load := range own {
		sum[id] = load
	}
	for _, dated := range sh.hosts {
		for id, load := range dated.sheet.Loads {
			sum[id] = sum[id].plus(load)
		}
	}
	return sum
}
