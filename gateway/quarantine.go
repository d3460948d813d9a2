package gateway

import (
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/quarantine"
)

// minAnswerTime is how long a server must have gone on writing an answer to show that
// the prompt doesn't crash it.
const minAnswerTime = 300 * time.Millisecond

// sharedSegments returns the segments of a prompt that other requests may share: all but
// the last.
func sharedSegments(headers platform.RequestHeaders) []quarantine.Segment {
	prompt := headers.PromptSegments
	if len(prompt) < 2 {
		return nil
	}
	segments := make([]quarantine.Segment, 0, len(prompt)-1)
	for _, segment := range prompt[:len(prompt)-1] {
		segments = append(segments, quarantine.Segment(segment.ID))
	}
	return segments
}

// answerProgress is how far the answer of an attempt has come.
type answerProgress struct {
	beganAt  time.Time // zero until the first event
	recorded bool
}

// recordProgress records that a server has written a part of an answer. Once it has done
// so for minAnswerTime, or the answer is complete, the prompt is known to be sound.
func (ga *Gateway) recordProgress(re *request, complete bool) {
	progress := &re.hedge.at.progress
	if len(re.segments) == 0 || progress.recorded || re.hedge.at.choice.Server.IsHost {
		return
	}
	now := ga.clock.Now()
	if progress.beganAt.IsZero() {
		progress.beganAt = now
	}
	if !complete && now.Sub(progress.beganAt) < minAnswerTime {
		return
	}
	progress.recorded = true
	ga.quarantineMu.Lock()
	ga.quarantine.RecordAnswer(re.segments, progress.beganAt)
	released := ga.quarantine.Released()
	ga.quarantineMu.Unlock()
	ga.logReleased(released, string(re.headers.ID))
}

// recordCrash records an attempt whose server has ended. Servers crash when they begin an
// answer, so the prompt of one that had gone on is not the reason.
func (ga *Gateway) recordCrash(at brokenAttempt) {
	if at.wentOn {
		return
	}
	ga.quarantineMu.Lock()
	defer ga.quarantineMu.Unlock()
	ga.quarantine.RecordCrash(ga.clock.Now(), at.segments, quarantine.Crash{Server: at.server.ID, StartedAt: at.startedAt, EndedAt: at.endedAt})
}

// quarantineRefusal returns the reason not to send a request to any server because of its
// prompt, or nil.
func (ga *Gateway) quarantineRefusal(re *request) *mp.Error {
	if len(re.segments) == 0 {
		return nil
	}
	now := ga.clock.Now()
	ga.quarantineMu.Lock()
	segment, until, blocked := ga.quarantine.Blocked(now, re.segments)
	ga.quarantineMu.Unlock()
	if !blocked {
		return nil
	}
	refusal := mp.NewError(mp.KindQuarantined, "segment %x of the prompt crashes servers", uint64(segment))
	refusal.RetryAfter = until.Sub(now)
	return refusal
}

// isSuspected reports whether a request should not be repeated because servers crashed
// under a segment of its prompt one after the other.
func (ga *Gateway) isSuspected(re *request) bool {
	ga.quarantineMu.Lock()
	defer ga.quarantineMu.Unlock()
	return ga.quarantine.Suspected(ga.clock.Now(), re.segments)
}

// suspectCount returns the number of segments that are suspected or in quarantine.
func (ga *Gateway) suspectCount() int {
	ga.quarantineMu.Lock()
	defer ga.quarantineMu.Unlock()
	return ga.quarantine.Len()
}

// Suspects implements peer.LoadDelegate. The broadcaster calls it in each round, so it
// also judges what has been seen since the last one.
func (ga *Gateway) Suspects() []quarantine.Report {
	now := ga.clock.Now()
	ga.quarantineMu.Lock()
	findings := ga.quarantine.Judge(now)
	reports, released := ga.quarantine.Reports(now), ga.quarantine.Released()
	ga.quarantineMu.Unlock()
	ga.logFindings(findings, "own")
	ga.logReleased(released, "own")
	return reports
}

// mergeSuspects adds what another host reported.
func (ga *Gateway) mergeSuspects(now time.Time, from mp.HostID, reports []quarantine.Report) {
	if len(reports) == 0 {
		return
	}
	ga.quarantineMu.Lock()
	findings, released := ga.quarantine.Merge(now, reports), ga.quarantine.Released()
	ga.quarantineMu.Unlock()
	ga.logFindings(findings, string(from))
	ga.logReleased(released, string(from))
}

// logFindings logs segments that were put in quarantine, by this host's own judgement or
// another host's.
func (ga *Gateway) logFindings(findings []quarantine.Finding, source string) {
	for _, fi := range findings {
		servers := make([]string, len(fi.Crashes))
		for ix, cr := range fi.Crashes {
			servers[ix] = string(cr.Server)
		}
		ga.logger.Warn().Str("event", "segment_quarantined").Strs("segment", formatSegments([]quarantine.Segment{fi.Segment})).
			Strs("companions", formatSegments(fi.Companions)).Strs("servers", servers).Int("weight", fi.Weight).Str("source", source).
			Dur("left_ms", fi.Until.Sub(ga.clock.Now())).Msg("prompts with a segment that crashes servers are refused")
	}
}

// logReleased logs segments whose quarantine has ended early, and the request or the host
// whose evidence ended it.
func (ga *Gateway) logReleased(released []quarantine.Segment, source string) {
	if len(released) > 0 {
		ga.logger.Info().Str("event", "segment_released").Strs("segment", formatSegments(released)).Str("source", source).
			Msg("prompts with a segment that doesn't crash servers are sent again")
	}
}
