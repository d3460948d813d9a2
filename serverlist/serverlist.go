// Package serverlist is the controller that determines which engines and replicas are
// draining, and how many hosts of the data centre are live. Servers are draining if the
// list of machines marks them so, engines also if the configuration does. Replicas that
// the configuration marks are left out when the snapshot is built. Package directory
// holds the server list of the gateway.
package serverlist

import (
	"maps"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
)

// Controller updates the board's draining servers and number of live hosts.
type Controller struct{}

// New returns the controller.
func New() *Controller {
	return &Controller{}
}

// Name implements mangopaddle.Controller.
func (*Controller) Name() string { return "serverlist" }

// Defaults implements mangopaddle.Controller.
func (*Controller) Defaults() {}

// Run updates the draining servers and the number of live hosts, and marks the
// snapshot as stale if they changed. It never fails.
func (*Controller) Run(bo *blackboard.Board) error {
	draining := drainingServers(bo)
	if !maps.Equal(draining, bo.DrainingServers) {
		bo.DrainingServers = draining
		bo.SnapshotStale = true
	}
	hosts, regionHosts := liveHosts(bo)
	if hosts != bo.LiveHosts || regionHosts != bo.LiveRegionHosts {
		bo.LiveHosts, bo.LiveRegionHosts = hosts, regionHosts
		bo.SnapshotStale = true
	}
	return nil
}

// drainingServers returns the draining servers by name, from the list of machines and
// the engines of the configuration.
func drainingServers(bo *blackboard.Board) map[string]bool {
	draining := map[string]bool{}
	for _, se := range bo.Machines.Servers {
		if se.State == mp.MachineDraining {
			draining[se.Name] = true
		}
	}
	if bo.Config == nil {
		return draining
	}
	for _, en := range bo.Config.Fleet.Engines {
		if en.State == config.StateDraining {
			draining[string(en.Name)] = true
		}
	}
	return draining
}

// liveHosts returns the number of live hosts in the data centre and in its region, at
// least one: this host. Without a configuration only the data centre is known.
func liveHosts(bo *blackboard.Board) (dataCentre, region int) {
	for _, ho := range bo.Machines.Hosts {
		if ho.State != mp.MachineLive {
			continue
		}
		switch {
		case ho.DataCentre == bo.DataCentre:
			dataCentre++
			region++
		case bo.Config != nil && isSameRegion(&bo.Config.Fleet, ho.DataCentre, bo.DataCentre):
			region++
		}
	}
	return max(1, dataCentre), max(1, region)
}

// isSameRegion reports whether two data centres are in one region of the fleet.
func isSameRegion(fl *config.Fleet, one, two mp.DataCentreID) bool {
	region := fl.RegionOf(one)
	return region != "" && region == fl.RegionOf(two)
}
