package soak

import (
	"net/http"
	"strings"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

// acceptTime is how long a stopping host goes on accepting requests.
const acceptTime = 2500 * time.Millisecond

// margin is how long before and after a fault its effects are allowed.
const margin = 300 * time.Millisecond

// check compares what callers saw with what backend servers ran, and notes each
// broken promise.
func (pl *player) check() {
	for _, ou := range pl.dep.world.outcomes {
		pl.checkRuns(ou)
		pl.checkAnswer(ou)
		pl.checkLoss(ou)
	}
	requests, again := pl.dep.runs.sends()
	if allowed := retryRatio*float64(requests) + retrySlack; float64(again) > allowed {
		pl.find("%d sends beyond the first of %d requests; at most %.0f are allowed", again, requests, allowed)
	}
}

// atMostOnce says whether the requests of a path may run only once.
func atMostOnce(path string) bool {
	return path == fakestore.NonIdempotentPath || path == fakestore.NonResumableStreamPath
}

func isStream(path string) bool {
	return path == fakestore.ResumableStreamPath || path == fakestore.NonResumableStreamPath
}

func (pl *player) checkRuns(ou outcome) {
	received, ran := pl.dep.runs.of(ou.id)
	if atMostOnce(ou.path) && ran > 1 {
		pl.find("%s of %s ran %d times", ou.id, ou.path, ran)
	}
	if received > fakestore.MaxAttempts {
		pl.find("%s of %s was sent %d times", ou.id, ou.path, received)
	}
	if ou.status > 0 && !ou.signed && notRun(ou.body) && ran > 0 {
		pl.find("%s of %s ran, and was refused with %q", ou.id, ou.path, ou.body)
	}
}

// notRun says whether the text of a refusal is of a kind that promises that nothing
// ran.
func notRun(body string) bool {
	code, _, _ := strings.Cut(body, ":")
	for _, ki := range mp.Kinds() {
		if ki.Response().Code == code {
			return ki.Response().NotRun
		}
	}
	return false
}

func (pl *player) checkAnswer(ou outcome) {
	want := answerTo(ou.id)
	if isStream(ou.path) {
		want = wholeStream(events)
	}
	switch {
	case ou.status != http.StatusOK:
	case !ou.signed:
		pl.find("%s has an answer that no backend server signed", ou.id)
	case ou.err == nil && ou.body != want:
		pl.find("%s of %s got %q", ou.id, ou.path, ou.body)
	case ou.err != nil && !strings.HasPrefix(want, ou.body):
		pl.find("%s of %s got a part that isn't the beginning: %q", ou.id, ou.path, ou.body)
	}
	if ou.status == http.StatusUnauthorized && !pl.storeTroubled(ou.begin.Add(-configTime), ou.end) {
		pl.find("%s was turned away with the valid key %q", ou.id, ou.key)
	}
}

// checkLoss finds requests without an answer although nothing disturbed the way to
// their host.
func (pl *player) checkLoss(ou outcome) {
	if ou.status > 0 || pl.excused(ou) {
		return
	}
	pl.find("%s of %s at %s got no answer: %v", ou.id, ou.path, ou.host.name, ou.err)
}

func (pl *player) excused(ou outcome) bool {
	for _, tr := range pl.troubles {
		if !tr.process || tr.host != ou.host || !tr.overlaps(ou.begin.Add(-margin), ou.end.Add(margin)) {
			continue
		}
		// A stopping host owes an answer to what it accepts.
		if tr.kind != "stop" || ou.begin.After(tr.begin.Add(acceptTime)) {
			return true
		}
	}
	return false
}
