package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

// operatorConfig is the part of the configuration that changes during a run.
type operatorConfig struct {
	apiKeys []string
	// targetLatency and eventGapTarget apply to all routes.
	targetLatency, eventGapTarget time.Duration
	idleTimeout                   time.Duration
	// extraPaths are the paths of added idempotent routes.
	extraPaths []string
}

// initialConfig returns the configuration at the start. Its targets are so short that a
// host looks for another server while one is silent.
func initialConfig() operatorConfig {
	return operatorConfig{
		apiKeys: []string{fakestore.APIKey}, targetLatency: 500 * time.Millisecond,
		eventGapTarget: 100 * time.Millisecond, idleTimeout: 15 * time.Second,
	}
}

// apply sets the fields of a configuration of package fakestore.
func (oc operatorConfig) apply(fields map[string]any) {
	fakestore.WithAPIKeys(oc.apiKeys...)(fields)
	fields["limits"].(map[string]any)["idle_timeout_ms"] = oc.idleTimeout.Milliseconds()
	routes := fields["routes"].([]any)
	for _, path := range oc.extraPaths {
		routes = append(routes, map[string]any{
			"name": path, "host": fakestore.Host, "path_prefix": path, "kind": "idempotent", "service": fakestore.AppService,
			"timeout_ms": 8000, "priority": 1, "max_attempts": fakestore.MaxAttempts,
		})
	}
	for _, route := range routes {
		route.(map[string]any)["target_latency_ms"] = oc.targetLatency.Milliseconds()
		route.(map[string]any)["gap_aim_ms"] = oc.eventGapTarget.Milliseconds()
	}
	fields["routes"] = routes
}

// configure changes the configuration and publishes it as a new version.
func (fi *faultInjector) configure(change func(oc *operatorConfig)) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	change(&fi.config)
	fi.configVersion++
	fi.deployment.store.PutConfiguration(fi.configVersion, fi.config.apply)
}

// configStep is one change of a series and the time until the next.
type configStep struct {
	change func(oc *operatorConfig)
	pause  time.Duration
}

const (
	// maxConfigSteps is the largest number of changes in a series.
	maxConfigSteps = 8
	maxConfigPause = 400 * time.Millisecond
)

// drawConfigSeries chooses a series of changes of the targets and limits.
func drawConfigSeries(random *rand.Rand) []configStep {
	steps := make([]configStep, 2+random.IntN(maxConfigSteps-1))
	for ix := range steps {
		latency := randomDuration(random, 300*time.Millisecond, 1500*time.Millisecond)
		gap := randomDuration(random, 50*time.Millisecond, 500*time.Millisecond)
		idle := randomDuration(random, 4*time.Second, 20*time.Second)
		steps[ix] = configStep{
			change: []func(oc *operatorConfig){
				func(oc *operatorConfig) { oc.targetLatency = latency },
				func(oc *operatorConfig) { oc.eventGapTarget = gap },
				func(oc *operatorConfig) { oc.idleTimeout = idle },
			}[random.IntN(3)],
			pause: randomDuration(random, 10*time.Millisecond, maxConfigPause),
		}
	}
	return steps
}

// changeConfiguration publishes a series of changes. The first adds a route, which is
// removed at the end; it checks that every host serves the route after the one and
// refuses it after the other.
func (fi *faultInjector) changeConfiguration(steps []configStep) {
	fi.mu.Lock()
	fi.addedRoutes++
	path := fmt.Sprintf("/extra-%d/", fi.addedRoutes)
	fi.mu.Unlock()
	fi.configure(func(oc *operatorConfig) { oc.extraPaths = append(oc.extraPaths, path) })
	added := time.Now()
	for _, st := range steps {
		time.Sleep(st.pause)
		fi.configure(st.change)
	}
	time.Sleep(time.Until(added.Add(maxConfigDelay + timingTolerance)))
	fi.checkRoute(path, added, true)
	fi.configure(func(oc *operatorConfig) {
		oc.extraPaths = slices.DeleteFunc(oc.extraPaths, func(extra string) bool { return extra == path })
	})
	removed := time.Now()
	time.Sleep(maxConfigDelay + timingTolerance)
	fi.checkRoute(path, removed, false)
}

// checkRoute checks that every host knows a route, or doesn't, since the time of a change.
func (fi *faultInjector) checkRoute(path string, changed time.Time, exists bool) {
	apiKey := fi.deployment.callerState.currentAPIKey()
	var group sync.WaitGroup
	for _, ho := range fi.deployment.hosts {
		group.Go(func() {
			ou := sendRequest(&http.Transport{DisableKeepAlives: true}, outcome{
				id: fmt.Sprintf("route%s%s-%v", path, ho.name, exists), path: path, apiKey: apiKey, host: ho,
			})
			wrong := ou.status == http.StatusNotFound
			if !exists {
				wrong = ou.status == http.StatusOK
			}
			if wrong && !fi.storeDisrupted(changed, ou.end) {
				fi.reportViolation("host %s answered %d on route %s, %v after a change (route exists: %v)", ho.name, ou.status, path, ou.begin.Sub(changed), exists)
			}
		})
	}
	group.Wait()
}

// reload changes the order of the host's seeds in its settings file. With signalled set,
// it sends SIGHUP too.
func (fi *faultInjector) reload(ho *host, signalled bool) {
	if err := ho.rotateSeeds(); err != nil {
		fi.reportViolation("settings of host %s: %v", ho.name, err)
	}
	if signalled {
		ho.signalIfReady(syscall.SIGHUP)
	}
}

// planWork stops hosts in turn and reloads each before, beside and after its stop, while
// the configuration changes.
func (fi *faultInjector) planWork(hosts []*host, steps []configStep, downtime time.Duration) {
	var group sync.WaitGroup
	group.Go(func() { fi.recordWhile(fault{kind: faultConfiguration}, func() { fi.changeConfiguration(steps) }) })
	for _, ho := range hosts {
		fi.reload(ho, true)
		group.Go(func() { fi.restart(ho, faultStop, stopSignals[faultStop], downtime) })
		time.Sleep(downtime)
		fi.reload(ho, true)
	}
	group.Wait()
	for _, ho := range hosts {
		fi.reload(ho, true)
	}
}
