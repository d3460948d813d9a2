package placement

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// returnSpreadRatio is the fraction of a pause over which the callers that were
	// refused in it are spread after its end, up to maxReturnSpread.
	returnSpreadRatio = 0.5
	maxReturnSpread   = time.Second
	// returnLevels is the number of priorities that return one after the other; the last
	// one stands for all that are less urgent.
	returnLevels = 3
	// maxReturnDelay bounds ReturnDelay: other servers may be listed in the meantime.
	maxReturnDelay = 30 * time.Second
)

// RecordPause records that a server wants no requests from this host for a time. Of
// several pauses the one that ends last holds; a new start of the server ends it.
// RecordPause reports whether the server was not in a pause before.
func (pl *Placer) RecordPause(now time.Time, description Server, pause time.Duration) bool {
	no := pl.notice(now, description)
	no.heardAt = now
	begins := !now.Before(no.pausedUntil)
	if until := now.Add(pause); until.After(no.pausedUntil) {
		no.pausedUntil = until
	}
	return begins
}

// pauseLeft returns the time until the server wants requests again; zero or negative if
// it does now.
func (pl *Placer) pauseLeft(now time.Time, se *server) time.Duration {
	no, ok := pl.notices[se.lifetime()]
	if !ok || no.pausedUntil.IsZero() {
		return 0
	}
	return no.pausedUntil.Sub(now)
}

// isUnavailable reports whether the server is cold, about to stop, in a pause or avoided.
func (pl *Placer) isUnavailable(now time.Time, se *server) bool {
	return pl.isCold(now, se) || pl.isLeaving(se) || pl.pauseLeft(now, se) > 0 || se.isAvoided(now)
}

// PauseLeft returns the time until the first server of a service wants requests again;
// zero unless all servers that are not about to stop are in a pause.
func (pl *Placer) PauseLeft(now time.Time, service mp.ServiceName) time.Duration {
	var shortest time.Duration
	for _, se := range pl.staying(pl.services[service]) {
		left := pl.pauseLeft(now, se)
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// ReturnDelay returns when a caller should come back that is refused because all servers
// are in a pause, given the time until the first of them wants requests again. Callers
// return spread over a while, the more urgent ones first, and not all at the end of the
// pause.
func (pl *Placer) ReturnDelay(pauseLeft time.Duration, priority int) time.Duration {
	if pauseLeft <= 0 {
		return 0
	}
	spread := min(scale(pauseLeft, returnSpreadRatio), maxReturnSpread)
	level := min(max(0, priority), returnLevels-1)
	return min(pauseLeft+scale(spread, (float64(level)+pl.random.Float64())/returnLevels), maxReturnDelay)
}
