package enginemodel

import (
	"container/list"

	mp "github.com/mangopaddle/mangopaddle"
)

// prefixCache is an LRU cache of prompt prefixes, bounded by their tokens.
type prefixCache struct {
	maxTokens  mp.Tokens
	usedTokens mp.Tokens
	recency    *list.List // of *prefix, most recently used first
	entries    map[uint64]*list.Element
}

type prefix struct {
	id     uint64
	tokens mp.Tokens
}

func newPrefixCache(maxTokens mp.Tokens) prefixCache {
	return prefixCache{maxTokens: maxTokens, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// cachedTokens returns the length of a cached prefix, or zero if it is not cached.
func (pc *prefixCache) cachedTokens(id uint64) mp.Tokens {
	if el, ok := pc.entries[id]; ok {
		return el.Value.(*prefix).tokens
	}
	return 0
}

// add inserts a prefix or marks it as used, and evicts the least recently used ones
// beyond the limit.
func (pc *prefixCache) add(id uint64, tokens mp.Tokens) {
	if el, ok := pc.entries[id]; ok {
		cached := el.Value.(*prefix)
		pc.usedTokens += tokens - cached.tokens
		cached.tokens = tokens
		pc.recency.MoveToFront(el)
	} else {
		pc.entries[id] = pc.recency.PushFront(&prefix{id: id, tokens: tokens})
		pc.usedTokens += tokens
	}
	for pc.usedTokens > pc.maxTokens && pc.recency.Len() > 0 {
		evicted := pc.recency.Remove(pc.recency.Back()).(*prefix)
		delete(pc.entries, evicted.id)
		pc.usedTokens -= evicted.tokens
	}
}
