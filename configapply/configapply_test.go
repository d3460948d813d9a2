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
	_ "github.com/mangopaddle/mangopaddle/fixedseed" // the same cases in every run
)

const (
	goodFleet = `{"regions":[{"name":"r","data_centres":["d"]}],"models":[],"engines":[]}`
	badFleet  = `{"regions":[]}`
)

// TestRevisionsOnlyRise offers sets in any order, good and bad ones, and checks
// that the one in force is always the highest good one offered so far.
func TestRevisionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		decoder, err := config.NewDecoder()
		require.NoError(rt, err)
		co := configapply.New(decoder, zerolog.Nop(), tally.NoopScope)
		bo := blackboard.New("h", "d")
		good := map[mp.Revision]bool{}
		var want mp.Revision
		for _, number := range rapid.SliceOfN(rapid.Uint64Range(1, 12), 1, 30).Draw(rt, "revisions") {
			revision := mp.Revision(number)
			if _, drawn := good[revision]; !drawn {
				good[revision] = rapid.Bool().Draw(rt, "good")
			}
			value := badFleet
			if good[revision] {
				value = goodFleet
				want = max(want, revision)
			}
			bo.PendingConfig = &blackboard.PendingConfig{Revision: revision, Values: map[mp.ConfigKey]mp.PublishedValue{
				config.FleetKey: {Key: config.FleetKey, Revision: revision, Value: []byte(value)},
			}}
			require.NoError(rt, co.Run(bo))
			if want == 0 {
				require.Nil(rt, bo.Config)
				continue
			}
			require.Equal(rt, want, bo.Config.Revision)
		}
	})
}
