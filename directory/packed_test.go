package directory_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/compression"
	"github.com/mangopaddle/mangopaddle/directory"
)

// TestPackedListIsSmallAndWhole checks that a list comes out as it went in, in a part of
// its size, and that what is no list is refused.
func TestPackedListIsSmallAndWhole(t *testing.T) {
	var servers []directory.Server
	for ix := range 3000 {
		servers = append(servers, directory.Server{
			ID: mp.ServerID(fmt.Sprintf("i-%010x", ix*7919)), Service: "model-12", Address: fmt.Sprintf("10.%d.%d.9:8443", ix%7, ix%251),
			DataCentre: "dc-1", Slots: 64, State: directory.Ready, StartedAtMillis: 1_700_000_000_000 + int64(ix*104_729),
		})
	}
	packed, err := directory.Pack(servers)
	require.NoError(t, err)
	require.Less(t, len(packed), 100_000)
	unpacked, err := directory.Unpack(packed)
	require.NoError(t, err)
	require.Equal(t, servers, unpacked)
	noList, err := compression.Compress([]byte(`{"id":7}`))
	require.NoError(t, err)
	for _, invalid := range [][]byte{nil, []byte("x"), packed[:len(packed)/2], noList} {
		_, err := directory.Unpack(invalid)
		require.Error(t, err)
	}
}
