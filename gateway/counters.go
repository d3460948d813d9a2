package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/routing"
)

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 15 * time.Second,
}

// counters are the metrics of the host. Scopes are kept by tag, because to look
// one up costs more than to count.
type counters struct {
	scope tally.Scope

	mu       sync.Mutex
	answers  map[answerKey]tally.Counter
	kinds    map[mp.Kind]tally.Counter
	outcomes map[string]tally.Counter
	latency  map[routing.Kind]tally.Histogram
	first    tally.Histogram
}

type answerKey struct {
	kind   routing.Kind
	status int
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope:    scope,
		answers:  map[answerKey]tally.Counter{},
		kinds:    map[mp.Kind]tally.Counter{},
		outcomes: map[string]tally.Counter{},
		latency:  map[routing.Kind]tally.Histogram{},
		first:    scope.Histogram("stream_first_event_seconds", latencyBuckets),
	}
}

// counter returns a kept counter, made at its first use. The caller holds the lock.
func counter[K comparable](co *counters, kept map[K]tally.Counter, key K, name string, tags func() map[string]string) tally.Counter {
	found, ok := kept[key]
	if !ok {
		found = co.scope.Tagged(tags()).Counter(name)
		kept[key] = found
	}
	return found
}

// refused counts a request that got the host's own answer.
func (co *counters) refused(kind mp.Kind) {
	co.mu.Lock()
	defer co.mu.Unlock()
	counter(co, co.kinds, kind, "requests_refused", func() map[string]string {
		return map[string]string{"kind": kind.String()}
	}).Inc(1)
}

// answered counts an answer of a backend server that was passed on.
func (co *counters) answered(re *request, status int, took time.Duration) {
	co.mu.Lock()
	defer co.mu.Unlock()
	kind := re.route.Kind
	counter(co, co.answers, answerKey{kind: kind, status: status}, "requests_answered", func() map[string]string {
		return map[string]string{"kind": kind.String(), "status": strconv.Itoa(status)}
	}).Inc(1)
	latency, ok := co.latency[kind]
	if !ok {
		latency = co.scope.Tagged(map[string]string{"kind": kind.String()}).Histogram("request_seconds", latencyBuckets)
		co.latency[kind] = latency
	}
	latency.RecordDuration(took)
	if re.stream != nil && !re.stream.firstAt.IsZero() {
		co.first.RecordDuration(re.stream.firstAt.Sub(re.arrived))
	}
}

// attemptFailed counts a failed attempt and whether another one followed.
func (co *counters) attemptFailed(outcome string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	counter(co, co.outcomes, outcome, "attempts_failed", func() map[string]string {
		return map[string]string{"outcome": outcome}
	}).Inc(1)
}

// broken counts a stream that ended before its end.
func (co *counters) broken() {
	co.scope.Counter("streams_broken").Inc(1)
}

// report sets the gauges.
func (ga *Gateway) report() {
	snapshot := ga.view.Load()
	scope := ga.counters.scope
	scope.Gauge("configuration_version").Update(float64(snapshot.Version()))
	if !snapshot.ListConfirmedAt.IsZero() {
		scope.Gauge("list_age_seconds").Update(ga.clock.Since(snapshot.ListConfirmedAt).Seconds())
	}
	scope.Gauge("requests_in_flight").Update(float64(ga.inFlight.Load()))
	scope.Gauge("hosts_known").Update(float64(ga.peers.MemberCount()))
	scope.Gauge("backend_connections_opened").Update(float64(ga.backends.DialCount()))
	scope.Gauge("log_lines_dropped").Update(float64(ga.dropped()))
}
