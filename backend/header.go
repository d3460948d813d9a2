package backend

import (
	"io"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/http1"
)

// maxHeaderBytes is the longest header of a response, with what was received behind it.
const maxHeaderBytes = 64 << 10

// ErrHeaderTooLong reports that the header of a response is too long. Callers may get its
// text, which calls a response an answer.
const ErrHeaderTooLong = errors.ConstError("malformed answer")

// headerReader reads a connection. While it reads the header of a response it scans it, limits
// the number of bytes and reserves them.
type headerReader struct {
	reader      io.Reader
	remaining   int64 // bytes; negative outside a header
	reservation Reservation
	scanner     http1.Scanner
}

func newHeaderReader(reader io.Reader, buffers *Buffers) *headerReader {
	return &headerReader{reader: reader, remaining: -1, reservation: buffers.Reserve()}
}

// begin expects a header that begins with bytes which were read already.
func (hr *headerReader) begin(buffered []byte) {
	hr.remaining = maxHeaderBytes
	hr.scanner.Reset()
	hr.scanner.Scan(buffered)
}

// end returns to the state outside a header. It returns an error if the header is malformed.
func (hr *headerReader) end() error {
	hr.remaining = -1
	return hr.scanner.Err()
}

// Read implements io.Reader. In a header it returns ErrHeaderTooLong once the limit is
// reached.
func (hr *headerReader) Read(data []byte) (int, error) {
	if hr.remaining < 0 {
		return hr.reader.Read(data)
	}
	if hr.remaining == 0 {
		return 0, errors.Annotate(ErrHeaderTooLong, "header too long")
	}
	if int64(len(data)) > hr.remaining {
		data = data[:hr.remaining]
	}
	if !hr.reservation.Hold(int(maxHeaderBytes-hr.remaining) + len(data)) {
		return 0, errors.Annotate(ErrHeaderTooLong, "no room for a long header")
	}
	count, err := hr.reader.Read(data)
	hr.remaining -= int64(count)
	hr.scanner.Scan(data[:count])
	return count, err
}
