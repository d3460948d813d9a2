package peer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// memberLifetime is how long a member stays on the list after it was last seen.
	memberLifetime = 30 * time.Second
	// maxSampleSize is the maximum number of members in one message.
	maxSampleSize = 12
)

// MemberList is a host's view of the other hosts of the deployment. A member is
// seen when a gossip message from it arrives. MemberList does no I/O and is not
// safe for concurrent use.
type MemberList struct {
	self    Member
	seeds   []Address
	members map[Address]memberEntry
	random  *rand.Rand
}

// memberEntry is a member's data centre and when it was last seen.
type memberEntry struct {
	dataCentre mp.DataCentreID
	lastSeen   time.Time
}

// NewMemberList returns a member list with seeds: addresses that are contacted
// whether or not they were seen.
func NewMemberList(self Member, seeds []Address, random *rand.Rand) *MemberList {
	me := &MemberList{self: self, members: map[Address]memberEntry{}, random: random}
	me.SetSeeds(seeds)
	return me
}

// SetSeeds replaces the seeds. The host's own address is left out.
func (me *MemberList) SetSeeds(seeds []Address) {
	me.seeds = slices.DeleteFunc(slices.Clone(seeds), func(ad Address) bool { return ad == me.self.Address })
}

// MarkSeen records that a member was seen at a time.
func (me *MemberList) MarkSeen(now time.Time, member Member) {
	if member.Address == "" || member.Address == me.self.Address {
		return
	}
	if now.After(me.members[member.Address].lastSeen) {
		me.members[member.Address] = memberEntry{dataCentre: member.DataCentre, lastSeen: now}
	}
}

// AddReported adds members that another host reported. They get half the lifetime
// of members that were seen directly, so that dead hosts disappear although hosts
// go on reporting them to each other.
func (me *MemberList) AddReported(now time.Time, members []Member) {
	for _, member := range members {
		if _, ok := me.members[member.Address]; !ok {
			me.MarkSeen(now.Add(-memberLifetime/2), member)
		}
	}
}

// RandomPeer returns the address of a random seed or member; empty if there is
// none.
func (me *MemberList) RandomPeer(now time.Time) Address {
	me.expire(now)
	known := slices.Clone(me.seeds)
	for ad := range me.members {
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

// LocalPeers returns the members of the same data centre, sorted.
func (me *MemberList) LocalPeers(now time.Time) []Address {
	return me.byDataCentre(now)[me.self.DataCentre]
}

// RemoteContacts returns one random member of each other data centre, sorted.
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
	for ad, entry := range me.members {
		groups[entry.dataCentre] = append(groups[entry.dataCentre], ad)
	}
	for _, hosts := range groups {
		slices.Sort(hosts)
	}
	return groups
}

// Sample returns a random sample of the members.
func (me *MemberList) Sample(now time.Time) []Member {
	me.expire(now)
	sample := make([]Member, 0, len(me.members))
	for ad, entry := range me.members {
		sample = append(sample, Member{Address: ad, DataCentre: entry.dataCentre})
	}
	slices.SortFunc(sample, func(a, b Member) int { return strings.Compare(string(a.Address), string(b.Address)) })
	me.random.Shuffle(len(sample), func(a, b int) { sample[a], sample[b] = sample[b], sample[a] })
	return sample[:min(len(sample), maxSampleSize)]
}

// Count returns the number of members, without seeds that were never seen.
func (me *MemberList) Count(now time.Time) int {
	me.expire(now)
	return len(me.members)
}

// expire removes members that were not seen during their lifetime.
func (me *MemberList) expire(now time.Time) {
	for ad, entry := range me.members {
		if now.Sub(entry.lastSeen) > memberLifetime {
			delete(me.members, ad)
		}
	}
}
