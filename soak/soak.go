// Package soak plays faults against the real program: entry hosts in processes of
// their own, behind proxies, with stand-ins of the store and of backend servers.
// A checker compares what callers saw with what backend servers ran.
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

// Plan says what is played.
type Plan struct {
	// Binary is the program under test.
	Binary string
	// Directory gets the settings and logs of the hosts.
	Directory string
	// Seed decides which faults come when.
	Seed          uint64
	FaultDuration time.Duration
	Hosts         int
	Callers       int
}

// Report is what a run found.
type Report struct {
	Seed     uint64
	Requests int
	// Answered counts whole answers of backend servers.
	Answered   int
	Faults     []string
	Violations []string
}

// Write prints the report.
func (re Report) Write(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests, %d answered, faults: %s\n", re.Seed, re.Requests, re.Answered, strings.Join(re.Faults, ", "))
	for _, finding := range re.Violations {
		fmt.Fprintln(out, "  BROKEN:", finding)
	}
}

// deployment is what runs during a soak.
type deployment struct {
	store    *fakestore.Store
	runs     *runs
	backends []*backend
	hosts    []*host
	world    *world
	cleanups []func()
}

func (de *deployment) close() {
	for ix := len(de.cleanups) - 1; ix >= 0; ix-- {
		de.cleanups[ix]()
	}
}

const (
	serversPerService = 3
	// recoveryTime is how long after the last fault everything must be well again:
	// the longest time that a server is avoided.
	recoveryTime = 9 * time.Second
	probes       = 30
)

// Run plays one seed.
func Run(ctx context.Context, plan Plan) (Report, error) {
	de := &deployment{store: fakestore.New(), runs: newRuns()}
	defer de.close()
	if err := de.start(plan); err != nil {
		return Report{}, errors.Trace(err)
	}
	pl := newPlayer(de)
	ctx, cancel := context.WithTimeout(ctx, plan.FaultDuration)
	defer cancel()
	calling, stopCalling := context.WithCancel(context.Background())
	defer stopCalling()
	var callers sync.WaitGroup
	callers.Go(func() { de.world.balance(calling) })
	for _, ho := range de.hosts {
		pl.awaitReady(ho)
	}
	for ix := range plan.Callers {
		callers.Go(func() { de.world.call(calling, ix, rand.New(rand.NewPCG(plan.Seed, uint64(ix)+1))) })
	}
	pl.play(ctx, rand.New(rand.NewPCG(plan.Seed, 0)))
	time.Sleep(recoveryTime)
	pl.probe()
	stopCalling()
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
			ba, stop, err := newBackend(fmt.Sprintf("%s-%d", service, ix), service, service == fakestore.EngineService, de.runs)
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
	de.world = &world{hosts: de.hosts, key: fakestore.APIKey}
	return nil
}

// probe checks that everything is well again after the last fault.
func (pl *player) probe() {
	for number := range probes {
		ho := pl.dep.hosts[number%len(pl.dep.hosts)]
		path := []string{fakestore.IdempotentPath, fakestore.NonIdempotentPath, fakestore.NonResumableStreamPath}[number%3]
		_, key := pl.dep.world.pick(rand.New(rand.NewPCG(1, 1)))
		ou := ask(&http.Transport{DisableKeepAlives: true}, outcome{id: fmt.Sprintf("probe-%d", number), path: path, key: key, host: ho})
		if ou.status != http.StatusOK || ou.err != nil {
			pl.find("after all faults %s of %s at %s got %d %q %v", ou.id, path, ho.name, ou.status, ou.body, ou.err)
		}
	}
}

func (pl *player) report(seed uint64) Report {
	re := Report{Seed: seed, Requests: len(pl.dep.world.outcomes), Violations: pl.findings}
	for _, ou := range pl.dep.world.outcomes {
		if ou.status == http.StatusOK && ou.err == nil {
			re.Answered++
		}
	}
	for _, tr := range pl.troubles {
		re.Faults = append(re.Faults, tr.kind)
	}
	return re
}
