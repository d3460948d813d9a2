package directory_test

import (
	"fmt"
	"strings"
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
			DataCentre: "dc-1", Software: "2026.12.1", Slots: 64, State: directory.Ready, StartedAtMillis: 1_700_000_000_000 + int64(ix*104_729),
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

const soundEntry = `{"id":"%s","service":"app","address":"10.0.0.1:80","data_centre":"dc-1","slots":6,"state":1}`

// oddPackedEntries are entries in a list from another host that name no server.
var oddPackedEntries = []string{
	`{"id":"odd","service":"app","address":"10.0.0.1:80","slots":` + strings.Repeat("9", 100) + `,"state":1}`,
	`{"id":"odd","service":"app","address":"10.0.0.1:80","slots":-1,"state":1}`,
	`{"id":"odd","service":"app","address":"10.0.0.1:0","slots":6,"state":1}`,
	`{"id":"odd","service":"app","address":"10.0.0.1:80","slots":6,"state":9}`,
	`{"id":"odd","service":"app","address":"10.0.0.1:80","slots":6,"state":1,"born":1e300}`,
	`{"id":7,"service":"app","address":"10.0.0.1:80","slots":6,"state":1}`,
	`{"id":"","service":"app","address":"10.0.0.1:80","slots":6,"state":1}`,
	`{"id":"odd","service":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
	`[]`, `7`, `null`, `{}`,
}

// TestOddEntryOfAnotherHostDoesNotHideTheOthers guards against a list of another host that
// is refused as a whole, or from which a server that can't be used is taken.
func TestOddEntryOfAnotherHostDoesNotHideTheOthers(t *testing.T) {
	for _, odd := range oddPackedEntries {
		packed, err := compression.Compress([]byte("[" + fmt.Sprintf(soundEntry, "a") + "," + odd + "," + fmt.Sprintf(soundEntry, "z") + "]"))
		require.NoError(t, err)
		servers, err := directory.Unpack(packed)
		require.NoError(t, err, "%.80s", odd)
		require.Len(t, servers, 2, "%.80s", odd)
		require.Equal(t, mp.ServerID("a"), servers[0].ID)
		require.Equal(t, mp.ServerID("z"), servers[1].ID)
	}
}

// TestListWithoutSoundEntryIsRefused guards against a known list that is replaced by none.
func TestListWithoutSoundEntryIsRefused(t *testing.T) {
	for _, text := range []string{"[7,7]", `[{"id":"a","service":"app","address":"10.0.0.1:80","slots":6,"state":"ready"}]`} {
		packed, err := compression.Compress([]byte(text))
		require.NoError(t, err)
		_, err = directory.Unpack(packed)
		require.Error(t, err, text)
	}
	packed, err := compression.Compress([]byte("[]"))
	require.NoError(t, err)
	servers, err := directory.Unpack(packed)
	require.NoError(t, err)
	require.Empty(t, servers)
}

// FuzzUnpack checks that no list of another host makes Unpack panic or return a server
// that can't be used, and that what it returns can be sent on.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte("[" + fmt.Sprintf(soundEntry, "a") + "]"))
	for _, odd := range oddPackedEntries {
		f.Add([]byte("[" + odd + "," + fmt.Sprintf(soundEntry, "z") + "]"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		packed, err := compression.Compress(data)
		require.NoError(t, err)
		servers, err := directory.Unpack(packed)
		_, _ = directory.Unpack(data) // is not compressed
		if err != nil {
			return
		}
		for _, se := range servers {
			require.NoError(t, se.Check())
		}
		packed, err = directory.Pack(servers)
		require.NoError(t, err)
		again, err := directory.Unpack(packed)
		require.NoError(t, err)
		require.Equal(t, servers, again)
	})
}
