package overflow

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	mp "github.com/mangopaddle/mangopaddle"
)

// Split holds the fractions of a data centre's work that go to other data centres. It is
// immutable; in the zero value, all work stays.
type Split struct {
	home      mp.DataCentreID
	fractions []share // sorted by data centre
	away      float64
	reason    Reason
}

// share is the fraction of work that goes to a data centre.
type share struct {
	dc       mp.DataCentreID
	fraction float64
}

func newSplit(home mp.DataCentreID, fractions map[mp.DataCentreID]float64, reason Reason) Split {
	sp := Split{home: home}
	for _, dc := range slices.Sorted(maps.Keys(fractions)) {
		if fractions[dc] > 0 {
			sp.fractions = append(sp.fractions, share{dc: dc, fraction: fractions[dc]})
			sp.away += fractions[dc]
			sp.reason = reason
		}
	}
	return sp
}

// Away returns the fraction that leaves the data centre.
func (sp Split) Away() float64 { return sp.away }

// Reason returns why work leaves the data centre.
func (sp Split) Reason() Reason { return sp.reason }

// Fractions returns the fractions by data centre, without the home.
func (sp Split) Fractions() map[mp.DataCentreID]float64 {
	fractions := make(map[mp.DataCentreID]float64, len(sp.fractions))
	for _, sh := range sp.fractions {
		fractions[sh.dc] = sh.fraction
	}
	return fractions
}

// Choose returns the data centre of a request; the same one for the same draw, such as the ID
// of a prefix, as long as the split stays the same. As a fraction changes, only as many draws
// change their data centre as the difference requires.
func (sp Split) Choose(draw uint64) mp.DataCentreID {
	if len(sp.fractions) == 0 || uniform("", draw) >= sp.away {
		return sp.home
	}
	// Weighted rendezvous hashing: the change of one fraction doesn't move draws between the
	// other destinations.
	var chosen mp.DataCentreID
	best := math.Inf(1)
	for _, sh := range sp.fractions {
		if score := -math.Log(uniform(sh.dc, draw)) / sh.fraction; score < best {
			chosen, best = sh.dc, score
		}
	}
	return chosen
}

// uniform returns a hash of a data centre and a draw in the interval (0, 1).
func uniform(dc mp.DataCentreID, draw uint64) float64 {
	key := binary.BigEndian.AppendUint64([]byte(dc), draw)
	return (float64(xxhash.Sum64(key)>>11) + 0.5) / (1 << 53)
}
