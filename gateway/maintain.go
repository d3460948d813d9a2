package gateway

import (
	"time"
)

// pauseThreshold is the time between two maintenance runs above which the machine
// is taken to have been paused.
const pauseThreshold = 2500 * time.Millisecond

// maintain closes connections that have been idle for too long and updates the
// gauges. After a pause of the machine it closes all idle connections, which may be
// dead, and refreshes the data from the store. It compares both clocks, because the
// monotonic clock does not advance while the machine is suspended, but the wall clock
// does.
func (ga *Gateway) maintain() {
	now := ga.clock.Now()
	gap := max(now.Sub(ga.maintainedAt), now.Round(0).Sub(ga.maintainedAt.Round(0)))
	if !ga.maintainedAt.IsZero() && gap > pauseThreshold {
		ga.logger.Warn().Str("event", "paused").Dur("gap_ms", gap).Msg("machine was paused; closing idle connections and refreshing store data")
		ga.backends.CloseIdle()
		ga.closeIdleForwards()
		ga.follower.Refresh()
	}
	ga.maintainedAt = now
	ga.backends.Prune()
	ga.pruneForwards()
	ga.expireCold()
	ga.expireBrittle(now)
	ga.updateGauges()
	ga.observeFairness(now)
}
