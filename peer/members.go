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
	// maxLocalSampleSize is the maximum number of them that are of the receiver's data
	// centre.
	maxLocalSampleSize = 9
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
	ml := &MemberList{self: self, members: map[Address]memberEntry{}, random: random}
	ml.SetSeeds(seeds)
	return ml
}

// SetSeeds replaces the seeds. The host's own address is left out.
func (ml *MemberList) SetSeeds(seeds []Address) {
	ml.seeds = slices.DeleteFunc(slices.Clone(seeds), func(ad Address) bool { return ad == ml.self.Address })
}

// MarkSeen records that a member was seen at a time.
func (ml *MemberList) MarkSeen(now time.Time, member Member) {
	if member.Address == "" || member.Address == ml.self.Address {
		return
	}
	if now.After(ml.members[member.Address].lastSeen) {
		ml.members[member.Address] = memberEntry{dataCentre: member.DataCentre, lastSeen: now}
	}
}

// AddReported adds members that another host reported. They get half the lifetime
// of members that were seen directly, so that dead hosts disappear although hosts
// go on reporting them to each other.
func (ml *MemberList) AddReported(now time.Time, members []Member) {
	for _, member := range members {
		if _, ok := ml.members[member.Address]; !ok {
			ml.MarkSeen(now.Add(-memberLifetime/2), member)
		}
	}
}

// RandomPeer returns the address of a random seed or member; empty if there is
// none.
func (ml *MemberList) RandomPeer(now time.Time) Address {
	ml.expire(now)
	known := slices.Clone(ml.seeds)
	for ad := range ml.members {
		if !slices.Contains(known, ad) {
			known = append(known, ad)
		}
	}
	if len(known) == 0 {
		return ""
	}
	slices.Sort(known)
	return known[ml.random.IntN(len(known))]
}

// LocalPeers returns the members of the same data centre, sorted.
func (ml *MemberList) LocalPeers(now time.Time) []Address {
	return ml.byDataCentre(now)[ml.self.DataCentre]
}

// RemoteContacts returns one random member of each other data centre, sorted.
func (ml *MemberList) RemoteContacts(now time.Time) []Address {
	var contacts []Address
	for dc, hosts := range ml.byDataCentre(now) {
		if dc != ml.self.DataCentre && dc != "" {
			contacts = append(contacts, hosts[ml.random.IntN(len(hosts))])
		}
	}
	slices.Sort(contacts)
	return contacts
}

func (ml *MemberList) byDataCentre(now time.Time) map[mp.DataCentreID][]Address {
	ml.expire(now)
	groups := map[mp.DataCentreID][]Address{}
	for ad, entry := range ml.members {
		groups[entry.dataCentre] = append(groups[entry.dataCentre], ad)
	}
	for _, hosts := range groups {
		slices.Sort(hosts)
	}
	return groups
}

// Sample returns a random sample of the members. Most of them are of the given data
// centre, as far as there are any: hosts send load updates to those of their own.
func (ml *MemberList) Sample(now time.Time, dataCentre mp.DataCentreID) []Member {
	ml.expire(now)
	var local, others []Member
	for ad, entry := range ml.members {
		member := Member{Address: ad, DataCentre: entry.dataCentre}
		if entry.dataCentre == dataCentre {
			local = append(local, member)
		} else {
			others = append(others, member)
		}
	}
	ml.shuffle(local)
	ml.shuffle(others)
	sample := append(local[:min(len(local), maxLocalSampleSize)], others...)
	return sample[:min(len(sample), maxSampleSize)]
}

// shuffle orders members at random, with the same result for the same random source.
func (ml *MemberList) shuffle(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Address), string(b.Address)) })
	ml.random.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
}

// Count returns the number of members, without seeds that were never seen.
func (ml *MemberList) Count(now time.Time) int {
	ml.expire(now)
	return len(ml.members)
}

// expire removes members that were not seen during their lifetime.
func (ml *MemberList) expire(now time.Time) {
	for ad, entry := range ml.members {
		if now.Sub(entry.lastSeen) > memberLifetime {
			delete(ml.members, ad)
		}
	}
}
