package configwatch

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
)

// configPublished delivers a published configuration set. A set that is not newer than
// the pending one is dropped.
type configPublished struct {
	configSet *blackboard.PendingConfig
}

// Apply implements blackboard.Message.
func (cp configPublished) Apply(bo *blackboard.Board) {
	if bo.PendingConfig == nil || bo.PendingConfig.Position.Before(cp.configSet.Position) {
		bo.PendingConfig = cp.configSet
	}
}

// storeResponded records when a call to the platform's store last succeeded.
type storeResponded struct {
	at time.Time
}

// Apply implements blackboard.Message.
func (sr storeResponded) Apply(bo *blackboard.Board) {
	bo.StoreRespondedAt = sr.at
}

// machinesListed delivers the list of machines.
type machinesListed struct {
	machineList mp.MachineList
}

// Apply implements blackboard.Message.
func (ml machinesListed) Apply(bo *blackboard.Board) {
	bo.Machines = ml.machineList
}
