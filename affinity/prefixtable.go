// Package affinity estimates which prompt prefixes an engine has in its cache,
// from the prefixes that were sent to it. It uses bounded memory. Evictions may be
// reported late or not at all, so prefixes also expire. It does no I/O and reads
// no clock.
package affinity

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	slotCount = 512 // of 16 bytes each
	// tokensPerUnit is the resolution at which lengths are stored.
	tokensPerUnit = 16
	// prefixTTL is how long an unused prefix is assumed to stay in the cache.
	prefixTTL = 5 * time.Minute
)

// PrefixTable is a direct-mapped table of 8 KiB with the prefixes in one
// engine's cache. A newer prefix replaces an older one in the same slot. It is
// not safe for concurrent use.
type PrefixTable struct {
	entries [slotCount]entry
}

// entry is a prefix that was sent to the engine; the zero value is an empty slot.
type entry struct {
	prefixID        uint64
	units           uint32 // of tokensPerUnit tokens
	recordedSeconds uint32 // since the Unix epoch
}

// New returns an empty table.
func New() *PrefixTable {
	return &PrefixTable{}
}

// Add records that a prefix was sent to the engine. An ID of zero and prefixes
// shorter than the resolution are ignored.
func (pt *PrefixTable) Add(now time.Time, prefixID uint64, tokens mp.Tokens) {
	if prefixID == 0 || tokens < tokensPerUnit {
		return
	}
	pt.entries[prefixID%slotCount] = entry{prefixID: prefixID, units: uint32(tokens / tokensPerUnit), recordedSeconds: uint32(now.Unix())}
}

// Remove records that the engine evicted a prefix.
func (pt *PrefixTable) Remove(prefixID uint64) {
	en := &pt.entries[prefixID%slotCount]
	if en.prefixID == prefixID {
		*en = entry{}
	}
}

// Reset clears the table, for an engine that restarted with an empty cache.
func (pt *PrefixTable) Reset() {
	pt.entries = [slotCount]entry{}
}

// CachedTokens returns how many tokens of the prefix the engine probably has in
// its cache.
func (pt *PrefixTable) CachedTokens(now time.Time, prefixID uint64) mp.Tokens {
	if prefixID == 0 {
		return 0
	}
	en := &pt.entries[prefixID%slotCount]
	if en.prefixID != prefixID || uint32(now.Unix())-en.recordedSeconds > uint32(prefixTTL/time.Second) {
		return 0
	}
	return mp.Tokens(en.units) * tokensPerUnit
}
