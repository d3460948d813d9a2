package clientlimit

import (
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// ErrNoRoom means that the budget has no room for the body. The request was not run.
	ErrNoRoom = errors.ConstError("no room for the body")
	// ErrTooSlow means that the client made too little progress in the window.
	ErrTooSlow = errors.ConstError("the body arrives too slowly")
)

// unknownBodyBytes is the first size of the buffer for a body of unknown length.
const unknownBodyBytes = 4 << 10

// Body is a request body that was received whole. Release gives back its part of the budget.
type Body struct {
	Data    []byte
	account Account
}

// Release gives back the part of the budget. It is safe to call on nil.
func (bo *Body) Release() {
	if bo != nil {
		bo.account.Release()
	}
}

// Bytes returns the data; nil without a body.
func (bo *Body) Bytes() []byte {
	if bo == nil {
		return nil
	}
	return bo.Data
}

// BodyOptions are the limits of one body.
type BodyOptions struct {
	// Limit is the maximum size.
	Limit mp.Bytes
	// Weight is how many times its size a body holds while its request is in progress.
	Weight int64
	// Deadline is when the body must be whole; zero for none.
	Deadline time.Time
	// MaxGap is the longest time for which the configuration lets a client send nothing.
	MaxGap time.Duration
}

// ReadBody receives the body of a request. Memory is charged before it is held, as the body
// arrives: an announced length alone holds nothing. The error is an *http.MaxBytesError,
// ErrNoRoom, ErrTooSlow or that of the connection. On an error other than
// *http.MaxBytesError for a body of unknown length, the response must close the connection.
func ReadBody(rw http.ResponseWriter, rq *http.Request, op BodyOptions) (*Body, error) {
	if rq.ContentLength == 0 {
		return nil, nil
	}
	if rq.ContentLength > int64(op.Limit) {
		CloseAfterResponse(rw)
		return nil, &http.MaxBytesError{Limit: int64(op.Limit)}
	}
	up := newUpload(rw, rq, op)
	defer up.end()
	bo := &Body{account: up.open()}
	if err := up.readAll(bo); err != nil {
		bo.Release()
		return nil, err
	}
	if up.conn != nil {
		up.conn.bodyPending.Store(false)
	}
	return bo, nil
}

// CloseAfterResponse has the connection closed after the response to a request whose body is not
// read. net/http gives the client time to read the response before it does so only after a
// MaxBytesReader has reached its limit, for which a byte takes the place of the body.
func CloseAfterResponse(rw http.ResponseWriter) {
	rw.Header().Set("Connection", "close")
	placeholder := io.NopCloser(strings.NewReader("x"))
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(rw, placeholder, 0)) // always fails
}

// upload is a body that is being received.
type upload struct {
	conn       *Conn // nil if the listener has no limiter
	controller *http.ResponseController
	reader     io.Reader
	options    BodyOptions
	announced  int64 // negative if unknown
	window     time.Duration
	minBytes   int64

	armedAt     time.Time
	windowBegin time.Time
	windowBytes int64

	lastRead atomic.Int64 // in Unix nanoseconds
	evicted  atomic.Bool
}

func newUpload(rw http.ResponseWriter, rq *http.Request, op BodyOptions) *upload {
	now := time.Now()
	up := &upload{
		conn:       ConnOf(rq.Context()),
		controller: http.NewResponseController(rw),
		reader:     http.MaxBytesReader(rw, rq.Body, int64(op.Limit)),
		options:    op,
		announced:  rq.ContentLength,
		window:     progressWindow,
		minBytes:   minProgressBytes,
	}
	up.options.Weight = max(1, op.Weight)
	if up.conn != nil {
		up.window, up.minBytes = up.conn.limiter.limits.Window, up.conn.limiter.limits.MinBytes
	}
	up.window = max(up.window, op.MaxGap)
	up.windowBegin = now
	up.lastRead.Store(now.UnixNano())
	return up
}

// open returns an empty account in the budget of the listener.
func (up *upload) open() Account {
	if up.conn == nil {
		return Account{}
	}
	up.conn.limiter.uploads.add(up)
	return up.conn.limiter.budget.Open()
}

// end clears the read deadline, which must not apply to net/http's background read.
func (up *upload) end() {
	if up.conn != nil {
		up.conn.limiter.uploads.remove(up)
	}
	_ = up.controller.SetReadDeadline(time.Time{})
}

// readAll reads the body into a buffer that grows as it arrives.
func (up *upload) readAll(bo *Body) error {
	for {
		if err := up.grow(bo); err != nil {
			return err
		}
		count, err := up.read(bo.Data[len(bo.Data):cap(bo.Data)])
		bo.Data = bo.Data[:len(bo.Data)+count]
		switch {
		case int64(len(bo.Data)) == up.announced || errors.Is(err, io.EOF) && up.announced < 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// grow makes room for at least one more byte: the buffer is doubled, up to the announced
// length.
func (up *upload) grow(bo *Body) error {
	if len(bo.Data) < cap(bo.Data) {
		return nil
	}
	size := max(2*int64(cap(bo.Data)), unknownBodyBytes)
	if up.announced >= 0 {
		size = min(max(size, SmallBodyBytes), up.announced)
	} else {
		size = min(size, int64(up.options.Limit)+1) // a byte more shows that the body ends
	}
	use := LargeBody
	if size <= SmallBodyBytes {
		use = Small
	}
	if !bo.account.Hold(use, up.options.Weight*size+int64(cap(bo.Data))) {
		up.conn.Report(ReasonBodyMemory)
		up.conn.limiter.evictUpload(up)
		return errors.Trace(ErrNoRoom)
	}
	grown := make([]byte, len(bo.Data), size)
	copy(grown, bo.Data)
	bo.Data = grown
	bo.account.Shrink(up.options.Weight * size)
	return nil
}

// read reads once, and checks the progress at the end of each window.
func (up *upload) read(data []byte) (int, error) {
	now := time.Now()
	if pause := rearmPause(up.window); now.Sub(up.armedAt) >= pause {
		up.armedAt = now
		deadline := now.Add(up.window + pause)
		if !up.options.Deadline.IsZero() {
			deadline = earlier(deadline, up.options.Deadline)
		}
		_ = up.controller.SetReadDeadline(deadline)
	}
	count, err := up.reader.Read(data)
	if up.evicted.Load() {
		return 0, errors.Trace(ErrNoRoom)
	}
	now = time.Now()
	up.lastRead.Store(now.UnixNano())
	up.windowBytes += int64(count)
	tooSlow := errors.Is(err, os.ErrDeadlineExceeded) && (up.options.Deadline.IsZero() || now.Before(up.options.Deadline))
	if !tooSlow && (err != nil || now.Sub(up.windowBegin) < up.window) {
		return count, err
	}
	if tooSlow || up.windowBytes < up.minBytes && (up.announced < 0 || up.announced > up.minBytes) {
		if up.conn != nil {
			up.conn.Report(ReasonSlowSender)
		}
		return 0, errors.Trace(ErrTooSlow)
	}
	up.windowBegin, up.windowBytes = now, 0
	return count, nil
}

// uploads are the bodies of a listener that are being received.
type uploads struct {
	mu      sync.Mutex
	current map[*upload]struct{}
}

func newUploads() *uploads { return &uploads{current: map[*upload]struct{}{}} }

func (us *uploads) add(up *upload) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.current[up] = struct{}{}
}

func (us *uploads) remove(up *upload) {
	us.mu.Lock()
	defer us.mu.Unlock()
	delete(us.current, up)
}

// evictUpload gives up the body that has had no progress for longest, if that is longer than
// StuckAfter, so that there is room for others. Its request is refused as not run.
func (li *Limiter) evictUpload(besides *upload) {
	us := li.uploads
	us.mu.Lock()
	defer us.mu.Unlock()
	var stuck *upload
	oldest := time.Now().Add(-li.limits.StuckAfter).UnixNano()
	for up := range us.current {
		if at := up.lastRead.Load(); up != besides && at < oldest && !up.evicted.Load() {
			stuck, oldest = up, at
		}
	}
	if stuck == nil {
		return
	}
	stuck.evicted.Store(true)
	stuck.conn.Report(ReasonStuckBody)
	_ = stuck.conn.Conn.SetReadDeadline(time.Unix(1, 0)) // ends the read that waits
}
