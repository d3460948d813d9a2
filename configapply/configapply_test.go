package configapply_test

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/configapply"
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // draws the same cases in every run
)

const (
	validFleet   = `{"regions":[{"name":"r","data_centres":["d"]}],"models":[],"engines":[]}`
	invalidFleet = `{"regions":[]}`
)

// TestAppliedRevisionIsHighestValid checks that the current set is always the valid
// one with the latest position so far, whatever the order of valid and invalid sets.
func TestAppliedRevisionIsHighestValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		decoder, err := config.NewDecoder()
		require.NoError(rt, err)
		co := configapply.New(decoder, zerolog.Nop(), tally.NoopScope)
		bo := blackboard.New("h", "d")
		valid := map[mp.Position]bool{}
		var want mp.Position
		for _, number := range rapid.SliceOfN(rapid.Uint64Range(1, 12), 1, 30).Draw(rt, "revisions") {
			position := mp.Position{Era: mp.Era(rapid.IntRange(0, 2).Draw(rt, "era")), Revision: mp.Revision(number)}
			if _, drawn := valid[position]; !drawn {
				valid[position] = rapid.Bool().Draw(rt, "valid")
			}
			value := invalidFleet
			if valid[position] {
				value = validFleet
				if want.Before(position) {
					want = position
				}
			}
			bo.PendingConfig = &blackboard.PendingConfig{Position: position, Values: map[mp.ConfigKey]mp.PublishedValue{
				config.FleetKey: {Key: config.FleetKey, Position: position, Value: []byte(value)},
			}}
			require.NoError(rt, co.Run(bo))
			if want.IsZero() {
				require.Nil(rt, bo.Config)
				continue
			}
			require.Equal(rt, want, bo.Config.Position)
		}
	})
}
