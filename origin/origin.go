// Package origin remembers at which software version of their service streams began, so that a
// host that a caller asks to go on with a stream sends it to servers of that version only. It
// does no I/O and reads no clock.
package origin

import (
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// recordLifetime is how long a record is kept: longer than callers usually wait.
	recordLifetime = 2 * time.Minute
	// maxRecords bounds the records of a table. The oldest are dropped.
	maxRecords = 1 << 14
	// maxStreamBytes is the length of the longest identifier of a stream that is recorded.
	maxStreamBytes = 64
	// maxReportStreams is the number of streams above which a report of another host is refused.
	maxReportStreams = 1 << 10
)

// Report tells other hosts which streams began at which software versions.
type Report map[mp.ServiceName]map[mp.SoftwareVersion][]mp.RequestID

// Check returns a not-valid error if a report names no service, no version or an identifier that
// no host reports, or too many streams.
func (re Report) Check() error {
	count := 0
	for service, versions := range re {
		for software, streams := range versions {
			if service == "" || software == "" {
				return errors.NotValidf("report of streams of service %q at software %q", service, software)
			}
			for _, stream := range streams {
				if !isRecordable(stream) {
					return errors.NotValidf("report of stream %.100q", stream)
				}
			}
			count += len(streams)
		}
	}
	if count > maxReportStreams {
		return errors.NotValidf("report of %d streams", count)
	}
	return nil
}

// Add adds a stream. The report must not be nil.
func (re Report) Add(stream mp.RequestID, service mp.ServiceName, software mp.SoftwareVersion) {
	if re[service] == nil {
		re[service] = map[mp.SoftwareVersion][]mp.RequestID{}
	}
	re[service][software] = append(re[service][software], stream)
}

// Split divides a report into parts by a function of the stream.
func (re Report) Split(part func(mp.RequestID) uint64) map[uint64]Report {
	parts := map[uint64]Report{}
	for service, versions := range re {
		for software, streams := range versions {
			for _, stream := range streams {
				number := part(stream)
				if parts[number] == nil {
					parts[number] = Report{}
				}
				parts[number].Add(stream, service, software)
			}
		}
	}
	return parts
}

// isRecordable reports whether an identifier is short and the same in JSON.
func isRecordable(stream mp.RequestID) bool {
	if stream == "" || len(stream) > maxStreamBytes {
		return false
	}
	for _, char := range []byte(stream) {
		switch {
		case char <= ' ' || char >= 0x7f, char == '"', char == '\\', char == '<', char == '>', char == '&':
			return false
		}
	}
	return true
}

// record is where a stream began.
type record struct {
	service  mp.ServiceName
	software mp.SoftwareVersion
	at       time.Time
}

// Table holds the records of streams that this host began or has heard of. It is not safe for
// concurrent use.
type Table struct {
	records map[mp.RequestID]record
	// order holds the streams of the records, the oldest first.
	order []mp.RequestID
	// untold holds the streams of which other hosts have not been told, by service, the oldest
	// first.
	untold map[mp.ServiceName][]mp.RequestID
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[mp.RequestID]record{}, untold: map[mp.ServiceName][]mp.RequestID{}}
}

// Begin records that this host has relayed the first event of a stream. Streams whose
// identifier is too long or has odd characters aren't recorded.
func (ta *Table) Begin(now time.Time, stream mp.RequestID, service mp.ServiceName, software mp.SoftwareVersion) {
	if isRecordable(stream) && software != "" && ta.add(now, stream, service, software) {
		ta.untold[service] = append(ta.untold[service], stream)
	}
}

// Merge adds the records of another host. The report must be valid.
func (ta *Table) Merge(now time.Time, re Report) {
	for service, versions := range re {
		for software, streams := range versions {
			for _, stream := range streams {
				ta.add(now, stream, service, software)
			}
		}
	}
}

// add adds a record and reports whether it says something new. Of two requests with the same
// identifier the later one counts.
func (ta *Table) add(now time.Time, stream mp.RequestID, service mp.ServiceName, software mp.SoftwareVersion) bool {
	ta.expire(now)
	known, ok := ta.records[stream]
	if !ok {
		ta.order = append(ta.order, stream)
		known.at = now
	}
	re := record{service: service, software: software, at: known.at}
	ta.records[stream] = re
	return re != known
}

// expire drops old records, and the oldest if there are too many.
func (ta *Table) expire(now time.Time) {
	for len(ta.order) > 0 {
		oldest := ta.order[0]
		if len(ta.order) < maxRecords && now.Sub(ta.records[oldest].at) < recordLifetime {
			return
		}
		service := ta.records[oldest].service
		delete(ta.records, oldest)
		ta.order = ta.order[1:]
		if untold := ta.untold[service]; len(untold) > 0 && untold[0] == oldest {
			ta.untold[service] = untold[1:]
		}
	}
}

// Software returns the software version at which a stream of a service began; false if there is
// no record of it.
func (ta *Table) Software(now time.Time, stream mp.RequestID, service mp.ServiceName) (mp.SoftwareVersion, bool) {
	ta.expire(now)
	re, ok := ta.records[stream]
	if !ok || re.service != service {
		return "", false
	}
	return re.software, true
}

// streamOverheadBytes is what an identifier takes in a report besides its characters.
const streamOverheadBytes = len(`"",`)

// Report returns streams that this host began and of which it has not told others, of the
// services for which needs holds, and takes them as told. Their identifiers are at most
// maxBytes long together. It returns nil if there are none.
func (ta *Table) Report(now time.Time, needs func(mp.ServiceName) bool, maxBytes int) Report {
	ta.expire(now)
	report := Report{}
	for service := range ta.untold {
		if needs(service) {
			maxBytes -= ta.reportService(report, service, maxBytes)
		}
	}
	if len(report) == 0 {
		return nil
	}
	return report
}

// reportService adds streams of a service to a report, the newest first, because callers resume
// these, and returns the length of their identifiers.
func (ta *Table) reportService(report Report, service mp.ServiceName, maxBytes int) int {
	total := 0
	untold := ta.untold[service]
	for len(untold) > 0 {
		last := len(untold) - 1
		stream := untold[last]
		size := len(stream) + streamOverheadBytes
		if total+size > maxBytes {
			break
		}
		untold = untold[:last]
		if re, ok := ta.records[stream]; ok && re.service == service {
			report.Add(stream, service, re.software)
			total += size
		}
	}
	ta.untold[service] = untold
	if len(untold) == 0 {
		delete(ta.untold, service)
	}
	return total
}
