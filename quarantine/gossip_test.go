package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/quarantine"
)

const (
	dataCentres = 3
	// lossRatio is the fraction of the load updates that are lost.
	lossRatio         = 0.05
	localDelayMillis  = 1
	remoteDelayMillis = 40
	// aggregateRounds is the number of rounds between two updates to other data centres.
	aggregateRounds = 2
)

// updates sends what hosts report as load updates do: at intervals to the hosts of the same
// data centre, and from the first host of each to one of each other, which relays it.
type updates struct {
	*play
	nextAt []int
	rounds []int
	onWay  map[int][]func()
}

func newUpdates(pl *play) *updates {
	up := &updates{play: pl, onWay: map[int][]func(){}}
	for range pl.hosts {
		up.nextAt = append(up.nextAt, pl.random.IntN(300))
		up.rounds = append(up.rounds, 0)
	}
	return up
}

// step delivers and sends the updates of one millisecond.
func (up *updates) step(now int) {
	for _, deliver := range up.onWay[now] {
		deliver()
	}
	delete(up.onWay, now)
	interval := int(peer.UpdateInterval(len(up.hosts)/dataCentres - 1).Milliseconds())
	for ix, host := range up.hosts {
		if now < up.nextAt[ix] {
			continue
		}
		up.nextAt[ix] = now + interval*3/4 + up.random.IntN(interval/2)
		up.rounds[ix]++
		host.Judge(at(now))
		reports := host.Reports(at(now))
		if len(reports) == 0 {
			continue
		}
		up.broadcast(ix, now+localDelayMillis, reports)
		if ix < dataCentres && up.rounds[ix]%aggregateRounds == 0 {
			up.sendToOtherDataCentres(ix, now, reports)
		}
	}
}

// broadcast sends reports to the other hosts of the data centre of a host: those whose
// numbers are equal modulo dataCentres.
func (up *updates) broadcast(from, millis int, reports []quarantine.Report) {
	for to := from % dataCentres; to < len(up.hosts); to += dataCentres {
		if to != from {
			up.send(millis, func() { up.hosts[to].Merge(at(millis), reports) })
		}
	}
}

func (up *updates) sendToOtherDataCentres(from, now int, reports []quarantine.Report) {
	for dc := range dataCentres {
		if dc == from%dataCentres {
			continue
		}
		relay := dc + dataCentres*up.random.IntN(len(up.hosts)/dataCentres)
		millis := now + remoteDelayMillis
		up.send(millis, func() {
			up.hosts[relay].Merge(at(millis), reports)
			up.broadcast(relay, millis+localDelayMillis, reports)
		})
	}
}

// send delivers an update at a time, unless it is lost.
func (up *updates) send(millis int, deliver func()) {
	if up.random.Float64() >= lossRatio {
		up.onWay[millis] = append(up.onWay[millis], deliver)
	}
}

// TestCrashesEndWithUpdatesBetweenDataCentres guards against hosts that hear too late of a
// segment that others have found guilty, at few and at many hosts, crashes and requests.
func TestCrashesEndWithUpdatesBetweenDataCentres(t *testing.T) {
	const contactMillis = 4000
	for ix, test := range []struct {
		hosts            int
		requestsPerMilli float64
		poisoned         float64
	}{{9, 0.03, 0.3}, {9, 0.4, 0.1}, {60, 0.1, 0.05}, {201, 0.1, 0.1}} {
		t.Run(fmt.Sprintf("%d/%v/%v", test.hosts, test.requestsPerMilli, test.poisoned), func(t *testing.T) {
			pl := &play{random: rand.New(rand.NewPCG(uint64(ix), uint64(test.hosts)))}
			for range test.hosts {
				pl.hosts = append(pl.hosts, quarantine.New())
			}
			pl.gossipStep = newUpdates(pl).step
			pl.run(6000, test.requestsPerMilli, test.poisoned)
			t.Logf("%d crashes, the last after %v, %d of %d sound requests refused", pl.crashes, time.Duration(pl.lastCrash())*time.Millisecond, pl.blockedSound, pl.sound)
			require.LessOrEqual(t, pl.lateCrashes(contactMillis), 3, "crashes later than contactMillis after the fifth: %v", pl.crashTimes)
			require.Less(t, float64(pl.blockedSound), 0.01*float64(pl.sound))
		})
	}
}
