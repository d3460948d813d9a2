package configwatch

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
)

// offered brings a published set.
type offered struct {
	offer *blackboard.PendingConfig
}

// Apply implements blackboard.Message.
func (of offered) Apply(bo *blackboard.Board) {
	if bo.PendingConfig == nil || of.offer.Revision > bo.PendingConfig.Revision {
		bo.PendingConfig = of.offer
	}
}

// platformAnswered says that the platform is there.
type platformAnswered struct {
	at time.Time
}

// Apply implements blackboard.Message.
func (pa platformAnswered) Apply(bo *blackboard.Board) {
	bo.PlatformAnsweredAt = pa.at
}

// machinesListed brings the list of machines.
type machinesListed struct {
	list mp.MachineList
}

// Apply implements blackboard.Message.
func (ml machinesListed) Apply(bo *blackboard.Board) {
	bo.Machines = ml.list
}
