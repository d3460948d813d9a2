package http1

import (
	"bytes"

	"github.com/juju/errors"
)

// maxStatusLineBytes is how much of a status line is looked at, enough for the version and
// the status.
const maxStatusLineBytes = 16

// FoldDetector finds folded lines in a header (RFC 9112, section 5.2): those that begin with a
// blank. net/http appends them to the value of the field before them, so that its headers
// don't show them. The zero value expects the first byte of a response. It scans the headers
// of interim responses and of the final one that follows them.
type FoldDetector struct {
	statusLine []byte // beginning of the present header
	line       int    // of the present header, from zero
	column     int    // in the line, from zero; carriage returns don't count
	ended      bool   // the final header has been scanned
	found      bool
}

// Reset expects the first byte of another response.
func (fd *FoldDetector) Reset() { *fd = FoldDetector{statusLine: fd.statusLine[:0]} }

// Scan scans the bytes that follow those of the last call. It ignores the body.
func (fd *FoldDetector) Scan(data []byte) {
	for _, char := range data {
		if fd.ended {
			return
		}
		fd.scanByte(char)
	}
}

// Check returns ErrMalformed if a folded line was found.
func (fd *FoldDetector) Check() error {
	if !fd.found {
		return nil
	}
	return errors.Annotate(ErrMalformed, "folded line in the header")
}

func (fd *FoldDetector) scanByte(char byte) {
	switch char {
	case '\n':
		fd.endLine()
		return
	case '\r':
		return
	case ' ', '\t':
		fd.found = fd.found || fd.column == 0
	}
	if fd.line == 0 && len(fd.statusLine) < maxStatusLineBytes {
		fd.statusLine = append(fd.statusLine, char)
	}
	fd.column++
}

// endLine goes on to the next line, or to the next header after the blank line at the end of
// an interim one.
func (fd *FoldDetector) endLine() {
	if fd.column > 0 || fd.line == 0 {
		fd.line++
		fd.column = 0
		return
	}
	fd.ended = !isInterim(fd.statusLine)
	fd.statusLine, fd.line = fd.statusLine[:0], 0
}

// isInterim reports whether a status line is that of an interim response (1xx).
func isInterim(statusLine []byte) bool {
	_, status, _ := bytes.Cut(statusLine, []byte(" "))
	return bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
}
