package http1

import (
	"bytes"
	"strings"

	"github.com/juju/errors"
)

// maxPrefixBytes is how much of each line of a header is looked at, more than a status line up
// to its status and the names that matter.
const maxPrefixBytes = 32

// transferEncoding is the name of the field that says whether a body has chunks.
const transferEncoding = "Transfer-Encoding"

// The bytes at the end of a line.
var (
	lineFeed       = []byte("\n")
	carriageReturn = []byte("\r")
)

// Scanner scans the bytes of headers for faults that an http.Response doesn't show: folded
// lines, and chunks in HTTP/1.0. The zero value expects the first byte of a response. It scans
// the headers of interim responses and of the final one that follows them.
type Scanner struct {
	prefix    []byte // beginning of the present line
	line      int    // in the present header, from zero
	isHTTP10  bool   // the version is HTTP/1.0
	isInterim bool   // the status is 1xx
	ended     bool   // the final header has been scanned
	err       error  // the first fault
}

// Reset expects the first byte of another response.
func (sc *Scanner) Reset() { *sc = Scanner{prefix: sc.prefix[:0]} }

// Scan scans the bytes that follow those of the last call. It ignores the body.
func (sc *Scanner) Scan(data []byte) {
	for len(data) > 0 && !sc.ended {
		line, rest, isWhole := bytes.Cut(data, lineFeed)
		room := maxPrefixBytes - len(sc.prefix)
		sc.prefix = append(sc.prefix, line[:min(len(line), room)]...)
		if isWhole {
			sc.endLine()
		}
		data = rest
	}
}

// Err returns ErrMalformed if a fault was found.
func (sc *Scanner) Err() error { return sc.err }

// endLine looks at the present line and goes on to the next one, or to the next header after
// the blank line at the end of an interim one.
func (sc *Scanner) endLine() {
	sc.prefix = bytes.TrimSuffix(sc.prefix, carriageReturn)
	if len(sc.prefix) == 0 && sc.line > 0 {
		sc.ended = !sc.isInterim
		sc.line = 0
		return
	}
	if sc.line == 0 {
		sc.readStatusLine()
	}
	if sc.err == nil {
		sc.err = sc.checkLine()
	}
	sc.prefix = sc.prefix[:0]
	sc.line++
}

// readStatusLine reads the version and the class of the status.
func (sc *Scanner) readStatusLine() {
	version, status, _ := bytes.Cut(sc.prefix, []byte(" "))
	sc.isHTTP10 = string(version) == "HTTP/1.0"
	sc.isInterim = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
}

// checkLine checks the present line. A folded one begins with a blank (RFC 9112, section 5.2);
// net/http appends it to the value of the field before it. HTTP/1.0 has no chunks, so that the
// framing of a response that names them is faulty (section 6.1); net/http leaves the field out.
func (sc *Scanner) checkLine() error {
	if len(sc.prefix) > 0 && (sc.prefix[0] == ' ' || sc.prefix[0] == '\t') {
		return errors.Annotate(ErrMalformed, "folded line in the header")
	}
	if !sc.isHTTP10 {
		return nil
	}
	name, _, _ := bytes.Cut(sc.prefix, []byte(":"))
	if strings.EqualFold(string(name), transferEncoding) {
		return errors.Annotatef(ErrMalformed, "%s in HTTP/1.0", transferEncoding)
	}
	return nil
}
