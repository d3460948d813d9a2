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

// fault describes an injected fault.
type fault struct {
	kind string
	// host is the host at which callers notice the fault; nil if it affects
	// none or all of them.
	host *host
	// affectsHost marks a fault of the host's process or of the callers'
	// connections to it.
	affectsHost bool
	// disruptsStore marks a fault during which hosts may miss changes in the store.
	disruptsStore bool
	begin         time.Time
	end           time.Time // zero while the fault is active
}

// overlaps reports whether the fault was active at any time between begin and
// end.
func (fa fault) overlaps(begin, end time.Time) bool {
	return fa.begin.Before(end) && (fa.end.IsZero() || fa.end.After(begin))
}

// faultInjector injects faults and records them. It also collects the violations
// that the checks find.
type faultInjector struct {
	deployment *deployment

	mu              sync.Mutex
	faults          []fault
	violations      []string
	configVersion   int
	apiKeyNumber    int // of the key that callers use
	replacedServers int
	processLocks    map[*host]*sync.Mutex // held while a fault stops or pauses the process
	rotationMu      sync.Mutex
}

func newFaultInjector(de *deployment) *faultInjector {
	fi := &faultInjector{deployment: de, configVersion: 1, processLocks: map[*host]*sync.Mutex{}}
	for _, ho := range de.hosts {
		fi.processLocks[ho] = &sync.Mutex{}
	}
	return fi
}

// reportViolation records the violation of a guarantee.
func (fi *faultInjector) reportViolation(format string, args ...any) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.violations = append(fi.violations, fmt.Sprintf(format, args...))
}

// recordWhile records a fault that is active while run executes.
func (fi *faultInjector) recordWhile(fa fault, run func()) {
	fa.begin = time.Now()
	fi.mu.Lock()
	ix := len(fi.faults)
	fi.faults = append(fi.faults, fa)
	fi.mu.Unlock()
	run()
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faults[ix].end = time.Now()
}

const (
	// startupTimeout is how long to wait for a started host to become ready.
	startupTimeout   = 4 * time.Second
	minFaultInterval = 700 * time.Millisecond
	maxFaultInterval = 1800 * time.Millisecond
)

// run injects random faults until the context ends, and returns when all of
// them are over.
func (fi *faultInjector) run(ctx context.Context, random *rand.Rand) {
	var group sync.WaitGroup
	for {
		sleep(ctx, randomDuration(random, minFaultInterval, maxFaultInterval))
		if ctx.Err() != nil {
			break
		}
		inject := fi.nextFault(random)
		group.Go(inject)
	}
	group.Wait()
}

func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// nextFault chooses the next fault and returns a function that injects it. All
// choices are made here, so that they depend only on the seed.
func (fi *faultInjector) nextFault(random *rand.Rand) func() {
	ho := fi.deployment.hosts[random.IntN(len(fi.deployment.hosts))]
	ba := fi.deployment.backends[random.IntN(len(fi.deployment.backends))]
	duration := randomDuration(random, 300*time.Millisecond, 3*time.Second)
	proxyMode := []ProxyMode{Slow, Blackhole, ClientToServerOnly, Resetting}[random.IntN(4)]
	backendFailure := []failureMode{returningErrors, rejecting, truncating}[random.IntN(3)]
	switch random.IntN(11) {
	case 0:
		return func() { fi.restart(ho, "kill", syscall.SIGKILL, duration/3) }
	case 1:
		return func() { fi.restart(ho, "stop", syscall.SIGTERM, duration/3) }
	case 2:
		return func() { fi.pause(ho, duration) }
	case 3:
		return func() {
			fi.setMode(fault{kind: "front", host: ho, affectsHost: true}, ho.callerProxy, proxyMode, duration)
		}
	case 4:
		return func() {
			fi.setMode(fault{kind: "store of a host", disruptsStore: true}, ho.storeProxy, proxyMode, duration)
		}
	case 5:
		return func() { fi.failStore(duration) }
	case 6:
		return func() { fi.setMode(fault{kind: "backend link"}, ba.proxy, proxyMode, duration) }
	case 7:
		return func() { fi.failBackend(ba, backendFailure, duration) }
	case 8:
		return func() { fi.replaceBackend(ba) }
	case 9:
		return func() { fi.recordWhile(fault{kind: "idle connections dropped"}, ba.proxy.DropConnections) }
	default:
		return func() { fi.recordWhile(fault{kind: "key revoked"}, fi.rotateAPIKey) }
	}
}

// restart stops a host's process with a signal and starts it again after a
// downtime.
func (fi *faultInjector) restart(ho *host, kind string, sig syscall.Signal, downtime time.Duration) {
	fi.processLocks[ho].Lock()
	defer fi.processLocks[ho].Unlock()
	fi.recordWhile(fault{kind: kind, host: ho, affectsHost: true}, func() {
		begin := time.Now()
		ho.signal(sig)
		ho.wait()
		if took := time.Since(begin); took > stopTimeout+500*time.Millisecond {
			fi.reportViolation("fault %q: host %s took %v to exit", kind, ho.name, took)
		}
		time.Sleep(downtime)
		if err := ho.start(); err != nil {
			fi.reportViolation("host %s failed to start: %v", ho.name, err)
		}
		fi.awaitReady(ho)
	})
}

// awaitReady waits until the host is ready, at most for startupTimeout.
func (fi *faultInjector) awaitReady(ho *host) {
	client := &http.Client{Timeout: readinessCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(startupTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if ho.ready(client) {
			return
		}
	}
}

func (fi *faultInjector) pause(ho *host, duration time.Duration) {
	fi.processLocks[ho].Lock()
	defer fi.processLocks[ho].Unlock()
	fi.recordWhile(fault{kind: "pause", host: ho, affectsHost: true, disruptsStore: true}, func() {
		ho.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		ho.signal(syscall.SIGCONT)
	})
}

// setMode sets the mode of a proxy for the duration of the fault.
func (fi *faultInjector) setMode(fa fault, pr *Proxy, mode ProxyMode, duration time.Duration) {
	fi.recordWhile(fa, func() {
		pr.SetMode(mode)
		time.Sleep(duration)
		pr.SetMode(PassThrough)
	})
}

func (fi *faultInjector) failStore(duration time.Duration) {
	fi.recordWhile(fault{kind: "store down", disruptsStore: true}, func() {
		fi.deployment.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(duration)
		fi.deployment.store.SetErrorStatus(0)
	})
}

func (fi *faultInjector) failBackend(ba *backend, mode failureMode, duration time.Duration) {
	fi.recordWhile(fault{kind: "backend misbehaves"}, func() {
		ba.setFailureMode(mode)
		time.Sleep(duration)
		ba.setFailureMode(healthy)
	})
}

// replaceBackend drains a backend server, removes it from the list and adds it
// again under another ID.
func (fi *faultInjector) replaceBackend(ba *backend) {
	fi.mu.Lock()
	fi.replacedServers++
	old := ba.id
	ba.id = fmt.Sprintf("%s-%d", ba.service, 100+fi.replacedServers)
	next := ba.id
	fi.mu.Unlock()
	fi.recordWhile(fault{kind: "backend replaced"}, func() {
		fi.deployment.store.PutServer(old, ba.service, ba.proxy.Address(), "draining")
		time.Sleep(time.Second)
		fi.deployment.store.DeleteServer(old)
		time.Sleep(time.Second)
		fi.deployment.store.PutServer(next, ba.service, ba.proxy.Address(), "ready")
	})
}

// rotateAPIKey gives callers a new API key, revokes the old one, and checks that no
// host accepts the old one any longer.
func (fi *faultInjector) rotateAPIKey() {
	fi.rotationMu.Lock()
	defer fi.rotationMu.Unlock()
	old := apiKey(fi.apiKeyNumber)
	fi.apiKeyNumber++
	next := apiKey(fi.apiKeyNumber)
	fi.configure(fakestore.WithAPIKeys(old, next))
	time.Sleep(maxConfigDelay + timingTolerance)
	fi.deployment.callerState.setAPIKey(next)
	time.Sleep(time.Second)
	fi.configure(fakestore.WithAPIKeys(next))
	revoked := time.Now()
	time.Sleep(maxConfigDelay + timingTolerance)
	for _, ho := range fi.deployment.hosts {
		ou := sendRequest(&http.Transport{DisableKeepAlives: true}, outcome{
			id: fmt.Sprintf("revoked-%s-%s", old, ho.name), path: fakestore.IdempotentPath, apiKey: old, host: ho,
		})
		if ou.status == http.StatusOK && !fi.storeDisrupted(revoked, ou.end) {
			fi.reportViolation("host %s still accepts key %q, %v after it was revoked", ho.name, old, ou.begin.Sub(revoked))
		}
	}
}

// timingTolerance is added to maxConfigDelay, for scheduling delays on a busy
// machine.
const timingTolerance = 700 * time.Millisecond

func apiKey(number int) string {
	if number == 0 {
		return fakestore.APIKey
	}
	return fmt.Sprintf("key-%d", number)
}

// configure publishes a new version of the configuration.
func (fi *faultInjector) configure(changes ...func(map[string]any)) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.configVersion++
	fi.deployment.store.PutConfiguration(fi.configVersion, changes...)
}

// storeDisrupted reports whether hosts may have missed a change in the store
// between begin and end. A fault counts until maxConfigDelay after its end.
func (fi *faultInjector) storeDisrupted(begin, end time.Time) bool {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	for _, fa := range fi.faults {
		if fa.disruptsStore && fa.overlaps(begin.Add(-maxConfigDelay), end) {
			return true
		}
	}
	return false
}
