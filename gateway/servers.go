package gateway

import (
	"maps"
	"slices"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/placement"
)

// updateServers passes the ready backend servers to the placer.
func (ga *Gateway) updateServers(snapshot *follow.Snapshot) {
	ga.observeSoftware(snapshot)
	if snapshot.Table == nil {
		return
	}
	workloads := ga.workloadsOf(snapshot.Table).byService
	ga.limiters.configure(snapshot.Table.Limits)
	ga.logEvacuated(snapshot)
	servers := make([]placement.Server, 0, len(snapshot.Servers))
	for _, se := range snapshot.Servers {
		if se.State != directory.Ready {
			continue
		}
		service, ok := snapshot.Table.Service(se.Service)
		servers = append(servers, placement.Server{
			ID:                    se.ID,
			Service:               se.Service,
			Address:               se.Address,
			StartedAtMillis:       se.StartedAtMillis,
			Software:              se.Software,
			Slots:                 se.Slots,
			DataCentre:            se.DataCentre,
			Region:                ga.settings.Regions[se.DataCentre],
			Evacuated:             slices.Contains(snapshot.Evacuated, se.DataCentre),
			Distance:              ga.distance(se.DataCentre),
			IsEngine:              ok && service.Engine != nil,
			ServesJitterSensitive: workloads[se.Service].HasJitterSensitive(),
			ColdRequestRate:       coldRequestRate(service),
			ColdTime:              coldTime(service),
		})
	}
	ga.setServers(snapshot, servers)
}

// setServers passes the ready servers to the placer, unless only cold times have changed, and
// the cold times of all servers to the tracker.
func (ga *Gateway) setServers(snapshot *follow.Snapshot, servers []placement.Server) {
	entries := coldEntries(snapshot.Servers)
	now := ga.clock.Now()
	ga.placerMu.Lock()
	changes := ga.cold.SetEntries(now, entries)
	ga.usesColdStart = slices.ContainsFunc(servers, mayBeCold)
	changed := !slices.Equal(servers, ga.placedServers)
	if changed {
		ga.placer.SetServers(servers)
	}
	ga.placerMu.Unlock()
	if changed {
		ga.partition.setServers(servers)
	}
	ga.placedServers = servers
	ga.logCold(now, changes)
}

// logEvacuated logs evacuated data centres that the settings don't know, each time that the
// evacuated ones change, and services whose servers are all in evacuated ones, when that
// begins: their requests are refused.
func (ga *Gateway) logEvacuated(snapshot *follow.Snapshot) {
	if !slices.Equal(snapshot.Evacuated, ga.loggedEvacuated) {
		ga.loggedEvacuated = snapshot.Evacuated
		for _, dc := range snapshot.Evacuated {
			if _, ok := ga.settings.Regions[dc]; !ok {
				ga.logger.Warn().Str("event", "evacuation_unknown").Str("data_centre", string(dc)).Msg("evacuated data centre is not in the settings")
			}
		}
	}
	before := ga.evacuatedServices
	ga.evacuatedServices = evacuatedServices(snapshot)
	for service := range ga.evacuatedServices {
		if !before[service] {
			ga.logger.Warn().Str("event", "service_evacuated").Str("service", string(service)).Int("data_centres", len(snapshot.Evacuated)).
				Msg("all servers of a service are in evacuated data centres; its requests are refused")
		}
	}
}

// evacuatedServices returns the services whose servers are all in evacuated data centres.
func evacuatedServices(snapshot *follow.Snapshot) map[mp.ServiceName]bool {
	if len(snapshot.Evacuated) == 0 {
		return nil
	}
	services := map[mp.ServiceName]bool{}
	for _, se := range snapshot.Servers {
		evacuated, seen := services[se.Service]
		services[se.Service] = (evacuated || !seen) && slices.Contains(snapshot.Evacuated, se.DataCentre)
	}
	maps.DeleteFunc(services, func(_ mp.ServiceName, evacuated bool) bool { return !evacuated })
	return services
}

// peerLoad returns the load that other hosts have outstanding at a backend server.
// The caller must hold placerMu.
func (ga *Gateway) peerLoad(id mp.ServerID) placement.Load {
	return placement.Load(ga.loadTable.Total(id))
}

// queuedTokens returns the prompt tokens that this host has queued for prefill at all
// engines, by level.
func (ga *Gateway) queuedTokens() [3]mp.Tokens {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	var tokens [3]mp.Tokens
	for _, load := range ga.placer.Loads() {
		tokens[0] += load.PrefillTokens - load.Level1Tokens - load.Level2Tokens
		tokens[1] += load.Level1Tokens
		tokens[2] += load.Level2Tokens
	}
	return tokens
}

// distance returns the network distance from this host to a data centre.
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
