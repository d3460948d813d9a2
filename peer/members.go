package peer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// memberLifetime is how long a host is remembered after it was last heard of.
	memberLifetime = 30 * time.Second
	// sampleSize is how many members one message carries.
	sampleSize = 8
)

// Members are the other hosts that a host has heard of. It does no I/O and is
// not safe for concurrent use.
type Members struct {
	self   Address
	seeds  []Address
	heard  map[Address]time.Time
	random *rand.Rand
}

// NewMembers returns the members that the seeds name.
func NewMembers(self Address, seeds []Address, random *rand.Rand) *Members {
	me := &Members{self: self, heard: map[Address]time.Time{}, random: random}
	me.SetSeeds(seeds)
	return me
}

// SetSeeds replaces the seeds.
func (me *Members) SetSeeds(seeds []Address) {
	me.seeds = slices.DeleteFunc(slices.Clone(seeds), func(ad Address) bool { return ad == me.self })
}

// Heard records that a host was heard of at a time.
func (me *Members) Heard(now time.Time, ad Address) {
	if ad == "" || ad == me.self {
		return
	}
	if now.After(me.heard[ad]) {
		me.heard[ad] = now
	}
}

// Told records hosts that another one named. What is known by hearsay is
// remembered for half the time, so that hosts that are gone are forgotten.
func (me *Members) Told(now time.Time, addresses []Address) {
	for _, ad := range addresses {
		if _, ok := me.heard[ad]; !ok {
			me.Heard(now.Add(-memberLifetime/2), ad)
		}
	}
}

// Pick returns a random other host, a seed if no other is known; empty if there
// is none.
func (me *Members) Pick(now time.Time) Address {
	known := me.known(now)
	if len(known) == 0 {
		return ""
	}
	return known[me.random.IntN(len(known))]
}

// Sample returns some of the members that were heard of lately.
func (me *Members) Sample(now time.Time) []Address {
	me.expire(now)
	sample := make([]Address, 0, len(me.heard))
	for ad := range me.heard {
		sample = append(sample, ad)
	}
	slices.Sort(sample)
	me.random.Shuffle(len(sample), func(a, b int) { sample[a], sample[b] = sample[b], sample[a] })
	return sample[:min(len(sample), sampleSize)]
}

// All returns all other hosts that are known.
func (me *Members) All(now time.Time) []Address { return me.known(now) }

// Count returns how many other hosts were heard of lately.
func (me *Members) Count(now time.Time) int {
	me.expire(now)
	return len(me.heard)
}

func (me *Members) known(now time.Time) []Address {
	me.expire(now)
	known := slices.Clone(me.seeds)
	for ad := range me.heard {
		if !slices.Contains(known, ad) {
			known = append(known, ad)
		}
	}
	slices.Sort(known)
	return known
}

func (me *Members) expire(now time.Time) {
	for ad, at := range me.heard {
		if now.Sub(at) > memberLifetime {
			delete(me.heard, ad)
		}
	}
}
