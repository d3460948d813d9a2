package configwatch

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
)

// offered brings a published set.
type offered struct {
	offer *blackboard.Offer
}

// Apply implements blackboard.Message.
func (of offered) Apply(bo *blackboard.Board) {
	if bo.Offered == nil || of.offer.Revision > bo.Offered.Revision {
		bo.Offered = of.offer
	}
}

// platformAnswered says that the platform is there.
type platformAnswered struct {
	at time.Time
}

// Apply implements blackboard.Message.
func (pa platformAnswered) Apply(bo *blackboard.Board) {
	bo.PlatformAt = pa.at
}

// machinesListed brings the list of machines.
type machinesListed struct {
	list mp.HostList
}

// Apply implements blackboard.Message.
func (ml machinesListed) Apply(bo *blackboard.Board) {
	bo.Machines = ml.list
}
