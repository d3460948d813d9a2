package backend

import (
	"sync/atomic"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// defaultBufferLimit is the limit for a host whose memory is not known.
	defaultBufferLimit = 32 * mp.Mebibyte
	// freeBufferBytes is what each response may hold without a reservation. Sound ones
	// mostly hold less.
	freeBufferBytes = 8 << 10
)

// Buffers bounds the bytes of responses that a host holds for all its requests together,
// so that servers which send bytes without end don't fill its memory. It is safe for
// concurrent use.
type Buffers struct {
	limit int64
	used  atomic.Int64
}

// NewBuffers returns buffers of at most a number of bytes.
func NewBuffers(limit mp.Bytes) *Buffers { return &Buffers{limit: int64(limit)} }

// Used returns the number of reserved bytes.
func (bu *Buffers) Used() mp.Bytes { return mp.Bytes(bu.used.Load()) }

// Reservation is the part of the buffers that one response holds. It is not safe for
// concurrent use, and the zero value holds nothing.
type Reservation struct {
	buffers *Buffers
	held    int64 // bytes beyond freeBufferBytes
}

// Reserve returns an empty reservation, which must be released.
func (bu *Buffers) Reserve() Reservation { return Reservation{buffers: bu} }

// Hold makes the reservation large enough for a number of bytes in all. It reports whether
// there is room.
func (re *Reservation) Hold(bytes int) bool {
	more := int64(bytes-freeBufferBytes) - re.held
	if more <= 0 {
		return true
	}
	if re.buffers.used.Add(more) > re.buffers.limit {
		re.buffers.used.Add(-more)
		return false
	}
	re.held += more
	return true
}

// Release gives everything back.
func (re *Reservation) Release() {
	if re.held > 0 {
		re.buffers.used.Add(-re.held)
		re.held = 0
	}
}
