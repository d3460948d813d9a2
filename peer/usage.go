package peer

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/fairness"
)

// usage returns the usage to be sent, or nil if there is none or the last one was asked
// for less than a report interval ago, at sentAt. Only the sending goroutine calls it.
func (lb *LoadBroadcaster) usage(sentAt *time.Time, ofDataCentre bool) fairness.Report {
	now := lb.clock.Now()
	if now.Sub(*sentAt) < fairness.ReportInterval {
		return nil
	}
	*sentAt = now
	return lb.delegate.Usage(ofDataCentre)
}

// boundedUsage returns the first groups of a report that are at most maxUsageBytes long
// together. Names with characters that JSON escapes can make it longer than that.
func boundedUsage(usage fairness.Report) (fairness.Report, error) {
	total := 0
	for ix, gu := range usage {
		data, err := json.Marshal(gu)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if total += len(data) + len(","); total > maxUsageBytes {
			return usage[:ix], nil
		}
	}
	return usage, nil
}
