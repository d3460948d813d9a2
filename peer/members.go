package peer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// memberLifetime is how long a host is remembered after it was last heard of.
	memberLifetime = 30 * time.Second
	// sampleSize is how many members one message carries.
	sampleSize = 12
)

// MemberList are the other hosts that a host has heard of. It does no I/O and is
// not safe for concurrent use.
type MemberList struct {
	self   Member
	seeds  []Address
	heard  map[Address]heard
	random *rand.Rand
}

type heard struct {
	dataCentre mp.DataCentreID
	at         time.Time
}

// NewMemberList returns the members that the seeds name.
func NewMemberList(self Member, seeds []Address, random *rand.Rand) *MemberList {
	me := &MemberList{self: self, heard: map[Address]heard{}, random: random}
	me.SetSeeds(seeds)
	return me
}

// SetSeeds replaces the seeds.
func (me *MemberList) SetSeeds(seeds []Address) {
	me.seeds = slices.DeleteFunc(slices.Clone(seeds), func(ad Address) bool { return ad == me.self.Address })
}

// MarkSeen records that a host was heard of at a time.
func (me *MemberList) MarkSeen(now time.Time, member Member) {
	if member.Address == "" || member.Address == me.self.Address {
		return
	}
	if now.After(me.heard[member.Address].at) {
		me.heard[member.Address] = heard{dataCentre: member.DataCentre, at: now}
	}
}

// AddReported records hosts that another one named. What is known by hearsay is
// remembered for half the time, so that hosts that are gone are forgotten.
func (me *MemberList) AddReported(now time.Time, members []Member) {
	for _, member := range members {
		if _, ok := me.heard[member.Address]; !ok {
			me.MarkSeen(now.Add(-memberLifetime/2), member)
		}
	}
}

// RandomPeer returns a random other host, a seed if no other is known; empty if there
// is none.
func (me *MemberList) RandomPeer(now time.Time) Address {
	me.expire(now)
	known := slices.Clone(me.seeds)
	for ad := range me.heard {
		if !slices.Contains(known, ad) {
			known = append(known, ad)
		}
	}
	if len(known) == 0 {
		return ""
	}
	slices.Sort(known)
	return known[me.random.IntN(len(known))]
}

// LocalPeers returns the other hosts of the same data centre.
func (me *MemberList) LocalPeers(now time.Time) []Address {
	return me.byDataCentre(now)[me.self.DataCentre]
}

// RemoteContacts returns one random host of each other data centre.
func (me *MemberList) RemoteContacts(now time.Time) []Address {
	var contacts []Address
	for dc, hosts := range me.byDataCentre(now) {
		if dc != me.self.DataCentre && dc != "" {
			contacts = append(contacts, hosts[me.random.IntN(len(hosts))])
		}
	}
	slices.Sort(contacts)
	return contacts
}

func (me *MemberList) byDataCentre(now time.Time) map[mp.DataCentreID][]Address {
	me.expire(now)
	groups := map[mp.DataCentreID][]Address{}
	for ad, he := range me.heard {
		groups[he.dataCentre] = append(groups[he.dataCentre], ad)
	}
	for _, hosts := range groups {
		slices.Sort(hosts)
	}
	return groups
}

// Sample returns some of the members that were heard of lately.
func (me *MemberList) Sample(now time.Time) []Member {
	me.expire(now)
	sample := make([]Member, 0, len(me.heard))
	for ad, he := range me.heard {
		sample = append(sample, Member{Address: ad, DataCentre: he.dataCentre})
	}
	slices.SortFunc(sample, func(a, b Member) int { return strings.Compare(string(a.Address), string(b.Address)) })
	me.random.Shuffle(len(sample), func(a, b int) { sample[a], sample[b] = sample[b], sample[a] })
	return sample[:min(len(sample), sampleSize)]
}

// Count returns how many other hosts were heard of lately.
func (me *MemberList) Count(now time.Time) int {
	me.expire(now)
	return len(me.heard)
}

func (me *MemberList) expire(now time.Time) {
	for ad, he := range me.heard {
		if now.Sub(he.at) > memberLifetime {
			delete(me.heard, ad)
		}
	}
}
