package schedule

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// EnginesOf returns the engines of the fleet with their distances from a host in
// the given data centre. An engine is draining if it is named in draining or if the
// fleet marks it so.
func EnginesOf(fl *config.Fleet, dc mp.DataCentreID, draining map[string]bool) []Engine {
	region := fl.RegionOf(dc)
	list := make([]Engine, 0, len(fl.Engines))
	for ix := range fl.Engines {
		en := &fl.Engines[ix]
		list = append(list, Engine{
			ID:       en.Name,
			Models:   en.Models,
			Slots:    en.Slots,
			Distance: distance(dc, en.DataCentre, region, fl.RegionOf(en.DataCentre)),
			Draining: draining[string(en.Name)] || en.State == config.StateDraining,
		})
	}
	return list
}

func distance(from, to mp.DataCentreID, fromRegion, toRegion mp.RegionID) Distance {
	switch {
	case from == to:
		return SameDataCentre
	case fromRegion == toRegion:
		return SameRegion
	default:
		return OtherRegion
	}
}
