package follow

import (
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/evacuation"
	"github.com/mangopaddle/mangopaddle/platform"
)

// replaceEvacuations applies the evacuations in a full list of the operator's keys.
func (fo *Follower) replaceEvacuations(now time.Time, page platform.Page) {
	list := evacuation.List{Position: page.Position, DataCentres: platform.DecodeEvacuations(page.Items)}
	fo.submit(func(st *state) bool {
		return st.updateEvacuations(SourceStore, func() bool { return st.evacuations.Replace(now, list) })
	})
}

// applyEvacuationChanges applies the evacuations that a watch reports.
func (fo *Follower) applyEvacuationChanges(page platform.Page) {
	changes := platform.DecodeEvacuationChanges(page.Items)
	if len(changes) == 0 {
		return
	}
	fo.submit(func(st *state) bool {
		return st.updateEvacuations(SourceStore, func() bool { return st.evacuations.Apply(page.Position, changes) })
	})
}

// MergeEvacuations applies the list of evacuated data centres of another host. An older one
// has no effect.
func (fo *Follower) MergeEvacuations(list evacuation.List) {
	fo.submit(func(st *state) bool {
		return st.updateEvacuations(SourcePeer, func() bool { return st.evacuations.Merge(fo.clock.Now(), list) })
	})
}

// expireEvacuations ends retained evacuations and reports whether there were any.
func (st *state) expireEvacuations(now time.Time) bool {
	return st.updateEvacuations(SourceExpiry, func() bool { return st.evacuations.Expire(now) })
}

// updateEvacuations updates the set, logs each evacuation that begins or ends, and reports
// whether there were any.
func (st *state) updateEvacuations(source Source, update func() bool) bool {
	before := st.evacuations.DataCentres()
	if !update() {
		return false
	}
	after := st.evacuations.DataCentres()
	for _, dc := range after {
		if !slices.Contains(before, dc) {
			st.logEvacuation(dc, "evacuation_begun", source)
		}
	}
	for _, dc := range before {
		if !slices.Contains(after, dc) {
			st.logEvacuation(dc, "evacuation_ended", source)
		}
	}
	return true
}

func (st *state) logEvacuation(dc mp.DataCentreID, event string, source Source) {
	position := st.evacuations.Shared().Position
	st.logger.Info().Str("event", event).Str("data_centre", string(dc)).Uint64("era", uint64(position.Era)).
		Uint64("revision", uint64(position.Revision)).Str("source", string(source)).Msg("evacuation of a data centre")
}
