package peer_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/peer"
)

// TestHostsOfTheReleaseBeforeUnderstandTheDigest guards against hosts that share no list of
// servers during a rolling release, because one side can't read the other's revision.
func TestHostsOfTheReleaseBeforeUnderstandTheDigest(t *testing.T) {
	for name, message := range map[string]any{
		"exchange":    peer.State{Digest: peer.Digest{Version: 3, ListPosition: peer.ListPosition{Era: 1, Revision: 42}}},
		"load update": peer.LoadUpdate{Digest: peer.Digest{Version: 3, ListPosition: peer.ListPosition{Era: 1, Revision: 42}}},
	} {
		t.Run(name, func(t *testing.T) {
			encoded, err := json.Marshal(message)
			require.NoError(t, err)
			var before struct {
				Version      mp.Version  `json:"version"`
				ListRevision mp.Revision `json:"list_revision"`
			}
			require.NoError(t, json.Unmarshal(encoded, &before))
			require.Equal(t, mp.Version(3), before.Version)
			require.Equal(t, mp.Revision(42), before.ListRevision)
		})
	}
	var digest peer.Digest
	require.NoError(t, json.Unmarshal([]byte(`{"version":3,"list_revision":42,"list_age":"1s"}`), &digest))
	require.Equal(t, peer.ListPosition{Revision: 42}, digest.ListPosition)
}
