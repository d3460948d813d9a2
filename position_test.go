package mangopaddle_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
)

// TestPositionOrder guards against a revision that is compared with one of another era.
func TestPositionOrder(t *testing.T) {
	ordered := []mp.Position{{}, {Revision: 1}, {Revision: 900}, {Era: 1, Revision: 3}, {Era: 1, Revision: 4}, {Era: 2, Revision: 1}}
	for ix, one := range ordered {
		for iy, other := range ordered {
			require.Equal(t, ix < iy, one.Before(other), "%v before %v", one, other)
		}
		require.Equal(t, ix == 0, one.IsZero())
	}
}
