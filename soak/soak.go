// Package soak injects faults into hosts of the gateway and checks its guarantees. The
// hosts run as separate processes behind proxies, with fakes of the platform's store and
// of the backend servers. The checks compare what callers received with what backend
// servers executed:
//   - A request that must not be repeated is executed at most once, and one that is
//     refused as not run is not executed.
//   - A response is signed by a backend server and has the expected body, or a prefix of
//     it if the response breaks off. A request gets no response, or an incomplete one,
//     only if a fault explains that. A server that is silent for a second does not.
//   - Retries stay within their limits.
//   - A valid API key is accepted, and a revoked one is refused within the maximum
//     delay of a configuration change.
//   - A route of the configuration is served, and a removed one is not, within that
//     delay.
//   - A backend server that leaves gets no more requests after that delay.
//   - After the last fault, requests to every host succeed again.
//
// Package replay, in contrast, simulates faults in virtual time.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

// Plan configures a run.
type Plan struct {
	// Binary is the path of the program under test.
	Binary string
	// Directory is where the hosts' settings and logs are written.
	Directory string
	// Seed determines which faults are injected and when, and seeds the callers'
	// choice of requests.
	Seed uint64
	// Kinds are the kinds of faults to inject, one of Kinds each; all if empty.
	Kinds []string
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Hosts is the number of gateway hosts.
	Hosts int
	// Callers is the number of callers, each with one request at a time.
	Callers int
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	// CompleteResponses counts the requests with a complete response of status 200.
	CompleteResponses int
	// Faults lists the kinds of the injected faults, in order.
	Faults []string
	// LongestStall is the longest time by which a timer of this process was late: on an
	// overloaded machine, requests run into their timeouts without a fault.
	LongestStall time.Duration
	// Violations describes each violation of a guarantee.
	Violations []string
}

// Write writes the report as text. It ignores errors of out.
func (re Report) Write(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests, %d answered, longest stall %v, faults: %s\n",
		re.Seed, re.Requests, re.CompleteResponses, re.LongestStall.Round(time.Millisecond), strings.Join(re.Faults, ", "))
	for _, violation := range re.Violations {
		fmt.Fprintln(out, "  BROKEN:", violation)
	}
}

// deployment holds everything that runs during a soak run.
type deployment struct {
	store         *fakestore.Store
	registry      *serverRegistry
	requestCounts *requestCounts
	backends      []*backend
	hosts         []*host
	callerState   *callerState
	cleanups      []func()
}

// backendsOf returns the backend servers of a service.
func (de *deployment) backendsOf(service string) []*backend {
	var backends []*backend
	for _, ba := range de.backends {
		if ba.service == service {
			backends = append(backends, ba)
		}
	}
	return backends
}

func (de *deployment) close() {
	for ix := len(de.cleanups) - 1; ix >= 0; ix-- {
		de.cleanups[ix]()
	}
}

const (
	// serversPerService is the number of backend servers of each service.
	serversPerService = 3
	// recoveryDuration is the time after the last fault within which everything
	// must have recovered. The longest ejection of a backend server takes 8
	// seconds of it.
	recoveryDuration = 9 * time.Second
	// probeCount is the number of requests that check the recovery, over all hosts.
	probeCount = 30
)

// Run starts a deployment, injects the faults of one seed and checks the outcomes.
// It returns an error if the deployment can't be started; violated guarantees are
// in the report.
func Run(ctx context.Context, plan Plan) (Report, error) {
	store := fakestore.New()
	de := &deployment{store: store, registry: newServerRegistry(store), requestCounts: newRequestCounts()}
	defer de.close()
	if err := de.start(plan); err != nil {
		return Report{}, errors.Trace(err)
	}
	fi := newFaultInjector(de, plan.Kinds)
	ctx, cancel := context.WithTimeout(ctx, plan.FaultDuration)
	defer cancel()
	callerCtx, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	var callers sync.WaitGroup
	callers.Go(func() { de.callerState.pollReadiness(callerCtx) })
	var longestStall time.Duration
	callers.Go(func() { longestStall = measureStalls(callerCtx) })
	for _, ho := range de.hosts {
		fi.awaitReady(ho)
	}
	for ix := range plan.Callers {
		callers.Go(func() { de.callerState.runCaller(callerCtx, ix, rand.New(rand.NewPCG(plan.Seed, uint64(ix)+1))) })
	}
	fi.run(ctx, rand.New(rand.NewPCG(plan.Seed, 0)))
	time.Sleep(recoveryDuration)
	fi.probe()
	stopCallers()
	callers.Wait()
	fi.check()
	re := fi.report(plan.Seed)
	re.LongestStall = longestStall
	return re, nil
}

// measureStalls returns the longest time by which a timer was late until the context ends.
func measureStalls(ctx context.Context) time.Duration {
	var longest time.Duration
	for ctx.Err() == nil {
		begin := time.Now()
		time.Sleep(pollInterval)
		longest = max(longest, time.Since(begin)-pollInterval)
	}
	return longest
}

// start starts the store, the backend servers and the hosts.
func (de *deployment) start(plan Plan) error {
	storeServer := httptest.NewServer(de.store)
	de.cleanups = append(de.cleanups, func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	de.store.PutConfiguration(1, initialConfig().apply)
	for _, service := range []string{fakestore.AppService, fakestore.EngineService} {
		for ix := range serversPerService {
			ba, stop, err := newBackend(fmt.Sprintf("%s-%d", service, ix), service, service == fakestore.EngineService, de.requestCounts, de.registry)
			if err != nil {
				return errors.Trace(err)
			}
			de.cleanups = append(de.cleanups, stop)
			de.backends = append(de.backends, ba)
			de.registry.put(ba, ba.id, "ready")
		}
	}
	var seeds []string
	for ix := range plan.Hosts {
		ho, stop, err := newHost(fmt.Sprintf("edge-%d", ix+1), plan.Binary, plan.Directory, strings.TrimPrefix(storeServer.URL, "http://"))
		if err != nil {
			return errors.Trace(err)
		}
		de.cleanups = append(de.cleanups, stop)
		de.hosts = append(de.hosts, ho)
		seeds = append(seeds, ho.settings.PeerAddress)
	}
	for _, ho := range de.hosts {
		ho.settings.Seeds = seeds
		if err := ho.start(); err != nil {
			return errors.Trace(err)
		}
	}
	de.callerState = &callerState{hosts: de.hosts, apiKey: fakestore.APIKey}
	return nil
}

// probe checks that requests to every host succeed again after the last fault.
func (fi *faultInjector) probe() {
	var group sync.WaitGroup
	for number := range probeCount {
		group.Go(func() { fi.probeOnce(number) })
	}
	group.Wait()
}

func (fi *faultInjector) probeOnce(number int) {
	ho := fi.deployment.hosts[number%len(fi.deployment.hosts)]
	path := []string{fakestore.IdempotentPath, fakestore.NonIdempotentPath, fakestore.NonResumableStreamPath}[number%3]
	ou := sendRequest(&http.Transport{DisableKeepAlives: true}, outcome{
		id: fmt.Sprintf("probe-%d", number), path: path, apiKey: fi.deployment.callerState.currentAPIKey(), host: ho,
	})
	if ou.status != http.StatusOK || ou.err != nil {
		fi.reportViolation("request %s to %s at host %s failed after the last fault: status %d, body %q, error %v", ou.id, path, ho.name, ou.status, ou.body, ou.err)
	}
}

func (fi *faultInjector) report(seed uint64) Report {
	re := Report{Seed: seed, Requests: len(fi.deployment.callerState.outcomes), Violations: fi.violations}
	for _, ou := range fi.deployment.callerState.outcomes {
		if ou.status == http.StatusOK && ou.err == nil {
			re.CompleteResponses++
		}
	}
	for _, fa := range fi.faults {
		re.Faults = append(re.Faults, fa.kind)
	}
	return re
}
