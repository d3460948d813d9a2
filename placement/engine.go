package placement

import (
	"cmp"
	"hash/fnv"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// heavyShared is the length of shared parts beyond which one home over all
	// regions is worth the bytes that cross them: the memory of one region does
	// not hold a copy of all parts of such a class.
	heavyShared mp.Tokens = 1500
	// againCost is how many times the reading of shared parts counts where they
	// are not expected in memory: it delays others, and takes memory from them.
	againCost = 10
	// regionCost is what each byte that crosses regions counts.
	regionCost = 8 * time.Microsecond
)

// chooseEngine returns the engine with the least cost: the expected time until
// the work begins, and what it takes from others. If the work would begin too
// late there, and its shared parts are short, it goes to the best engine of its
// kind where it would not.
func (pl *Placer) chooseEngine(now time.Time, wo *Request, candidates []*server) Choice {
	shared, key := wo.shared()
	home := homeOf(divide(candidates, wo.JitterSensitive), key, shared)
	meanWait := pl.meanWait(candidates)
	var best, timely priced
	for _, se := range candidates {
		ch := pl.expect(now, wo, se, shared, se == home)
		ch.MeanQueueWait = meanWait
		offer := priced{Choice: ch, cost: ch.ExpectedLatency + pl.spent(wo, se, ch, shared)}
		best = best.cheaper(offer)
		if ch.Lateness(wo) <= 0 && se.reserved == wo.JitterSensitive {
			timely = timely.cheaper(offer)
		}
	}
	if best.Lateness(wo) > 0 && timely.Server.ID != "" && shared <= heavyShared {
		return timely.Choice
	}
	return best.Choice
}

// priced is a choice with its cost.
type priced struct {
	Choice
	cost time.Duration
}

// cheaper returns the one with the lower cost; the zero value costs more than
// any.
func (pr priced) cheaper(other priced) priced {
	if pr.Server.ID == "" || other.cost < pr.cost {
		return other
	}
	return pr
}

// strictPatience is the part of the target that a request of a priority may spend
// behind the prompts that are to be read before its own, while all engines have
// long queues; the last one holds for all lower ones. When engines can't read all
// prompts in time, the lower priorities are refused first, while what is more
// urgent still begins in time.
var strictPatience = [...]float64{1.5, 0.8, 0.35}

// calmPatience is the same while the queues are short in the mean: one engine's
// queue then passes, and the answer still comes in time.
var calmPatience = [...]float64{1.5, 0.8, 0.6}

const (
	// calmWait and strictWait are the mean waits at the engines of a service up to
	// which the one patience holds, and from which the other does.
	calmWait   = 60 * time.Millisecond
	strictWait = 180 * time.Millisecond
	// lastPart is the part of the time left within which any request must be
	// expected to begin.
	lastPart = 0.7
)

// patience returns the part of the target that work of a priority may wait while
// the engines of its service have a mean wait.
func patience(priority int, meanWait time.Duration) float64 {
	ix := min(max(0, priority), len(strictPatience)-1)
	strictness := float64(meanWait-calmWait) / float64(strictWait-calmWait)
	strictness = min(max(0, strictness), 1)
	return calmPatience[ix] + strictness*(strictPatience[ix]-calmPatience[ix])
}

// meanWait returns the mean time that the prompts before a new one take at the
// engines that are not kept for steady streams.
func (pl *Placer) meanWait(engines []*server) time.Duration {
	var total mp.Tokens
	count := 0
	for _, se := range engines {
		if se.reserved {
			continue
		}
		total += se.unread + pl.others(se.ID).PrefillTokens
		count++
	}
	return readTime(total / mp.Tokens(max(1, count)))
}

// Lateness returns by how much the work is expected to begin too late at the chosen
// engine; zero or less if it should be sent.
func (ch Choice) Lateness(wo *Request) time.Duration {
	if !ch.Server.Engine {
		return 0
	}
	late := ch.QueueWait - time.Duration(patience(wo.Priority, ch.MeanQueueWait)*float64(wo.LatencyTarget))
	if wo.TimeToDeadline > 0 {
		late = max(late, ch.ExpectedLatency-time.Duration(lastPart*float64(wo.TimeToDeadline)))
	}
	return late
}

// homeOf returns the engine where all hosts look for a shared part first; nil if
// there is no such part.
func homeOf(candidates []*server, key uint64, shared mp.Tokens) *server {
	if key == 0 {
		return nil
	}
	scope := candidates
	if shared <= heavyShared {
		scope = inRegion(candidates)
	}
	home := scope[0]
	for _, se := range scope[1:] {
		if by := cmp.Compare(mix(se.hash^key), mix(home.hash^key)); by > 0 || (by == 0 && se.ID < home.ID) {
			home = se
		}
	}
	return home
}

// spent returns what the choice costs others.
func (pl *Placer) spent(wo *Request, se *server, ch Choice, shared mp.Tokens) time.Duration {
	var cost time.Duration
	if !ch.PrefixCached {
		cost += againCost * readTime(shared)
	}
	if se.reserved != wo.JitterSensitive {
		cost += pl.mixing(wo, se)
	}
	if se.Distance == OtherRegion {
		cost += time.Duration(wo.BodyBytes) * regionCost
	}
	return cost
}

// expect returns the choice of an engine with the time until the first event.
// Only the home of the shared parts is taken to have them in memory.
func (pl *Placer) expect(now time.Time, wo *Request, se *server, shared mp.Tokens, home bool) Choice {
	unread := wo.PromptTokens
	if home {
		unread -= shared
	}
	unread = max(0, unread)
	others := pl.others(se.ID)
	wait := readTime(se.unread + others.PrefillTokens)
	reading := stepTime + wait + readTime(unread)
	if wo.JitterSensitive {
		reading += time.Duration(se.streams+others.Streams) * streamTime
	}
	slowness := se.currentSlowness(now)
	expected := roundTrip[se.Distance] + time.Duration(float64(reading)*slowness) +
		time.Duration(se.failureShare(now)*float64(failureCost))
	return Choice{
		Server:          se.Server,
		ExpectedLatency: expected,
		QueueWait:       time.Duration(float64(wait) * slowness),
		PrefixCached:    home,
		InFlight:        se.inFlight,
		PrefillTokens:   unread,
		JitterSensitive: wo.JitterSensitive,
		reading:         reading,
	}
}

// inRegion returns the servers of the host's region, or all if it has none.
func inRegion(candidates []*server) []*server {
	near := make([]*server, 0, len(candidates))
	for _, se := range candidates {
		if se.Distance != OtherRegion {
			near = append(near, se)
		}
	}
	if len(near) == 0 {
		return candidates
	}
	return near
}

// mix spreads the bits of a hash, as the finaliser of MurmurHash3 does.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

func hashText(text string) uint64 {
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(text))
	return ha.Sum64()
}
