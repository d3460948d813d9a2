// Package rendezvous has what rendezvous hashing needs: each of a set of nodes is weighed for a
// key, and the one with the highest weight has it.
package rendezvous

// Mix spreads the bits of a hash, as the finaliser of MurmurHash3 does, so that the weights of
// similar hashes are unrelated.
func Mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
