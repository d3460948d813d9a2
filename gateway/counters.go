package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/partition"
	"github.com/mangopaddle/mangopaddle/routing"
)

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 15 * time.Second,
}

// counters holds the metrics of the host. It caches them by tag, because looking up
// a tagged scope costs more than incrementing a counter.
type counters struct {
	scope tally.Scope

	mu             sync.Mutex
	responses      map[responseKey]tally.Counter
	refusals       map[mp.Kind]tally.Counter
	failedAttempts map[string]tally.Counter
	notices        map[string]tally.Counter
	cold           map[string]tally.Counter
	brittle        map[string]tally.Counter
	checkedEnds    map[string]tally.Counter
	origins        map[string]tally.Counter
	originsTold    map[string]tally.Counter
	partitions     map[partition.Change]tally.Counter
	probes         map[string]tally.Counter
	forwarded      map[string]tally.Counter
	received       map[string]tally.Counter
	latency        map[routing.Kind]tally.Histogram
	firstEvent     tally.Histogram
}

// responseKey identifies the counter of relayed responses.
type responseKey struct {
	kind   routing.Kind
	status int
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope:          scope,
		responses:      map[responseKey]tally.Counter{},
		refusals:       map[mp.Kind]tally.Counter{},
		failedAttempts: map[string]tally.Counter{},
		notices:        map[string]tally.Counter{},
		cold:           map[string]tally.Counter{},
		brittle:        map[string]tally.Counter{},
		checkedEnds:    map[string]tally.Counter{},
		origins:        map[string]tally.Counter{},
		originsTold:    map[string]tally.Counter{},
		partitions:     map[partition.Change]tally.Counter{},
		probes:         map[string]tally.Counter{},
		forwarded:      map[string]tally.Counter{},
		received:       map[string]tally.Counter{},
		latency:        map[routing.Kind]tally.Histogram{},
		firstEvent:     scope.Histogram("stream_first_event_seconds", latencyBuckets),
	}
}

// cachedCounter returns the counter with the given key, creating it on first use.
// The caller must hold co.mu.
func cachedCounter[K comparable](co *counters, cache map[K]tally.Counter, key K, name string, tags func() map[string]string) tally.Counter {
	found, ok := cache[key]
	if !ok {
		found = co.scope.Tagged(tags()).Counter(name)
		cache[key] = found
	}
	return found
}

// countRefusal counts a request that got an error response of the gateway itself.
func (co *counters) countRefusal(kind mp.Kind) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.refusals, kind, "requests_refused", func() map[string]string {
		return map[string]string{"kind": kind.String()}
	}).Inc(1)
}

// countResponse counts a backend server's response that was relayed, and records
// its latency.
func (co *counters) countResponse(re *request, status int, took time.Duration) {
	co.mu.Lock()
	defer co.mu.Unlock()
	kind := re.route.Kind
	cachedCounter(co, co.responses, responseKey{kind: kind, status: status}, "requests_answered", func() map[string]string {
		return map[string]string{"kind": kind.String(), "status": strconv.Itoa(status)}
	}).Inc(1)
	latency, ok := co.latency[kind]
	if !ok {
		latency = co.scope.Tagged(map[string]string{"kind": kind.String()}).Histogram("request_seconds", latencyBuckets)
		co.latency[kind] = latency
	}
	latency.RecordDuration(took)
	if re.stream != nil && !re.stream.firstAt.IsZero() {
		co.firstEvent.RecordDuration(re.stream.firstAt.Sub(re.arrived))
	}
}

// countFailedAttempt counts a failed attempt by its outcome: "retried", or the kind of
// the error that prevents a retry.
func (co *counters) countFailedAttempt(outcome string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.failedAttempts, outcome, "attempts_failed", func() map[string]string {
		return map[string]string{"outcome": outcome}
	}).Inc(1)
}

// countNotice counts a notice that a server gave of itself: "leaving" or "pause".
func (co *counters) countNotice(kind string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.notices, kind, "server_notices", func() map[string]string {
		return map[string]string{"kind": kind}
	}).Inc(1)
}

// countCold counts a request that was "sent" to a cold server, or "refused" because only cold
// ones were left.
func (co *counters) countCold(outcome string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.cold, outcome, "cold_requests", func() map[string]string {
		return map[string]string{"outcome": outcome}
	}).Inc(1)
}

// countBrittle counts a request that was "sent" to a brittle server, "rejected" there, "refused"
// for want of a free place or "waited" for one, and an "odd_header" of such a server.
func (co *counters) countBrittle(outcome string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.brittle, outcome, "brittle_requests", func() map[string]string {
		return map[string]string{"outcome": outcome}
	}).Inc(1)
}

// countOverFairLevel counts a request that was refused only because its organisation is above
// its fair level.
func (co *counters) countOverFairLevel() {
	co.scope.Counter("requests_over_fair_level").Inc(1)
}

// countCheckedEnd counts a response that ended with its connection, by whether it was "whole"
// or "cut".
func (co *counters) countCheckedEnd(cut bool) {
	outcome := "whole"
	if cut {
		outcome = "cut"
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.checkedEnds, outcome, "response_ends_checked", func() map[string]string {
		return map[string]string{"outcome": outcome}
	}).Inc(1)
}

// countOrigin counts a stream that a caller resumes, by the source that told at which software
// version it began: this "host", a "peer", or "unknown".
func (co *counters) countOrigin(source string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.origins, source, "streams_resumed", func() map[string]string {
		return map[string]string{"source": source}
	}).Inc(1)
}

// countOriginTold counts a question of another host after the origin of a stream, by what the answer
// rests on: a "record", the "list" of servers, nothing ("unknown"), or too many such questions
// ("busy").
func (co *counters) countOriginTold(basis string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.originsTold, basis, "origins_told", func() map[string]string {
		return map[string]string{"basis": basis}
	}).Inc(1)
}

// countPartitionChange counts a change of what this host knows of a partition from all backend
// servers.
func (co *counters) countPartitionChange(ch partition.Change) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.partitions, ch, "partition_changes", func() map[string]string {
		return map[string]string{"change": ch.String()}
	}).Inc(1)
}

// countPartitionProbes counts probes for a partition by their outcome: "connected" or "failed".
func (co *counters) countPartitionProbes(outcome string, count int) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.probes, outcome, "partition_probes", func() map[string]string {
		return map[string]string{"outcome": outcome}
	}).Inc(int64(count))
}

// countForwarded counts a request that was forwarded to another host, by how that ended:
// "answered", "refused" as not run, "failed", "unreachable" or "cancelled".
func (co *counters) countForwarded(outcome string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.forwarded, outcome, "requests_forwarded", func() map[string]string {
		return map[string]string{"outcome": outcome}
	}).Inc(1)
}

// countReceivedForwarded counts a request that another host has forwarded: "accepted" or
// "refused".
func (co *counters) countReceivedForwarded(outcome string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	cachedCounter(co, co.received, outcome, "requests_received_forwarded", func() map[string]string {
		return map[string]string{"outcome": outcome}
	}).Inc(1)
}

// countBrokenStream counts a stream that was aborted before its end.
func (co *counters) countBrokenStream() {
	co.scope.Counter("streams_broken").Inc(1)
}

// indicator returns 1 for true and 0 for false.
func indicator(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (ga *Gateway) updateGauges() {
	snapshot := ga.view.Load()
	scope := ga.counters.scope
	scope.Gauge("configuration_version").Update(float64(snapshot.Version()))
	if !snapshot.ListConfirmedAt.IsZero() {
		scope.Gauge("list_age_seconds").Update(ga.clock.Since(snapshot.ListConfirmedAt).Seconds())
	}
	scope.Gauge("requests_in_flight").Update(float64(ga.inFlight.Load()))
	scope.Gauge("data_centres_evacuated").Update(float64(len(snapshot.Evacuated)))
	scope.Gauge("servers_cold").Update(float64(ga.coldCount()))
	scope.Gauge("services_brittle").Update(float64(ga.brittleCount()))
	for level, tokens := range ga.queuedTokens() {
		scope.Tagged(map[string]string{"level": strconv.Itoa(level)}).Gauge("prefill_tokens").Update(float64(tokens))
	}
	scope.Gauge("segments_suspected").Update(float64(ga.suspectCount()))
	scope.Gauge("partitioned").Update(indicator(ga.isPartitioned()))
	scope.Gauge("hosts_accepting_forwards").Update(float64(len(ga.forwardPeers())))
	scope.Gauge("hosts_known").Update(float64(ga.peers.MemberCount()))
	scope.Gauge("backend_connections_opened").Update(float64(ga.backends.DialCount()))
	if ga.forwards != nil {
		scope.Gauge("forward_connections_opened").Update(float64(ga.forwards.DialCount()))
	}
	scope.Gauge("client_bytes_held").Update(float64(ga.limiters.budget.Used()))
	scope.Gauge("client_connections").Update(float64(ga.limiters.callers.ConnectionCount()))
	scope.Gauge("log_lines_dropped").Update(float64(ga.droppedLines()))
	ga.updateSpeedGauges()
}
