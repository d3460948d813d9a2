// Package eventlog writes log lines without ever blocking the request path, and
// within a bounded rate.
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
	queueLength = 512 // lines
	// lineRate and lineBurst bound the volume: about 40 KB/s at the usual length
	// of a line.
	lineRate  = 150 // lines a second
	lineBurst = 600 // lines
)

// Writer takes log lines and writes them on a goroutine of its own. Lines above
// the rate, or that find the queue full, are counted and dropped; warnings and
// errors may use a reserve of the rate.
type Writer struct {
	clock   clockwork.Clock
	lines   chan []byte
	dropped atomic.Int64

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// Option changes a writer under construction.
type Option func(*Writer)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(wr *Writer) { wr.clock = clock }
}

// New starts a writer and returns it with a function that flushes what is queued
// and stops it. The flush is given up after a second, for an output that blocks.
func New(out io.Writer, opts ...Option) (*Writer, func()) {
	wr := &Writer{clock: clockwork.NewRealClock(), lines: make(chan []byte, queueLength), tokens: lineBurst}
	for _, opt := range opts {
		opt(wr)
	}
	wr.filled = wr.clock.Now()
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
		case line := <-wr.lines:
			_, _ = out.Write(line) // there is nowhere to report a failing log
		case <-stop:
			wr.flush(out)
			return
		}
	}
}

func (wr *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-wr.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}

// Write implements io.Writer.
func (wr *Writer) Write(line []byte) (int, error) {
	return wr.WriteLevel(zerolog.InfoLevel, line)
}

// reserve is the part of the burst that is kept for warnings and errors.
const reserve = 0.25

// WriteLevel implements zerolog.LevelWriter.
func (wr *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if !wr.take(level >= zerolog.WarnLevel) {
		wr.dropped.Add(1)
		return len(line), nil
	}
	select {
	case wr.lines <- append([]byte(nil), line...):
	default:
		wr.dropped.Add(1)
	}
	return len(line), nil
}

func (wr *Writer) take(urgent bool) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	now := wr.clock.Now()
	wr.tokens = min(lineBurst, wr.tokens+lineRate*now.Sub(wr.filled).Seconds())
	wr.filled = now
	floor := 0.0
	if !urgent {
		floor = reserve * lineBurst
	}
	if wr.tokens < floor+1 {
		return false
	}
	wr.tokens--
	return true
}

// Dropped returns how many lines were dropped so far.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }
