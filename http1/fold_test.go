package http1_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangopaddle/mangopaddle/http1"
)

// checkFolds scans a response in pieces of random sizes.
func checkFolds(rt *rapid.T, raw string) error {
	var fd http1.FoldDetector
	if rapid.Bool().Draw(rt, "used before") {
		fd.Scan([]byte("HTTP/1.1 200 OK\n X: y\n\n"))
		fd.Reset()
	}
	for rest := []byte(raw); len(rest) > 0; {
		size := rapid.IntRange(1, len(rest)).Draw(rt, "size")
		fd.Scan(rest[:size])
		rest = rest[size:]
	}
	return fd.Check()
}

// TestFoldedLinesAreFound checks responses with folded lines at any place of their headers, and
// ones in whose bodies alone lines begin with blanks.
func TestFoldedLinesAreFound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(rt, "line end")
		interim := rapid.SampledFrom([]string{"", "HTTP/1.1 103 Early Hints\nLink: </a>\n\n", "HTTP/1.1  100\n\n"}).Draw(rt, "interim")
		header := "HTTP/1.1 200 OK\nServer: a b\nX-Filler:\t1\n\n"
		sound := strings.ReplaceAll(interim+header, "\n", lineEnd)
		require.NoError(rt, checkFolds(rt, sound+" body\n HTTP/1.1 200 OK\n X: y\n\n"))

		folded := interim + header
		lines := strings.Split(folded, "\n")
		place := rapid.IntRange(0, len(lines)-2).Draw(rt, "line")
		lines[place] = rapid.SampledFrom([]string{" ", "\t"}).Draw(rt, "blank") + lines[place]
		folded = strings.Join(lines, lineEnd)
		require.ErrorIs(rt, checkFolds(rt, folded), http1.ErrMalformed, "%q", folded)
	})
}
