package follow

import (
	"context"
	"strings"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform"
)

// runWatch applies changes as the store reports them. It only shortens the delay of a
// change: a watch may be cut off, hang or miss changes, and the next list call finds
// them. Only the first host in the reader order watches.
func (fo *Follower) runWatch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		after := fo.watchedUntil()
		if after.IsZero() || fo.readerOrder() > 0 {
			fo.sleep(ctx, watchCheckInterval)
			continue
		}
		page, err := fo.watchOnce(ctx, after)
		if err != nil {
			failures++
			fo.recordFailure("watch", err)
			fo.backoff(ctx, fo.readerOrder()+watchBackoffOrder, failures)
			continue
		}
		failures = 0
		fo.recordSuccess("watch")
		fo.advanceWatch(page.Position)
		fo.applyChanges(page)
	}
}

// watchOnce waits for changes after a position. If the store has no history after it, it
// requests a list call instead.
func (fo *Follower) watchOnce(ctx context.Context, after mp.Position) (platform.Page, error) {
	waiting, cancel := context.WithTimeout(ctx, watchTimeout+maxTransferTime)
	defer cancel()
	page, err := fo.store.Watch(waiting, "", after, watchTimeout)
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrRestored) {
		fo.logger.Info().Str("event", "watch_restarted").Uint64("era", uint64(after.Era)).Uint64("revision", uint64(after.Revision)).
			Err(err).Msg("watch can't continue; reading the list")
		fo.resetWatch()
		fo.Refresh()
	}
	return page, err
}

// watchedUntil returns the position after which the watch continues.
func (fo *Follower) watchedUntil() mp.Position {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.watchPosition
}

// advanceWatch lets the watch continue after a position, unless it has got further.
func (fo *Follower) advanceWatch(position mp.Position) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.watchPosition.Before(position) {
		fo.watchPosition = position
	}
}

// resetWatch ends the watch until the list is read again.
func (fo *Follower) resetWatch() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.watchPosition = mp.Position{}
}

// applyChanges applies the configuration and the server entries that a watch
// reported.
func (fo *Follower) applyChanges(page platform.Page) {
	fo.applyEvacuationChanges(page)
	servers := platform.Page{Position: page.Position}
	for _, it := range page.Items {
		if strings.HasPrefix(string(it.Key), platform.ServersPrefix) {
			servers.Items = append(servers.Items, it)
		}
	}
	fo.applyConfigurationFrom(page)
	now := fo.clock.Now()
	fo.submit(func(st *state) bool {
		st.confirmConfigurationAsOf(now, page.Position)
		return len(servers.Items) > 0 && st.applyServerChanges(now, servers)
	})
}
