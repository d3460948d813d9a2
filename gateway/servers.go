package gateway

import (
	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/routing"
)

// updateServers gives the placer the servers that take new requests.
func (ga *Gateway) updateServers(snapshot *follow.Snapshot) {
	if snapshot.Table == nil {
		return
	}
	steady := steadyServices(snapshot.Table)
	servers := make([]placement.Server, 0, len(snapshot.Servers))
	for _, se := range snapshot.Servers {
		if se.State != directory.Ready {
			continue
		}
		service, ok := snapshot.Table.Service(se.Service)
		servers = append(servers, placement.Server{
			ID:              se.ID,
			Service:         se.Service,
			Address:         se.Address,
			Slots:           se.Slots,
			Distance:        ga.distance(se.DataCentre),
			Engine:          ok && service.Engine != nil,
			JitterSensitive: steady[se.Service],
		})
	}
	ga.placerMu.Lock()
	ga.placer.SetServers(servers)
	ga.placerMu.Unlock()
}

// steadyServices returns the services that steady streams are sent to.
func steadyServices(table *routing.Table) map[mp.ServiceName]bool {
	steady := map[mp.ServiceName]bool{}
	for _, ro := range table.Routes() {
		for _, share := range ro.WeightedServices {
			if isSteady(table, ro, share.Service) {
				steady[share.Service] = true
			}
		}
	}
	return steady
}

// isSteady says whether the events of a route's answers must follow each other
// closely at a service.
func isSteady(table *routing.Table, ro *routing.Route, name mp.ServiceName) bool {
	service, ok := table.Service(name)
	return ok && service.Engine != nil && placement.IsJitterSensitive(ro.EventGapTarget, service.Engine.TokensPerEvent)
}

// othersLoad returns what other hosts have outstanding at a server. The caller
// holds the lock of the placer.
func (ga *Gateway) othersLoad(id mp.ServerID) placement.Load {
	return placement.Load(ga.sheets.Total(id))
}

func (ga *Gateway) distance(dc mp.DataCentreID) placement.Distance {
	switch {
	case dc == ga.settings.DataCentre:
		return placement.SameDataCentre
	case ga.settings.Regions[dc] == ga.settings.Region:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}
