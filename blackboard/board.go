// Package blackboard holds the control state of a host for the router's own API.
// Controllers, which package control runs, read and write the board on one goroutine;
// request handlers read immutable snapshots of it.
package blackboard

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// PendingConfig is a published configuration set that has not been validated yet.
type PendingConfig struct {
	Revision mp.Revision
	Values   map[mp.ConfigKey]mp.PublishedValue
}

// RefusedConfig describes a configuration set that was not applied.
type RefusedConfig struct {
	Revision mp.Revision   `json:"revision"`
	Faults   config.Faults `json:"faults"`
	At       time.Time     `json:"at"`
}

// Board is the control state of a host. Only the control goroutine accesses it.
type Board struct {
	// Now is the start time of the current pass over the controllers.
	Now time.Time
	// Host is the identifier of this entry host.
	Host mp.HostID
	// DataCentre is the data centre of this host.
	DataCentre mp.DataCentreID

	// PendingConfig is the newest set that has not been validated yet; nil for none.
	PendingConfig *PendingConfig
	// Config is the current set; nil before the first.
	Config *config.Set
	// ConfigAppliedAt is when the current set was applied.
	ConfigAppliedAt time.Time
	// RefusedConfig is the last set that was not applied; nil after a set was applied.
	RefusedConfig *RefusedConfig
	// StoreRespondedAt is when a call of this host to the platform's store last
	// succeeded; zero before the first.
	StoreRespondedAt time.Time

	// Machines is the platform's list of live and draining machines.
	Machines mp.MachineList
	// LiveHosts is the number of live entry hosts in the data centre.
	LiveHosts int
	// LiveRegionHosts is the number of live entry hosts in the region of the data centre,
	// which share its engines.
	LiveRegionHosts int
	// DrainingServers holds the engines and replicas that get no new requests, by
	// name.
	DrainingServers map[string]bool

	// Stopping reports that this host is about to refuse new requests.
	Stopping bool
	// PauseCount is how often the control goroutine was suspended for too long.
	PauseCount int
	// LastPauseAt is when the last such pause was detected.
	LastPauseAt time.Time

	// SnapshotStale reports that the board has changed since the last snapshot.
	SnapshotStale bool
}

// New returns the initial board of a host.
func New(host mp.HostID, dc mp.DataCentreID) *Board {
	return &Board{Host: host, DataCentre: dc, LiveHosts: 1, LiveRegionHosts: 1, DrainingServers: map[string]bool{}}
}

// Message is a change of the board. Messages reach the control goroutine through a
// bounded queue.
type Message interface {
	// Apply makes the change. It runs on the control goroutine.
	Apply(bo *Board)
}
