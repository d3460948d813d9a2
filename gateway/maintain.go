package gateway

import (
	"time"
)

// pauseLimit is the gap between two rounds of maintenance that counts as a pause
// of the machine.
const pauseLimit = 2500 * time.Millisecond

// maintain closes old idle connections. After a pause of the machine none is
// trusted: the monotonic clock doesn't count a suspension, the wall clock does.
func (ga *Gateway) maintain() {
	now := ga.clock.Now()
	gap := max(now.Sub(ga.maintainedAt), now.Round(0).Sub(ga.maintainedAt.Round(0)))
	if !ga.maintainedAt.IsZero() && gap > pauseLimit {
		ga.logger.Warn().Str("event", "paused").Dur("gap_ms", gap).Msg("the machine was paused; idle connections are closed")
		ga.backends.CloseIdle()
		ga.follower.Refresh()
	}
	ga.maintainedAt = now
	ga.backends.Prune()
	ga.report()
}
