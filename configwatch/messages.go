package configwatch

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
)

// configPublished delivers a published configuration set. A set that is older than
// the pending one is dropped.
type configPublished struct {
	configSet *blackboard.PendingConfig
}

// Apply implements blackboard.Message.
func (of configPublished) Apply(bo *blackboard.Board) {
	if bo.PendingConfig == nil || of.configSet.Revision > bo.PendingConfig.Revision {
		bo.PendingConfig = of.configSet
	}
}

// platformAnswered records when the platform last answered.
type platformAnswered struct {
	at time.Time
}

// Apply implements blackboard.Message.
func (pa platformAnswered) Apply(bo *blackboard.Board) {
	bo.StoreRespondedAt = pa.at
}

// machinesListed delivers the list of machines.
type machinesListed struct {
	machineList mp.MachineList
}

// Apply implements blackboard.Message.
func (ml machinesListed) Apply(bo *blackboard.Board) {
	bo.Machines = ml.machineList
}
