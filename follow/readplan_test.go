package follow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mangopaddle/mangopaddle/fixedseed"
	"github.com/mangopaddle/mangopaddle/follow"
)

// readingHost is a host of a simulated data centre.
type readingHost struct {
	confirmedAt time.Duration // when the host's list was current
	nextAt      time.Duration // when the host checks whether to read
	failures    int
	reaches     func(now time.Duration) bool // whether the store serves the host
}

// simulateReads plays hosts that read the store by the plan and tell the others of their
// data centre at each step. It returns the number of calls and the highest age of a list.
func simulateReads(plan follow.ReadPlan, hosts []*readingHost, duration time.Duration) (calls int, oldest time.Duration) {
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < duration; now += step {
		newest := time.Duration(0)
		for order, ho := range hosts {
			oldest = max(oldest, now-ho.confirmedAt)
			if now >= ho.nextAt && plan.UntilList(order, ho.failures, now-ho.confirmedAt) <= 0 {
				calls++
				if ho.reaches(now) {
					ho.confirmedAt, ho.failures = now, 0
				} else {
					ho.failures++
					ho.nextAt = now + plan.MaxBackoff(order, ho.failures)*3/4
				}
			}
			newest = max(newest, ho.confirmedAt)
		}
		for _, ho := range hosts {
			ho.confirmedAt = newest
		}
	}
	return calls, oldest
}

// TestReadsOfADataCentre plays an hour of trouble in a minute: the store serves all
// hosts, turns the first ones away, or is down for a while. Lists must stay within the
// bound while the store serves anybody, and calls must not grow with the hosts that are
// fed by others.
func TestReadsOfADataCentre(t *testing.T) {
	plan := follow.ReadPlan{ListInterval: 1850 * time.Millisecond}
	const bound = 5 * time.Second
	always := func(time.Duration) bool { return true }
	never := func(time.Duration) bool { return false }
	down := func(now time.Duration) bool { return now < 20*time.Second || now > 40*time.Second }
	tests := []struct {
		name     string
		hosts    int
		reaches  func(order int) func(time.Duration) bool
		maxCalls int // a second
		maxAge   time.Duration
	}{
		{"one host", 1, func(int) func(time.Duration) bool { return always }, 1, bound},
		{"all are served", 44, func(int) func(time.Duration) bool { return always }, 1, bound},
		{"all are served, a thousand hosts", 1000, func(int) func(time.Duration) bool { return always }, 1, bound},
		{"the first host is turned away", 44, func(order int) func(time.Duration) bool {
			if order == 0 {
				return never
			}
			return always
		}, 1, bound},
		{"the first third is turned away", 44, func(order int) func(time.Duration) bool {
			if order < 15 {
				return never
			}
			return always
		}, 2, bound},
		{"the store is down for 20 s", 44, func(int) func(time.Duration) bool { return down }, 12, 20*time.Second + bound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var hosts []*readingHost
			for order := range test.hosts {
				hosts = append(hosts, &readingHost{reaches: test.reaches(order)})
			}
			calls, oldest := simulateReads(plan, hosts, time.Minute)
			t.Logf("%d calls in a minute, lists up to %v old", calls, oldest)
			require.LessOrEqual(t, calls, 60*test.maxCalls)
			require.LessOrEqual(t, oldest, test.maxAge)
		})
	}
}

// TestEarlierHostsReadFirst guards against a host that reads or tries again before one
// that is ahead of it in the reader order.
func TestEarlierHostsReadFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := follow.ReadPlan{ListInterval: time.Duration(rapid.IntRange(100, 5000).Draw(rt, "interval")) * time.Millisecond}
		order, age := rapid.IntRange(0, 500).Draw(rt, "order"), time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "age"))*time.Millisecond
		failures := rapid.IntRange(1, 40).Draw(rt, "failures")
		if plan.UntilList(order+1, 0, age) < plan.UntilList(order, 0, age) {
			rt.Fatal(fmt.Sprint("host ", order+1, " reads before host ", order))
		}
		if plan.UntilList(order, failures, age) < plan.UntilList(order, 0, age) {
			rt.Fatal("a host reads sooner because its calls fail")
		}
		if plan.MaxBackoff(order+1, failures) < plan.MaxBackoff(order, failures) {
			rt.Fatal(fmt.Sprint("host ", order+1, " tries again before host ", order))
		}
		if limit := 2*plan.ListInterval + time.Second; plan.MaxBackoff(order, failures) > limit {
			rt.Fatal("the backoff has no bound")
		}
	})
}
