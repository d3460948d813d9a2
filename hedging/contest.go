// Package hedging decides when a request whose server is silent is hedged, that is sent to
// other servers too, and which of the attempts goes on. It does no I/O and reads no clock.
package hedging

import "time"

// Contest decides which of the attempts at one request goes on: the present one, whose
// server may be silent, or a challenger at another server. Once a challenger has taken over,
// or the contest has ended, nothing changes any more. It is not safe for concurrent use.
type Contest[A comparable] struct {
	// waitingSince is when the server last went on, or when the attempt began.
	waitingSince time.Time
	timeout      time.Duration
	progressed   bool // since the last Await
	challengers  map[A]bool
	winner       A
	decided      bool // a challenger has taken over
	ended        bool
}

// Await records that the attempt waits for its server, which is silent after the timeout;
// zero for never. It reports whether the next check has to be set anew. Otherwise the one
// that is set is soon enough, and Silence then tells when to check again.
func (co *Contest[A]) Await(now time.Time, timeout time.Duration) bool {
	if co.progressed || co.waitingSince.IsZero() {
		co.waitingSince = now
	}
	changed := timeout > 0 && timeout != co.timeout
	co.timeout, co.progressed = timeout, false
	return changed
}

// Timeout returns the time after which the server is silent; zero for never.
func (co *Contest[A]) Timeout() time.Duration { return co.timeout }

// IsOpen reports whether it is still undecided which attempt goes on.
func (co *Contest[A]) IsOpen() bool { return !co.decided && !co.ended }

// Silence returns for how long the server has been silent, and the time until that is too
// long: zero if it is, negative if that doesn't matter any more.
func (co *Contest[A]) Silence(now time.Time) (silence, left time.Duration) {
	silence = now.Sub(co.waitingSince)
	if !co.IsOpen() || co.timeout == 0 {
		return silence, -1
	}
	return silence, max(0, co.timeout-silence)
}

// Restart measures the silence anew from the next Await.
func (co *Contest[A]) Restart() { co.progressed = true }

// Enter adds a challenger.
func (co *Contest[A]) Enter(challenger A) {
	if co.challengers == nil {
		co.challengers = map[A]bool{}
	}
	co.challengers[challenger] = true
}

// IsEntered reports whether a challenger may still take over.
func (co *Contest[A]) IsEntered(challenger A) bool { return co.IsOpen() && co.challengers[challenger] }

// IsChallenged reports whether a challenger may still take over.
func (co *Contest[A]) IsChallenged() bool { return co.IsOpen() && len(co.challengers) > 0 }

// Verdict is what becomes of a challenger.
type Verdict int

// Verdicts of a contest.
const (
	// TookOver is a challenger whose answer goes to the caller.
	TookOver Verdict = iota
	// GivenUp is a challenger that is not needed, because another attempt goes on.
	GivenUp
	// Failed is a challenger without a response.
	Failed
)

// Finish returns what becomes of a challenger whose response has begun, or that has failed,
// and the challengers that are given up because it takes over.
func (co *Contest[A]) Finish(challenger A, begun bool) (Verdict, []A) {
	entered := co.IsEntered(challenger)
	delete(co.challengers, challenger)
	switch {
	case !entered:
		return GivenUp, nil
	case !begun:
		return Failed, nil
	}
	co.winner, co.decided = challenger, true
	return TookOver, co.dismiss()
}

// Winner returns the challenger that has taken over, and false if none has.
func (co *Contest[A]) Winner() (A, bool) { return co.winner, co.decided }

// GoOn records that the server has gone on with its response. It returns the challengers,
// which are given up. No challenger may have taken over.
func (co *Contest[A]) GoOn() []A {
	co.Restart()
	return co.dismiss()
}

// End ends the contest. It returns the challengers, which are given up.
func (co *Contest[A]) End() []A {
	co.ended = true
	return co.dismiss()
}

// dismiss removes and returns all challengers.
func (co *Contest[A]) dismiss() []A {
	var dismissed []A
	for challenger := range co.challengers {
		dismissed = append(dismissed, challenger)
	}
	clear(co.challengers)
	return dismissed
}
