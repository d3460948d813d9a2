// Package blackboard holds the control state of a host, which controllers read
// and write on one goroutine, and the immutable snapshot of it that requests
// read.
package blackboard

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// PendingConfig is a published configuration set that was not judged yet.
type PendingConfig struct {
	Revision mp.Revision
	Values   map[mp.ConfigKey]mp.PublishedValue
}

// RefusedConfig is the last configuration set that was not applied.
type RefusedConfig struct {
	Revision mp.Revision   `json:"revision"`
	Faults   config.Faults `json:"faults"`
	At       time.Time     `json:"at"`
}

// Board is the control state. Only the control goroutine touches it.
type Board struct {
	// Now is the time of the current pass over the controllers.
	Now time.Time
	// Host names this entry host.
	Host mp.HostID
	// DataCentre is where this host runs.
	DataCentre mp.DataCentreID

	// PendingConfig is the newest published set that was not judged yet.
	PendingConfig *PendingConfig
	// Config is the set in force; nil before the first.
	Config *config.Set
	// ConfigAppliedAt is when the set came into force.
	ConfigAppliedAt time.Time
	// RefusedConfig is the last set that was not applied.
	RefusedConfig *RefusedConfig
	// PlatformAnsweredAt is when the platform last answered.
	PlatformAnsweredAt time.Time

	// Machines is the list of live and leaving machines.
	Machines mp.MachineList
	// LiveHosts is how many entry hosts of the data centre serve.
	LiveHosts int
	// LeavingServers names the engines and replicas that get no new work.
	LeavingServers map[string]bool

	// Stopping says that this host takes no new request soon.
	Stopping bool
	// PauseCount counts how often the control goroutine was away for too long.
	PauseCount int
	// LastPauseAt is when the last pause was noticed.
	LastPauseAt time.Time

	// SnapshotStale says that the snapshot is out of date.
	SnapshotStale bool
}

// New returns the board of a host.
func New(host mp.HostID, dc mp.DataCentreID) *Board {
	return &Board{Host: host, DataCentre: dc, LiveHosts: 1, LeavingServers: map[string]bool{}}
}

// Message is an event that changes the board. Messages reach the control
// goroutine through a bounded queue.
type Message interface {
	// Apply changes the board, on the control goroutine.
	Apply(bo *Board)
}
