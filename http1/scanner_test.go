package http1_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangopaddle/mangopaddle/http1"
)

// scan scans a response in pieces of random sizes.
func scan(rt *rapid.T, raw string) error {
	var sc http1.Scanner
	if rapid.Bool().Draw(rt, "used before") {
		sc.Scan([]byte("HTTP/1.1 200 OK\n X: y\n\n"))
		sc.Reset()
	}
	for rest := []byte(raw); len(rest) > 0; {
		size := rapid.IntRange(1, len(rest)).Draw(rt, "size")
		sc.Scan(rest[:size])
		rest = rest[size:]
	}
	return sc.Err()
}

// TestFoldedLinesAreFound checks responses with folded lines at any place of their headers, and
// ones in whose bodies alone lines begin with blanks.
func TestFoldedLinesAreFound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(rt, "line end")
		interim := rapid.SampledFrom([]string{"", "HTTP/1.1 103 Early Hints\nLink: </a>\n\n", "HTTP/1.1  100\n\n"}).Draw(rt, "interim")
		header := "HTTP/1.1 200 OK\nServer: a b\nX-Filler:\t1\n\n"
		sound := strings.ReplaceAll(interim+header, "\n", lineEnd)
		require.NoError(rt, scan(rt, sound+" body\n HTTP/1.1 200 OK\n X: y\n\n"))

		folded := interim + header
		lines := strings.Split(folded, "\n")
		place := rapid.IntRange(0, len(lines)-2).Draw(rt, "line")
		lines[place] = rapid.SampledFrom([]string{" ", "\t"}).Draw(rt, "blank") + lines[place]
		folded = strings.Join(lines, lineEnd)
		require.ErrorIs(rt, scan(rt, folded), http1.ErrMalformed, "%q", folded)
	})
}

// TestChunksInOldVersionAreFound checks the field at any place of a header of each version.
func TestChunksInOldVersionAreFound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.SampledFrom([]string{"Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING"}).Draw(rt, "name")
		lines := []string{"Server: transfer-encoding: a", "X-Transfer-Encoding: chunked", name + ":chunked"}
		header := strings.Join(rapid.Permutation(lines).Draw(rt, "lines"), "\r\n") + "\r\n\r\n"
		body := "Transfer-Encoding: chunked\r\n"
		require.NoError(rt, scan(rt, "HTTP/1.1 200 OK\r\n"+header+body))
		require.ErrorIs(rt, scan(rt, "HTTP/1.0 200 OK\r\n"+header+body), http1.ErrMalformed)
		require.NoError(rt, scan(rt, "HTTP/1.0 200 OK\r\nServer: a\r\n\r\n"+body))
	})
}
