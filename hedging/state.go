// Package hedging decides when a request whose server is silent is hedged, that is sent to
// other servers too, and which of the attempts goes on. It does no I/O and reads no clock.
package hedging

import "time"

// State decides which of the attempts at one request goes on: the present one, whose
// server may be silent, or a backup attempt at another server. Once a backup has taken over,
// or the hedge has ended, nothing changes any more. It is not safe for concurrent use.
type State[A comparable] struct {
	// waitingSince is when the server last went on, or when the attempt began.
	waitingSince time.Time
	timeout      time.Duration
	progressed   bool // since the last Await
	backups      map[A]bool
	replacement  A
	decided      bool // a backup has taken over
	ended        bool
}

// Await records that the attempt waits for its server, which is silent after the timeout;
// zero for never. It reports whether the next check has to be set anew. Otherwise the one
// that is set is soon enough, and Silence then tells when to check again.
func (st *State[A]) Await(now time.Time, timeout time.Duration) bool {
	if st.progressed || st.waitingSince.IsZero() {
		st.waitingSince = now
	}
	changed := timeout > 0 && timeout != st.timeout
	st.timeout, st.progressed = timeout, false
	return changed
}

// Timeout returns the time after which the server is silent; zero for never.
func (st *State[A]) Timeout() time.Duration { return st.timeout }

// IsOpen reports whether it is still undecided which attempt goes on.
func (st *State[A]) IsOpen() bool { return !st.decided && !st.ended }

// Silence returns for how long the server has been silent, and the time until that is too
// long: zero if it is, negative if that doesn't matter any more.
func (st *State[A]) Silence(now time.Time) (silence, left time.Duration) {
	silence = now.Sub(st.waitingSince)
	if !st.IsOpen() || st.timeout == 0 {
		return silence, -1
	}
	return silence, max(0, st.timeout-silence)
}

// Restart measures the silence anew from the next Await.
func (st *State[A]) Restart() { st.progressed = true }

// AddBackup adds a backup attempt.
func (st *State[A]) AddBackup(backup A) {
	if st.backups == nil {
		st.backups = map[A]bool{}
	}
	st.backups[backup] = true
}

// IsPending reports whether one backup attempt may still take over.
func (st *State[A]) IsPending(backup A) bool { return st.IsOpen() && st.backups[backup] }

// HasPending reports whether any backup attempt may still take over.
func (st *State[A]) HasPending() bool { return st.IsOpen() && len(st.backups) > 0 }

// Result is what becomes of a backup.
type Result int

// The results.
const (
	// Accepted is a backup whose answer goes to the caller.
	Accepted Result = iota
	// Cancelled is a backup that is not needed, because another attempt goes on.
	Cancelled
	// Failed is a backup without a response.
	Failed
)

// Finish returns what becomes of a backup whose response has begun, or that has failed,
// and the backups that are cancelled because it takes over.
func (st *State[A]) Finish(backup A, begun bool) (Result, []A) {
	pending := st.IsPending(backup)
	delete(st.backups, backup)
	switch {
	case !pending:
		return Cancelled, nil
	case !begun:
		return Failed, nil
	}
	st.replacement, st.decided = backup, true
	return Accepted, st.cancelBackups()
}

// Replacement returns the backup that has taken over, and false if none has.
func (st *State[A]) Replacement() (A, bool) { return st.replacement, st.decided }

// GoOn records that the server has gone on with its response. It returns the backups,
// which are cancelled. No backup may have taken over.
func (st *State[A]) GoOn() []A {
	st.Restart()
	return st.cancelBackups()
}

// End ends the hedge. It returns the backups, which are cancelled.
func (st *State[A]) End() []A {
	st.ended = true
	return st.cancelBackups()
}

// cancelBackups removes and returns all backups.
func (st *State[A]) cancelBackups() []A {
	var cancelled []A
	for backup := range st.backups {
		cancelled = append(cancelled, backup)
	}
	clear(st.backups)
	return cancelled
}
