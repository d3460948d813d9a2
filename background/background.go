// Package background runs work on a goroutine until it is stopped.
package background

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls work on a goroutine and returns a function that ends its context and
// waits until it has returned.
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

// Every calls a function at an interval on a goroutine and returns a function that
// stops that and waits for the last call.
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
