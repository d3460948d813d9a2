package compression_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/compression"
)

func TestDecompressIsBounded(t *testing.T) {
	text := []byte(strings.Repeat("x", 1<<20))
	compressed, err := compression.Compress(text)
	require.NoError(t, err)
	require.Less(t, len(compressed), len(text)/100)
	data, err := compression.Decompress(compressed, mp.Mebibyte)
	require.NoError(t, err)
	require.Equal(t, text, data)
	_, err = compression.Decompress(compressed, mp.Mebibyte-1)
	require.Error(t, err)
	for _, invalid := range [][]byte{nil, []byte("x"), compressed[:len(compressed)-4]} {
		_, err = compression.Decompress(invalid, mp.Mebibyte)
		require.Error(t, err)
	}
}
