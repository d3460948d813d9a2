// Package eventlog writes log lines at a bounded rate, without blocking the request
// path.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

const (
	maxQueuedLines = 512
	// linesPerSecond and burstLines limit the volume of the log, to about 40 KB/s
	// with lines of the usual length.
	linesPerSecond = 150
	burstLines     = 600
)

// Writer queues log lines and writes them on its own goroutine. It drops and counts
// lines that exceed the rate limit or find the queue full. A fraction of the burst is
// reserved for warnings and errors.
type Writer struct {
	clock   clockwork.Clock
	queue   chan []byte
	dropped atomic.Int64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// Option configures a Writer.
type Option func(*Writer)

// WithClock sets the clock of the rate limit. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(wr *Writer) { wr.clock = clock }
}

// New starts a writer to an output. The returned function writes the queued lines and
// stops the writer; it waits for at most a second, in case the output blocks.
func New(out io.Writer, opts ...Option) (*Writer, func()) {
	wr := &Writer{clock: clockwork.NewRealClock(), queue: make(chan []byte, maxQueuedLines), tokens: burstLines}
	for _, opt := range opts {
		opt(wr)
	}
	wr.refilledAt = wr.clock.Now()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		wr.run(out, stop)
	}()
	var once sync.Once
	return wr, func() {
		once.Do(func() { close(stop) })
		select {
		case <-done:
		case <-time.After(time.Second):
		}
	}
}

func (wr *Writer) run(out io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-wr.queue:
			_, _ = out.Write(line) // a failing log cannot report its own error
		case <-stop:
			wr.flush(out)
			return
		}
	}
}

func (wr *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-wr.queue:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}

// Write implements io.Writer. It queues a line at the info level.
func (wr *Writer) Write(line []byte) (int, error) {
	return wr.WriteLevel(zerolog.InfoLevel, line)
}

// reserveFraction is the fraction of the burst reserved for warnings and errors.
const reserveFraction = 0.25

// WriteLevel implements zerolog.LevelWriter. It never blocks and never returns an
// error.
func (wr *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if !wr.takeToken(level >= zerolog.WarnLevel) {
		wr.dropped.Add(1)
		return len(line), nil
	}
	select {
	case wr.queue <- append([]byte(nil), line...):
	default:
		wr.dropped.Add(1)
	}
	return len(line), nil
}

// takeToken takes a token from the token bucket, and reports whether there was one. Only
// urgent lines may use the reserve.
func (wr *Writer) takeToken(urgent bool) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	now := wr.clock.Now()
	wr.tokens = min(burstLines, wr.tokens+linesPerSecond*now.Sub(wr.refilledAt).Seconds())
	wr.refilledAt = now
	minTokens := 0.0
	if !urgent {
		minTokens = reserveFraction * burstLines
	}
	if wr.tokens < minTokens+1 {
		return false
	}
	wr.tokens--
	return true
}

// Dropped returns the number of lines dropped so far.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }
