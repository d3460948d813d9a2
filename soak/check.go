package soak

import (
	"net/http"
	"strings"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

// lameDuckDuration is how long a stopping host continues to accept requests.
const lameDuckDuration = 2500 * time.Millisecond

// faultMargin is how long before and after a fault its effects are tolerated.
const faultMargin = 300 * time.Millisecond

// check compares what callers received with what backend servers executed, and
// reports each violated guarantee.
func (pl *faultInjector) check() {
	for _, ou := range pl.dep.callerState.outcomes {
		pl.checkExecutions(ou)
		pl.checkResponse(ou)
		pl.checkLostRequest(ou)
	}
	requests, resends := pl.dep.requestCounts.totals()
	if allowed := retryRatio*float64(requests) + retrySlack; float64(resends) > allowed {
		pl.reportViolation("%d resends of %d requests; the limit is %.0f", resends, requests, allowed)
	}
}

// atMostOnce reports whether requests with a path must not be executed more
// than once.
func atMostOnce(path string) bool {
	return path == fakestore.NonIdempotentPath || path == fakestore.NonResumableStreamPath
}

func isStream(path string) bool {
	return path == fakestore.ResumableStreamPath || path == fakestore.NonResumableStreamPath
}

func (pl *faultInjector) checkExecutions(ou outcome) {
	received, executed := pl.dep.requestCounts.lookup(ou.id)
	if atMostOnce(ou.path) && executed > 1 {
		pl.reportViolation("%s of %s was executed %d times", ou.id, ou.path, executed)
	}
	if received > fakestore.MaxAttempts {
		pl.reportViolation("%s of %s was sent %d times", ou.id, ou.path, received)
	}
	if ou.status > 0 && !ou.signed && notRun(ou.body) && executed > 0 {
		pl.reportViolation("%s of %s was executed although it was refused with %q", ou.id, ou.path, ou.body)
	}
}

// notRun reports whether the body is a refusal of a kind that guarantees that
// the request was not executed.
func notRun(body string) bool {
	code, _, _ := strings.Cut(body, ":")
	for _, ki := range mp.Kinds() {
		if ki.Response().Code == code {
			return ki.Response().NotRun
		}
	}
	return false
}

func (pl *faultInjector) checkResponse(ou outcome) {
	want := responseBody(ou.id)
	if isStream(ou.path) {
		want = streamBody(eventsPerStream)
	}
	switch {
	case ou.status != http.StatusOK:
	case !ou.signed:
		pl.reportViolation("%s got a response without a backend server's signature", ou.id)
	case ou.err == nil && ou.body != want:
		pl.reportViolation("%s of %s got the wrong body %q", ou.id, ou.path, ou.body)
	case ou.err != nil && !strings.HasPrefix(want, ou.body):
		pl.reportViolation("%s of %s got a partial body that is not a prefix of the expected one: %q", ou.id, ou.path, ou.body)
	}
	if ou.status == http.StatusUnauthorized && !pl.storeDisrupted(ou.begin.Add(-maxConfigDelay), ou.end) {
		pl.reportViolation("%s was refused as unauthorized with the valid key %q", ou.id, ou.key)
	}
}

// checkLostRequest reports a request that got no response although no fault
// affected its host or the connection to it.
func (pl *faultInjector) checkLostRequest(ou outcome) {
	if ou.status > 0 || pl.isExcused(ou) {
		return
	}
	pl.reportViolation("%s of %s at %s got no response: %v", ou.id, ou.path, ou.host.name, ou.err)
}

func (pl *faultInjector) isExcused(ou outcome) bool {
	for _, tr := range pl.faults {
		if !tr.affectsHost || tr.host != ou.host || !tr.overlaps(ou.begin.Add(-faultMargin), ou.end.Add(faultMargin)) {
			continue
		}
		// A stopping host must respond to every request that it accepts.
		if tr.kind != "stop" || ou.begin.After(tr.begin.Add(lameDuckDuration)) {
			return true
		}
	}
	return false
}
