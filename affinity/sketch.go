// Package affinity remembers which prompt prefixes an engine probably has in
// its cache, in bounded memory and from late and incomplete knowledge.
package affinity

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	slots = 512
	// tokensUnit is the resolution in which lengths are kept.
	tokensUnit = 16
	// lifetime is how long a prefix is believed to stay without use.
	lifetime = 5 * time.Minute
)

// PrefixTable is a direct-mapped table of prefixes, 8 KiB for each engine. A newer
// prefix replaces an older one in the same slot. It is not safe for concurrent
// use.
type PrefixTable struct {
	entries [slots]entry
}

type entry struct {
	prefix  uint64
	units   uint32
	seconds uint32 // since the epoch
}

// New returns an empty sketch.
func New() *PrefixTable {
	return &PrefixTable{}
}

// Add records that the engine was given a prefix.
func (sk *PrefixTable) Add(now time.Time, prefix uint64, tokens mp.Tokens) {
	if prefix == 0 || tokens < tokensUnit {
		return
	}
	sk.entries[prefix%slots] = entry{prefix: prefix, units: uint32(tokens / tokensUnit), seconds: uint32(now.Unix())}
}

// Remove records that the engine dropped a prefix.
func (sk *PrefixTable) Remove(prefix uint64) {
	en := &sk.entries[prefix%slots]
	if en.prefix == prefix {
		*en = entry{}
	}
}

// Reset forgets everything, for an engine that restarted.
func (sk *PrefixTable) Reset() {
	sk.entries = [slots]entry{}
}

// CachedTokens returns how many tokens of the prefix the engine probably has.
func (sk *PrefixTable) CachedTokens(now time.Time, prefix uint64) mp.Tokens {
	if prefix == 0 {
		return 0
	}
	en := &sk.entries[prefix%slots]
	if en.prefix != prefix || uint32(now.Unix())-en.seconds > uint32(lifetime/time.Second) {
		return 0
	}
	return mp.Tokens(en.units) * tokensUnit
}
