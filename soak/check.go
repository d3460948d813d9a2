package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

// minDrainAcceptPeriod is how long a stopping host must at least continue to accept
// requests. Package gateway continues a little longer.
const minDrainAcceptPeriod = 2500 * time.Millisecond

// faultMargin is how long before and after a fault its effects are tolerated.
const faultMargin = 300 * time.Millisecond

// check compares what callers received with what backend servers executed, and the
// number of retries with its limit, for which the whole run counts as one retryWindow.
// It reports each violated guarantee.
func (fi *faultInjector) check() {
	for _, ou := range fi.deployment.callerState.outcomes {
		fi.checkExecutions(ou)
		fi.checkResponse(ou)
		fi.checkLostRequest(ou)
		fi.checkBrokenResponse(ou)
	}
	fi.checkLateRequests()
	requests, retries := fi.deployment.requestCounts.totals()
	if allowed := retryRatio*float64(requests) + retrySlack; float64(retries) > allowed {
		fi.reportViolation("%d retries of %d requests; the limit is %.0f", retries, requests, allowed)
	}
}

// checkLateRequests reports requests that reached a backend server long after it had begun
// to leave, unless the store was disrupted or the server's connections were delayed.
func (fi *faultInjector) checkLateRequests() {
	for _, la := range fi.deployment.requestCounts.late {
		delayed := slices.ContainsFunc(fi.faults, func(fa fault) bool {
			return fa.breaksResponsesOf == la.receiver && fa.overlaps(la.at.Add(-maxConfigDelay), la.at)
		})
		if !delayed && !fi.storeDisrupted(la.at.Add(-la.sinceLeaving), la.at) {
			fi.reportViolation("server %s received request %s %v after it had begun to leave", la.server, la.id, la.sinceLeaving)
		}
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

// checkExecutions checks how often backend servers received and executed a request.
func (fi *faultInjector) checkExecutions(ou outcome) {
	received, executed := fi.deployment.requestCounts.lookup(ou.id)
	if atMostOnce(ou.path) && executed > 1 {
		fi.reportViolation("request %s to %s was executed %d times", ou.id, ou.path, executed)
	}
	if received > fakestore.MaxAttempts {
		fi.reportViolation("request %s to %s was sent to backend servers %d times", ou.id, ou.path, received)
	}
	if ou.status > 0 && !ou.signed && notRun(ou.body) && executed > 0 {
		fi.reportViolation("request %s to %s was executed although it was refused with %q", ou.id, ou.path, ou.body)
	}
}

// notRun reports whether the body starts with an error code that guarantees that
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

// checkResponse checks the body and signature of a response, and that a valid
// API key was accepted.
func (fi *faultInjector) checkResponse(ou outcome) {
	want := responseBody(ou.id)
	if isStream(ou.path) {
		want = streamBody(eventsPerStream)
	}
	switch {
	case ou.status != http.StatusOK:
	case !ou.signed:
		fi.reportViolation("request %s got a response without a backend server's signature", ou.id)
	case ou.err == nil && ou.body != want:
		fi.reportViolation("request %s to %s got the wrong body %q", ou.id, ou.path, ou.body)
	case ou.err != nil && !strings.HasPrefix(want, ou.body):
		fi.reportViolation("request %s to %s got a partial body that is not a prefix of the expected one: %q", ou.id, ou.path, ou.body)
	}
	if ou.status == http.StatusUnauthorized && !fi.storeDisrupted(ou.begin.Add(-maxConfigDelay), ou.end) {
		fi.reportViolation("request %s was refused as unauthorized with the valid key %q", ou.id, ou.apiKey)
	}
}

// checkLostRequest reports a request that got no response although no fault
// affected its host or the connection to it.
func (fi *faultInjector) checkLostRequest(ou outcome) {
	if ou.status > 0 || fi.isExcused(ou) {
		return
	}
	fi.reportViolation("request %s to %s at host %s got no response: %v", ou.id, ou.path, ou.host.name, ou.err)
}

// isExcused reports whether a fault explains that a request got no response.
func (fi *faultInjector) isExcused(ou outcome) bool {
	for _, fa := range fi.faults {
		if !fa.affectsHost || fa.host != ou.host || !fa.overlaps(ou.begin.Add(-faultMargin), ou.end.Add(faultMargin)) {
			continue
		}
		if fa.kind != faultStop || fi.isExcusedByStop(ou, fa) {
			return true
		}
	}
	return false
}

// isExcusedByStop reports whether a stop of its host explains that a request got no
// response. A stopping host must respond to every request that it accepts first, and later
// to every request that it sends to a backend server, unless its time runs out.
func (fi *faultInjector) isExcusedByStop(ou outcome, stop fault) bool {
	if !ou.begin.After(stop.begin.Add(minDrainAcceptPeriod)) {
		return false
	}
	received, _ := fi.deployment.requestCounts.lookup(ou.id)
	return received == 0 || ou.end.After(stop.begin.Add(stopTimeout-maxSilence))
}

// checkBrokenResponse reports an incomplete response although no fault affected its host,
// none broke off a response of the backend servers that received the request, and its time
// was not up.
func (fi *faultInjector) checkBrokenResponse(ou outcome) {
	timedOut := ou.end.Sub(ou.begin) >= callerTimeout
	if ou.status == 0 || ou.err == nil || timedOut || fi.isExcused(ou) || fi.brokenByBackend(ou) {
		return
	}
	fi.reportViolation("request %s to %s at host %s got an incomplete response after %v: status %d, %d bytes, %v",
		ou.id, ou.path, ou.host.name, ou.end.Sub(ou.begin), ou.status, len(ou.body), ou.err)
}

// brokenByBackend reports whether a backend server that received the request may have
// broken off its response.
func (fi *faultInjector) brokenByBackend(ou outcome) bool {
	receivers := fi.deployment.requestCounts.receiversOf(ou.id)
	for _, fa := range fi.faults {
		if fa.breaksResponsesOf != nil && slices.Contains(receivers, fa.breaksResponsesOf) &&
			fa.overlaps(ou.begin.Add(-faultMargin), ou.end.Add(faultMargin)) {
			return true
		}
	}
	return false
}
