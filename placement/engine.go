package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// heavyShared is the length of shared parts beyond which one home over all
	// regions is worth the bytes that cross them: the memory of one region does
	// not hold a copy of all parts of such a class.
	heavyShared mp.Tokens = 1500
	// homes is how many engines of a part's order are considered.
	homes = 3
)

// chooseEngine returns the engine where the work is expected to begin first,
// among the first engines in the order of its shared part.
func (pl *Placer) chooseEngine(now time.Time, wo *Work, candidates []*server) Choice {
	shared, key := wo.shared()
	if key == 0 {
		return pl.leastDelayed(now, wo, inRegion(candidates))
	}
	scope := candidates
	if shared <= heavyShared {
		scope = inRegion(candidates)
	}
	ranked := rank(scope, key)
	best := expect(now, wo, ranked[0], 0, shared)
	for ix := 1; ix < min(homes, len(ranked)); ix++ {
		other := expect(now, wo, ranked[ix], ix, shared)
		if other.Expected < best.Expected {
			best = other
		}
	}
	return best
}

// expect returns the choice of an engine by its rank for the shared parts. Only
// the first engine is taken to have them in memory.
func expect(now time.Time, wo *Work, se *server, rank int, shared mp.Tokens) Choice {
	unread := wo.Tokens
	if rank == 0 {
		unread -= shared
	}
	unread = max(0, unread)
	expected := roundTrip[se.Distance] + readTime(se.unread+unread) + se.currentDelay(now) +
		time.Duration(se.failureShare(now)*float64(failureCost))
	return Choice{Server: se.Server, Expected: expected, Rank: rank, InFlight: se.inFlight, Unread: unread}
}

// leastDelayed returns the engine with the least expected time for a prompt
// without shared parts.
func (pl *Placer) leastDelayed(now time.Time, wo *Work, candidates []*server) Choice {
	best := expect(now, wo, candidates[0], 0, 0)
	for _, se := range candidates[1:] {
		if other := expect(now, wo, se, 0, 0); other.Expected < best.Expected {
			best = other
		}
	}
	return best
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

// rank orders servers by rendezvous hashing for a key. Hosts with the same list
// get the same order, and a server that leaves moves only its own keys.
func rank(servers []*server, key uint64) []*server {
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *server) int {
		if by := cmp.Compare(mix(b.hash^key), mix(a.hash^key)); by != 0 {
			return by
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return ranked
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
