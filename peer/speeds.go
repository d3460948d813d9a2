package peer

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/speed"
)

const (
	// maxSpeedReports is the maximum number of services on whose engines' speed an update
	// reports.
	maxSpeedReports = 16
	// maxSpeedBytes is the maximum size of these reports. With the maximum of suspects and
	// usage, an eighth of the datagram is left for the digest and for loads.
	maxSpeedBytes = maxDatagramBytes / 8
)

// speedTurn selects the services on which the next update of a kind reports. Those that
// don't fit take turns.
type speedTurn struct {
	last mp.ServiceName // on which the update before reported
}

// next returns at most maxSpeedReports of the reports and at most maxSpeedBytes, beginning
// with the service after the last one of the update before. A report that is too large on
// its own is left out.
func (st *speedTurn) next(reports map[mp.ServiceName]speed.Report) (map[mp.ServiceName]speed.Report, error) {
	names := slices.Sorted(maps.Keys(reports))
	first, found := slices.BinarySearch(names, st.last)
	if found {
		first++
	}
	selected := make(map[mp.ServiceName]speed.Report, min(len(names), maxSpeedReports))
	total := 0
	for ix := range names {
		name := names[(first+ix)%len(names)]
		data, err := json.Marshal(map[mp.ServiceName]speed.Report{name: reports[name]})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(data) > maxSpeedBytes {
			continue
		}
		if len(selected) == maxSpeedReports || total+len(data) > maxSpeedBytes {
			break
		}
		total += len(data)
		selected[name], st.last = reports[name], name
	}
	return selected, nil
}

// speeds returns the reports on the speed of engines to be sent. Only the sending goroutine
// calls it.
func (lb *LoadBroadcaster) speeds(turn *speedTurn, aggregate bool) map[mp.ServiceName]speed.Report {
	reports, err := turn.next(lb.delegate.Speeds(aggregate))
	if err != nil {
		lb.logger.Error().Str("event", "load_update_failed").Err(err).Msg("speed of engines not sent")
	}
	return reports
}

// checkSpeeds returns an error if the update has reports on the speed of engines that
// can't be.
func (lu LoadUpdate) checkSpeeds() error {
	if len(lu.Speeds) > maxSpeedReports {
		return errors.NotValidf("load update of host %q with the speed of %d services", lu.Host, len(lu.Speeds))
	}
	for name, report := range lu.Speeds {
		if err := report.Check(); err != nil {
			return errors.Annotatef(err, "load update of host %q, speed of service %q", lu.Host, name)
		}
	}
	return nil
}
