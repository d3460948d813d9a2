package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

// fault is a fault that was injected.
type fault struct {
	kind string
	// host is the host at which callers notice the fault; nil if it affects
	// none or all of them.
	host *host
	// affectsHost marks a fault of the host's process or of the connections to
	// it.
	affectsHost bool
	// store marks a fault during which hosts may miss changes in the store.
	store bool
	begin time.Time
	end   time.Time // zero while the fault is active
}

// overlaps reports whether the fault was active at any time between begin and
// end.
func (tr fault) overlaps(begin, end time.Time) bool {
	return tr.begin.Before(end) && (tr.end.IsZero() || tr.end.After(begin))
}

// faultInjector injects faults, and records them and the violations found.
type faultInjector struct {
	dep *deployment

	mu              sync.Mutex
	faults          []fault
	violations      []string
	configVersion   int
	keyCount        int
	replacedServers int
	processLocks    map[*host]*sync.Mutex // held while a fault stops or pauses the process
	rotationMu      sync.Mutex
}

func newFaultInjector(de *deployment) *faultInjector {
	pl := &faultInjector{dep: de, configVersion: 1, processLocks: map[*host]*sync.Mutex{}}
	for _, ho := range de.hosts {
		pl.processLocks[ho] = &sync.Mutex{}
	}
	return pl
}

// reportViolation records that a guarantee was broken.
func (pl *faultInjector) reportViolation(format string, args ...any) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.violations = append(pl.violations, fmt.Sprintf(format, args...))
}

// recordWhile records a fault that is active while run executes.
func (pl *faultInjector) recordWhile(tr fault, run func()) {
	tr.begin = time.Now()
	pl.mu.Lock()
	ix := len(pl.faults)
	pl.faults = append(pl.faults, tr)
	pl.mu.Unlock()
	run()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.faults[ix].end = time.Now()
}

const (
	// restartTimeout is how long to wait for a started host to become ready.
	restartTimeout   = 4 * time.Second
	minFaultInterval = 700 * time.Millisecond
	maxFaultInterval = 1800 * time.Millisecond
)

// run injects random faults until the context ends, and returns when all of
// them are over.
func (pl *faultInjector) run(ctx context.Context, random *rand.Rand) {
	var group sync.WaitGroup
	for {
		sleep(ctx, randomDuration(random, minFaultInterval, maxFaultInterval))
		if ctx.Err() != nil {
			break
		}
		fault := pl.nextFault(random)
		group.Go(fault)
	}
	group.Wait()
}

func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// nextFault returns the next fault to inject. All random choices come from the
// seed.
func (pl *faultInjector) nextFault(random *rand.Rand) func() {
	ho := pl.dep.hosts[random.IntN(len(pl.dep.hosts))]
	ba := pl.dep.backends[random.IntN(len(pl.dep.backends))]
	duration := randomDuration(random, 300*time.Millisecond, 3*time.Second)
	mode := []Mode{Slow, Blackhole, ClientToServerOnly, Resetting}[random.IntN(4)]
	failure := []failureMode{returningErrors, rejecting, truncating}[random.IntN(3)]
	switch random.IntN(11) {
	case 0:
		return func() { pl.restart(ho, "kill", syscall.SIGKILL, duration/3) }
	case 1:
		return func() { pl.restart(ho, "stop", syscall.SIGTERM, duration/3) }
	case 2:
		return func() { pl.pause(ho, duration) }
	case 3:
		return func() { pl.setMode(fault{kind: "front", host: ho, affectsHost: true}, ho.callerProxy, mode, duration) }
	case 4:
		return func() { pl.setMode(fault{kind: "store of a host", store: true}, ho.store, mode, duration) }
	case 5:
		return func() { pl.failStore(duration) }
	case 6:
		return func() { pl.setMode(fault{kind: "backend link"}, ba.proxy, mode, duration) }
	case 7:
		return func() { pl.failBackend(ba, failure, duration) }
	case 8:
		return func() { pl.replaceBackend(ba) }
	case 9:
		return func() { pl.recordWhile(fault{kind: "idle connections dropped"}, ba.proxy.DropConnections) }
	default:
		return func() { pl.recordWhile(fault{kind: "key revoked"}, pl.rotateKey) }
	}
}

// restart stops a host's process with a signal and starts it again after a
// downtime.
func (pl *faultInjector) restart(ho *host, kind string, sig syscall.Signal, downtime time.Duration) {
	pl.processLocks[ho].Lock()
	defer pl.processLocks[ho].Unlock()
	pl.recordWhile(fault{kind: kind, host: ho, affectsHost: true}, func() {
		begin := time.Now()
		ho.signal(sig)
		ho.wait()
		if took := time.Since(begin); took > stopTimeout+500*time.Millisecond {
			pl.reportViolation("%s of %s took %v", kind, ho.name, took)
		}
		time.Sleep(downtime)
		if err := ho.start(); err != nil {
			pl.reportViolation("%s failed to start: %v", ho.name, err)
		}
		pl.awaitReady(ho)
	})
}

func (pl *faultInjector) awaitReady(ho *host) {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(restartTimeout); time.Now().Before(deadline); time.Sleep(modePollInterval) {
		if ho.ready(client) {
			return
		}
	}
}

func (pl *faultInjector) pause(ho *host, duration time.Duration) {
	pl.processLocks[ho].Lock()
	defer pl.processLocks[ho].Unlock()
	pl.recordWhile(fault{kind: "pause", host: ho, affectsHost: true, store: true}, func() {
		ho.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		ho.signal(syscall.SIGCONT)
	})
}

func (pl *faultInjector) setMode(tr fault, pr *Proxy, mode Mode, duration time.Duration) {
	pl.recordWhile(tr, func() {
		pr.SetMode(mode)
		time.Sleep(duration)
		pr.SetMode(PassThrough)
	})
}

func (pl *faultInjector) failStore(duration time.Duration) {
	pl.recordWhile(fault{kind: "store down", store: true}, func() {
		pl.dep.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(duration)
		pl.dep.store.SetErrorStatus(0)
	})
}

func (pl *faultInjector) failBackend(ba *backend, mode failureMode, duration time.Duration) {
	pl.recordWhile(fault{kind: "backend misbehaves"}, func() {
		ba.setFailureMode(mode)
		time.Sleep(duration)
		ba.setFailureMode(healthy)
	})
}

// replaceBackend removes a backend server from the list and adds it again under
// another name.
func (pl *faultInjector) replaceBackend(ba *backend) {
	pl.mu.Lock()
	pl.replacedServers++
	old := ba.id
	ba.id = fmt.Sprintf("%s-%d", ba.service, 100+pl.replacedServers)
	next := ba.id
	pl.mu.Unlock()
	pl.recordWhile(fault{kind: "backend replaced"}, func() {
		pl.dep.store.PutServer(old, ba.service, ba.proxy.Address(), "draining")
		time.Sleep(time.Second)
		pl.dep.store.DeleteServer(old)
		time.Sleep(time.Second)
		pl.dep.store.PutServer(next, ba.service, ba.proxy.Address(), "ready")
	})
}

// rotateKey gives callers a new key, revokes the old one, and checks that no
// host accepts the old one any longer.
func (pl *faultInjector) rotateKey() {
	pl.rotationMu.Lock()
	defer pl.rotationMu.Unlock()
	old := keyName(pl.keyCount)
	pl.keyCount++
	next := keyName(pl.keyCount)
	pl.configure(fakestore.WithAPIKeys(old, next))
	time.Sleep(maxConfigDelay + timingTolerance)
	pl.dep.callerState.setKey(next)
	time.Sleep(time.Second)
	pl.configure(fakestore.WithAPIKeys(next))
	revoked := time.Now()
	time.Sleep(maxConfigDelay + timingTolerance)
	for _, ho := range pl.dep.hosts {
		ou := sendRequest(&http.Transport{DisableKeepAlives: true}, outcome{
			id: fmt.Sprintf("revoked-%s-%s", old, ho.name), path: fakestore.IdempotentPath, key: old, host: ho,
		})
		if ou.status == http.StatusOK && !pl.storeDisrupted(revoked, ou.end) {
			pl.reportViolation("%s still accepts key %q, %v after it was revoked", ho.name, old, ou.begin.Sub(revoked))
		}
	}
}

// timingTolerance is added to each time limit, for scheduling delays on a busy
// machine.
const timingTolerance = 700 * time.Millisecond

func keyName(number int) string {
	if number == 0 {
		return fakestore.APIKey
	}
	return fmt.Sprintf("key-%d", number)
}

func (pl *faultInjector) configure(changes ...func(map[string]any)) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.configVersion++
	pl.dep.store.PutConfiguration(pl.configVersion, changes...)
}

// storeDisrupted reports whether hosts may have missed a change of the store
// between begin and end.
func (pl *faultInjector) storeDisrupted(begin, end time.Time) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, tr := range pl.faults {
		if tr.store && tr.overlaps(begin.Add(-maxConfigDelay), end) {
			return true
		}
	}
	return false
}
