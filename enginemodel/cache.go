package enginemodel

import (
	"container/list"

	mp "github.com/mangopaddle/mangopaddle"
)

// prefixCache keeps the prefixes used last, bounded by their tokens.
type prefixCache struct {
	limit   mp.Tokens
	used    mp.Tokens
	order   *list.List // of *prefix, the one used last in front
	entries map[uint64]*list.Element
}

type prefix struct {
	id     uint64
	tokens mp.Tokens
}

func newPrefixCache(limit mp.Tokens) prefixCache {
	return prefixCache{limit: limit, order: list.New(), entries: map[uint64]*list.Element{}}
}

func (pc *prefixCache) tokensOf(id uint64) mp.Tokens {
	if el, ok := pc.entries[id]; ok {
		return el.Value.(*prefix).tokens
	}
	return 0
}

// add keeps a prefix and evicts the ones used longest ago.
func (pc *prefixCache) add(id uint64, tokens mp.Tokens) {
	if el, ok := pc.entries[id]; ok {
		kept := el.Value.(*prefix)
		pc.used += tokens - kept.tokens
		kept.tokens = tokens
		pc.order.MoveToFront(el)
	} else {
		pc.entries[id] = pc.order.PushFront(&prefix{id: id, tokens: tokens})
		pc.used += tokens
	}
	for pc.used > pc.limit && pc.order.Len() > 0 {
		oldest := pc.order.Remove(pc.order.Back()).(*prefix)
		delete(pc.entries, oldest.id)
		pc.used -= oldest.tokens
	}
}
