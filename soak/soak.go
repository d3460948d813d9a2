// Package soak injects faults into the real program: entry hosts run in
// separate processes behind proxies, with stand-ins for the store and the
// backend servers. A checker compares what callers received with what backend
// servers executed.
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
	// Seed determines which faults are injected and when.
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Hosts is the number of entry hosts.
	Hosts int
	// Callers is the number of callers, each with one request at a time.
	Callers int
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	// Answered counts complete responses of backend servers.
	Answered int
	// Faults lists the kinds of the injected faults, in order.
	Faults []string
	// Violations describes each guarantee that was broken.
	Violations []string
}

// Write prints the report.
func (re Report) Write(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests, %d answered, faults: %s\n", re.Seed, re.Requests, re.Answered, strings.Join(re.Faults, ", "))
	for _, violation := range re.Violations {
		fmt.Fprintln(out, "  BROKEN:", violation)
	}
}

// deployment holds everything that runs during a soak run.
type deployment struct {
	store         *fakestore.Store
	requestCounts *requestCounts
	backends      []*backend
	hosts         []*host
	callerState   *callerState
	cleanups      []func()
}

func (de *deployment) close() {
	for ix := len(de.cleanups) - 1; ix >= 0; ix-- {
		de.cleanups[ix]()
	}
}

const (
	serversPerService = 3
	// recoveryDuration is how long after the last fault everything must have
	// recovered: the longest time for which a server is avoided.
	recoveryDuration = 9 * time.Second
	probeCount       = 30
)

// Run runs one seed. It returns an error if the deployment can't be started;
// broken guarantees are in the report.
func Run(ctx context.Context, plan Plan) (Report, error) {
	de := &deployment{store: fakestore.New(), requestCounts: newRequestCounts()}
	defer de.close()
	if err := de.start(plan); err != nil {
		return Report{}, errors.Trace(err)
	}
	pl := newFaultInjector(de)
	ctx, cancel := context.WithTimeout(ctx, plan.FaultDuration)
	defer cancel()
	callerCtx, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	var callers sync.WaitGroup
	callers.Go(func() { de.callerState.pollReadiness(callerCtx) })
	for _, ho := range de.hosts {
		pl.awaitReady(ho)
	}
	for ix := range plan.Callers {
		callers.Go(func() { de.callerState.runCaller(callerCtx, ix, rand.New(rand.NewPCG(plan.Seed, uint64(ix)+1))) })
	}
	pl.run(ctx, rand.New(rand.NewPCG(plan.Seed, 0)))
	time.Sleep(recoveryDuration)
	pl.probe()
	stopCallers()
	callers.Wait()
	pl.check()
	return pl.report(plan.Seed), nil
}

func (de *deployment) start(plan Plan) error {
	store := httptest.NewServer(de.store)
	de.cleanups = append(de.cleanups, func() {
		store.CloseClientConnections()
		store.Close()
	})
	de.store.PutConfiguration(1)
	for _, service := range []string{fakestore.AppService, fakestore.EngineService} {
		for ix := range serversPerService {
			ba, stop, err := newBackend(fmt.Sprintf("%s-%d", service, ix), service, service == fakestore.EngineService, de.requestCounts)
			if err != nil {
				return errors.Trace(err)
			}
			de.cleanups = append(de.cleanups, stop)
			de.backends = append(de.backends, ba)
			de.store.PutServer(ba.id, service, ba.proxy.Address(), "ready")
		}
	}
	var seeds []string
	for ix := range plan.Hosts {
		ho, stop, err := newHost(fmt.Sprintf("edge-%d", ix+1), plan.Binary, plan.Directory, strings.TrimPrefix(store.URL, "http://"))
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
	de.callerState = &callerState{hosts: de.hosts, key: fakestore.APIKey}
	return nil
}

// probe checks that requests succeed again after the last fault.
func (pl *faultInjector) probe() {
	for number := range probeCount {
		ho := pl.dep.hosts[number%len(pl.dep.hosts)]
		path := []string{fakestore.IdempotentPath, fakestore.NonIdempotentPath, fakestore.NonResumableStreamPath}[number%3]
		_, key := pl.dep.callerState.pickHost(rand.New(rand.NewPCG(1, 1)))
		ou := sendRequest(&http.Transport{DisableKeepAlives: true}, outcome{id: fmt.Sprintf("probe-%d", number), path: path, key: key, host: ho})
		if ou.status != http.StatusOK || ou.err != nil {
			pl.reportViolation("after all faults %s of %s at %s got %d %q %v", ou.id, path, ho.name, ou.status, ou.body, ou.err)
		}
	}
}

func (pl *faultInjector) report(seed uint64) Report {
	re := Report{Seed: seed, Requests: len(pl.dep.callerState.outcomes), Violations: pl.violations}
	for _, ou := range pl.dep.callerState.outcomes {
		if ou.status == http.StatusOK && ou.err == nil {
			re.Answered++
		}
	}
	for _, tr := range pl.faults {
		re.Faults = append(re.Faults, tr.kind)
	}
	return re
}
