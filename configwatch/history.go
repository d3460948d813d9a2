package configwatch

import (
	"crypto/sha256"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform"
)

// maxHistory is the number of values of a key that are remembered: more than are
// published while a copy grows some seconds old.
const maxHistory = 64

// history holds what was read of a key, so that an older value is told from a newer one
// after the store has come back from a copy.
type history struct {
	position mp.Position // of the last value
	seen     []revisedValue
}

// revisedValue identifies a value of a revision.
type revisedValue struct {
	revision mp.Revision
	sum      [sha256.Size]byte
}

// isNewer reports whether an item of an era is newer than the last value. One that was
// read in an earlier era, with the same revision, is the copy's and isn't; what is written
// after the copy is compared with its position.
func (hi *history) isNewer(era mp.Era, it platform.Item) bool {
	position := mp.Position{Era: era, Revision: it.Revision}
	if !hi.position.Before(position) {
		return false
	}
	if position.Era == hi.position.Era || !hi.contains(it) {
		return true
	}
	hi.position = position
	return false
}

func (hi *history) contains(it platform.Item) bool {
	sum := sha256.Sum256(it.Value)
	for _, rv := range hi.seen {
		if rv.revision == it.Revision && rv.sum == sum {
			return true
		}
	}
	return false
}

// record makes an item of an era the last value.
func (hi *history) record(era mp.Era, it platform.Item) {
	hi.position = mp.Position{Era: era, Revision: it.Revision}
	hi.seen = append(hi.seen, revisedValue{revision: it.Revision, sum: sha256.Sum256(it.Value)})
	if len(hi.seen) > maxHistory {
		hi.seen = hi.seen[1:]
	}
}
