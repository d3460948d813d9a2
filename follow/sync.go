package follow

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MinSyncInterval is the default shortest time between two list calls that Sync requests.
const MinSyncInterval = 100 * time.Millisecond

// Sync reads the list of servers from the store and returns once the view shows it as of the
// call or later. Concurrent calls share a list call. Sync returns the error of ctx if that ends
// before, for example because the store is unavailable to this host.
func (fo *Follower) Sync(ctx context.Context) error {
	calledAt := fo.clock.Now()
	for {
		listed := fo.nextList()
		if !fo.view.Load().ListReadAt.Before(calledAt) {
			return nil
		}
		if left := fo.untilSync(); left > 0 {
			if err := wait(ctx, fo.clock.After(left)); err != nil {
				return errors.Trace(err)
			}
			continue
		}
		fo.Refresh()
		if err := wait(ctx, listed); err != nil {
			return errors.Trace(err)
		}
	}
}

// wait waits for a channel; it returns an error if ctx ends before.
func wait[T any](ctx context.Context, ready <-chan T) error {
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "the list of servers can't be read in time")
	}
}

// untilSync returns how long a list call that Sync requests must wait.
func (fo *Follower) untilSync() time.Duration {
	return max(0, fo.syncInterval()-fo.clock.Since(fo.view.Load().ListReadAt))
}

// nextList returns a channel that is closed when the next list call has ended.
func (fo *Follower) nextList() <-chan struct{} {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.listed
}

// announceList tells those that wait for a list call that one has ended.
func (fo *Follower) announceList() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	close(fo.listed)
	fo.listed = make(chan struct{})
}
