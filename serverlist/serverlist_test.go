package serverlist_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/serverlist"
)

func boardWith(fleet config.Fleet, machines mp.MachineList) *blackboard.Board {
	bo := blackboard.New("h1", "groningen-1")
	bo.Config = &config.Set{Fleet: fleet}
	bo.Machines = machines
	return bo
}

// TestEnginesAreSharedWithHostsOfTheWholeRegion guards against waits that are estimated
// too short because the hosts of other data centres of the region don't count.
func TestEnginesAreSharedWithHostsOfTheWholeRegion(t *testing.T) {
	bo := boardWith(
		config.Fleet{Regions: []config.Region{
			{Name: "groningen", DataCentres: []mp.DataCentreID{"groningen-1", "groningen-2"}},
			{Name: "utrecht", DataCentres: []mp.DataCentreID{"utrecht-1"}},
		}},
		mp.MachineList{Hosts: []mp.ListedHost{
			{Name: "h1", DataCentre: "groningen-1", State: mp.MachineLive},
			{Name: "h2", DataCentre: "groningen-2", State: mp.MachineLive},
			{Name: "h3", DataCentre: "groningen-2", State: mp.MachineLive},
			{Name: "h4", DataCentre: "groningen-2", State: mp.MachineDraining},
			{Name: "h5", DataCentre: "utrecht-1", State: mp.MachineLive},
			{Name: "h6", DataCentre: "unknown", State: mp.MachineLive},
		}},
	)
	require.NoError(t, serverlist.New().Run(bo))
	require.Equal(t, 1, bo.LiveHosts)
	require.Equal(t, 3, bo.LiveRegionHosts)
	require.True(t, bo.SnapshotStale)
}
