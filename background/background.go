// Package background runs functions on goroutines of their own, once or at an
// interval, until they are stopped.
package background

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls a function on a new goroutine. The returned function cancels its context
// and waits until it has returned.
func Run(work func(ctx context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		work(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Every calls a function at an interval on a new goroutine. The returned function stops
// the calls and waits for the last one to return.
func Every(clock clockwork.Clock, interval time.Duration, call func()) func() {
	return Run(func(ctx context.Context) {
		ticker := clock.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				call()
			}
		}
	})
}
