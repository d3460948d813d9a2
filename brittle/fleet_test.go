package brittle_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/brittle"
)

var fleetSeeds = flag.Int("fleet-seeds", 30, "number of simulated fleets")

const (
	tick           = 10 * time.Millisecond
	updateInterval = 100 * time.Millisecond
	contactTime    = 4 * time.Second
	roomBefore     = 8
	overloadRatio  = 1.6
	maxQueue       = 10
	// noticeDelay is how long a server works on for a host that is gone.
	noticeDelay = 300 * time.Millisecond
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// run is a request at a server.
type run struct {
	host   *fleetHost
	work   time.Duration
	doneAt time.Time // zero while it waits
	goneAt time.Time // when the server drops it; zero for never
}

// fleetServer is a simulated brittle server.
type fleetServer struct {
	id       int
	starts   int64
	upAt     time.Time
	slots    int
	runs     []*run
	rejected []time.Time // in the last second
	calm     []bool      // whether each came from a host in touch
	falls    int         // by rejections of hosts in touch
}

func (se *fleetServer) description() brittle.Server {
	return brittle.Server{ID: mp.ServerID(fmt.Sprint("e-", se.id)), Service: "s", StartedAtMillis: se.starts, Slots: se.slots}
}

// fleetHost is a simulated host, which has a number of requests outstanding at each lifetime of a
// server.
type fleetHost struct {
	name        brittle.Host
	dataCentre  mp.DataCentreID
	side        int // of a partition
	up          bool
	startedAt   time.Time
	pausedUntil time.Time
	tracker     *brittle.Tracker
	outstanding map[brittle.Server]int
	queue       int
}

type fleet struct {
	random  *rand.Rand
	now     time.Time
	hosts   []*fleetHost
	servers []*fleetServer
	// brittle reports that the servers say so, and falling that they do fall over.
	brittle, falling bool
	room, limit      int
	partitioned      bool
	lost             int // percentage of updates that are lost
	delayed          []func()
	work             time.Duration
	sent, done       int
	rejections       int
}

func (fl *fleet) start(ho *fleetHost) {
	ho.up, ho.startedAt, ho.queue = true, fl.now, 0
	ho.outstanding = map[brittle.Server]int{}
	ho.tracker = brittle.New(ho.name, ho.dataCentre, fl.now, brittle.WithOtherHosts())
	ho.tracker.SetUpdateInterval(updateInterval)
}

// stop ends a host. The servers notice a little later.
func (fl *fleet) stop(ho *fleetHost) {
	ho.up = false
	for _, se := range fl.servers {
		for _, ru := range se.runs {
			if ru.host == ho {
				ru.goneAt, ru.host = fl.now.Add(noticeDelay), nil
			}
		}
	}
}

func (fl *fleet) isAlive(ho *fleetHost) bool { return ho.up && !fl.now.Before(ho.pausedUntil) }

// isInTouch reports whether rejections of a host count.
func (fl *fleet) isInTouch(ho *fleetHost) bool {
	return fl.now.Sub(ho.startedAt) >= contactTime && fl.now.Sub(ho.pausedUntil) >= contactTime
}

// exchangeUpdates delivers the updates of all hosts, some of them late: to those of the data centre
// those of each host, and to the other data centres those of the first host of each.
func (fl *fleet) exchangeUpdates() {
	first := map[mp.DataCentreID]*fleetHost{}
	for _, from := range fl.hosts {
		if fl.isAlive(from) && first[from.dataCentre] == nil {
			first[from.dataCentre] = from
		}
	}
	for _, from := range fl.hosts {
		if !fl.isAlive(from) {
			continue
		}
		from.tracker.Expire(fl.now)
		own, aggregate := from.tracker.Reports(fl.now, false), from.tracker.Reports(fl.now, true)
		for _, to := range fl.hosts {
			isLocal := from.dataCentre == to.dataCentre
			if from == to || !isLocal && first[from.dataCentre] != from || fl.partitioned && from.side != to.side || fl.random.IntN(100) < fl.lost {
				continue
			}
			deliver := func() { fl.deliver(from, to, own, aggregate) }
			if fl.random.IntN(4) == 0 {
				fl.delayed = append(fl.delayed, deliver)
				continue
			}
			deliver()
		}
	}
}

// deliver delivers an update of a host, with what it or its data centre has heard.
func (fl *fleet) deliver(from, to *fleetHost, own, aggregate brittle.Reports) {
	switch {
	case !fl.isAlive(to):
	case from.dataCentre == to.dataCentre:
		to.tracker.Hear(fl.now, from.name)
		to.tracker.Merge(fl.now, own, false)
	default:
		to.tracker.HearDataCentre(fl.now, from.dataCentre)
		to.tracker.Merge(fl.now, aggregate, true)
	}
}

// send sends one request of a host to a server with a free place; false if there is none.
func (fl *fleet) send(ho *fleetHost) bool {
	for _, ix := range fl.random.Perm(len(fl.servers)) {
		se := fl.servers[ix]
		de := se.description()
		if fl.now.Before(se.upAt) || ho.tracker.IsBrittle(fl.now, de) && !ho.tracker.HasPlace(fl.now, de, ho.outstanding[de]) {
			continue
		}
		fl.sent++
		ho.outstanding[de]++
		fl.arrive(se, ho)
		return true
	}
	return false
}

func (fl *fleet) arrive(se *fleetServer, ho *fleetHost) {
	if len(se.runs) >= se.slots+fl.room {
		fl.reject(se, ho)
		return
	}
	work := fl.work/4 + time.Duration(fl.random.ExpFloat64()*float64(fl.work)*3/4)
	se.runs = append(se.runs, &run{host: ho, work: work})
}

// answer ends a request of a host.
func (fl *fleet) answer(se *fleetServer, ho *fleetHost) {
	ho.outstanding[se.description()]--
	ho.tracker.RecordWord(fl.now, se.description(), brittle.Word{Brittle: fl.brittle, Limit: fl.limit})
}

func (fl *fleet) reject(se *fleetServer, ho *fleetHost) {
	fl.rejections++
	fl.answer(se, ho)
	ho.tracker.RecordRejection(fl.now, se.description())
	for len(se.rejected) > 0 && fl.now.Sub(se.rejected[0]) >= time.Second {
		se.rejected, se.calm = se.rejected[1:], se.calm[1:]
	}
	se.rejected, se.calm = append(se.rejected, fl.now), append(se.calm, fl.isInTouch(ho))
	if fl.falling && len(se.rejected) > fl.limit {
		fl.fall(se)
	}
}

// fall ends a server, which is back after some seconds.
func (fl *fleet) fall(se *fleetServer) {
	calm := 0
	for _, isCalm := range se.calm {
		if isCalm {
			calm++
		}
	}
	if 2*calm > len(se.calm) {
		se.falls++
	}
	for _, ru := range se.runs {
		if ru.host != nil {
			ru.host.outstanding[se.description()]--
			ru.host.queue++
		}
	}
	se.runs, se.rejected, se.calm = nil, nil, nil
	se.starts++
	se.upAt = fl.now.Add(3 * time.Second)
}

// step lets the servers work for a tick.
func (fl *fleet) step(se *fleetServer) {
	var left []*run
	for ix, ru := range se.runs {
		if ix < se.slots && ru.doneAt.IsZero() {
			ru.doneAt = fl.now.Add(ru.work)
		}
		isDone := !ru.doneAt.IsZero() && !fl.now.Before(ru.doneAt)
		switch {
		case isDone && ru.host != nil:
			fl.done++
			fl.answer(se, ru.host)
		case isDone, ru.host == nil && !fl.now.Before(ru.goneAt):
		default:
			left = append(left, ru)
		}
	}
	se.runs = left
}

// play plays a time of overload.
func (fl *fleet) play(duration time.Duration) {
	capacity := 0.0
	for _, se := range fl.servers {
		capacity += float64(se.slots) / fl.work.Seconds()
	}
	for end := fl.now.Add(duration); fl.now.Before(end); fl.now = fl.now.Add(tick) {
		for _, deliver := range fl.delayed {
			deliver()
		}
		fl.delayed = nil
		if fl.now.Sub(start)%updateInterval == 0 {
			fl.exchangeUpdates()
		}
		for _, se := range fl.servers {
			fl.step(se)
		}
		for _, ho := range fl.hosts {
			arrivals := overloadRatio * capacity / float64(len(fl.hosts)) * tick.Seconds()
			if fl.random.Float64() < arrivals-float64(int(arrivals)) {
				arrivals++
			}
			if !fl.isAlive(ho) {
				continue
			}
			ho.queue = min(ho.queue+int(arrivals), maxQueue)
			for ho.queue > 0 && fl.send(ho) {
				ho.queue--
			}
		}
	}
}

func (fl *fleet) falls() int {
	falls := 0
	for _, se := range fl.servers {
		falls += se.falls
	}
	return falls
}

func newFleet(seed uint64, hosts, dataCentres, servers int) *fleet {
	fl := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, room: roomBefore, work: 300 * time.Millisecond}
	for ix := range servers {
		fl.servers = append(fl.servers, &fleetServer{id: ix, slots: 1 + fl.random.IntN(8)})
	}
	for ix := range hosts {
		ho := &fleetHost{name: brittle.Host(fmt.Sprintf("10.0.0.%d:1", ix)), dataCentre: mp.DataCentreID(fmt.Sprint("dc-", ix%dataCentres))}
		fl.hosts = append(fl.hosts, ho)
		fl.start(ho)
	}
	return fl
}

// becomeBrittle plays the begin of a time in which the servers are brittle.
func (fl *fleet) becomeBrittle(room, limit int) {
	fl.brittle, fl.limit = true, limit
	fl.play(contactTime)
	fl.room, fl.falling, fl.rejections = room, true, 0
}

// disturb plays one random trouble of the hosts or their network.
func (fl *fleet) disturb() {
	ho := fl.hosts[fl.random.IntN(len(fl.hosts))]
	switch fl.random.IntN(6) {
	case 0:
		if ho.up {
			fl.stop(ho)
		}
	case 1:
		fl.stop(ho)
		fl.start(ho)
	case 2:
		for _, other := range fl.hosts {
			other.side = fl.random.IntN(2)
		}
		fl.partitioned = true
	case 3:
		fl.partitioned = false
	case 4:
		if ho.up {
			ho.pausedUntil = fl.now.Add(time.Duration(1+fl.random.IntN(15)) * time.Second)
		}
	case 5:
		if !ho.up {
			fl.start(ho)
		}
	}
}

// TestFleetKeepsBrittleServersUp guards against hosts that together make brittle servers fall
// over, while they stop, start, are paused or don't reach each other and updates are lost or late.
func TestFleetKeepsBrittleServersUp(t *testing.T) {
	for seed := range uint64(*fleetSeeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		fl := newFleet(seed, 1+random.IntN(24), 1+random.IntN(3), 4+random.IntN(12))
		fl.lost = random.IntN(20)
		fl.play(15 * time.Second)
		fl.becomeBrittle(random.IntN(2), 1+random.IntN(5))
		for range 8 {
			fl.disturb()
			fl.play(time.Duration(1+random.IntN(6)) * time.Second)
		}
		require.LessOrEqual(t, fl.falls(), 2+len(fl.servers)/10, "seed %d: %d hosts, %d servers, room %d, limit %d", seed, len(fl.hosts), len(fl.servers), fl.room, fl.limit)
	}
}

// TestCalmFleetUsesBrittleServers guards against places that stay unused. The load is 1.6 times
// the capacity, for 20 s.
func TestCalmFleetUsesBrittleServers(t *testing.T) {
	for seed := range uint64(5) {
		fl := newFleet(seed, 8, 2, 12)
		fl.play(15 * time.Second)
		fl.becomeBrittle(1, 3)
		done, slots := fl.done, 0
		for _, se := range fl.servers {
			slots += se.slots
		}
		fl.play(20 * time.Second)
		require.Zero(t, fl.rejections, "seed %d", seed)
		require.GreaterOrEqual(t, float64(fl.done-done), 0.8*float64(slots)*20/fl.work.Seconds(), "seed %d", seed)
	}
}
