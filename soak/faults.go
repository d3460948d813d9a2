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
	// breaksResponsesOf is the backend server whose responses the fault may break off;
	// nil for none.
	breaksResponsesOf *backend
	begin             time.Time
	end               time.Time // zero while the fault is active
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
	kinds      []string // the kinds of faults to inject

	mu              sync.Mutex
	faults          []fault
	violations      []string
	config          operatorConfig
	configVersion   int
	addedRoutes     int
	apiKeyNumber    int // of the key that callers use
	replacedServers int
	processLocks    map[*host]*sync.Mutex // held while a fault stops or pauses the process
	rotationMu      sync.Mutex
	silenceMu       sync.Mutex // held while servers are silent, and until they have caught up
}

func newFaultInjector(de *deployment, kinds []string) *faultInjector {
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	fi := &faultInjector{deployment: de, kinds: kinds, config: initialConfig(), configVersion: 1, processLocks: map[*host]*sync.Mutex{}}
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
	// hostsPerFault is the number of hosts for which faults come at these intervals;
	// with more hosts they come more often.
	hostsPerFault = 10
)

// run injects random faults until the context ends, and returns when all of
// them are over.
func (fi *faultInjector) run(ctx context.Context, random *rand.Rand) {
	var group sync.WaitGroup
	rate := time.Duration(max(1, len(fi.deployment.hosts)/hostsPerFault))
	for {
		sleep(ctx, randomDuration(random, minFaultInterval, maxFaultInterval)/rate)
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

// Kinds of faults.
const (
	faultKill          = "kill"
	faultStop          = "stop"
	faultPause         = "pause"
	faultFront         = "front"
	faultStoreOfHost   = "store of a host"
	faultStoreDown     = "store down"
	faultBackendLink   = "backend link"
	faultBackend       = "backend misbehaves"
	faultReplacement   = "backend replaced"
	faultDroppedConns  = "idle connections dropped"
	faultKeyRevoked    = "key revoked"
	faultSilence       = "backend silent"
	faultSilentService = "service silent"
	faultConfiguration = "configuration changed"
	faultPlannedWork   = "planned work"
	faultReload        = "reload"
	faultStoreRestored = "store restored"
)

// stopSignals are the signals by which a fault stops a host.
var stopSignals = map[string]syscall.Signal{faultKill: syscall.SIGKILL, faultStop: syscall.SIGTERM}

// Kinds returns the kinds of faults.
func Kinds() []string {
	return []string{
		faultKill, faultStop, faultPause, faultFront, faultStoreOfHost, faultStoreDown, faultBackendLink, faultBackend, faultReplacement,
		faultDroppedConns, faultKeyRevoked, faultSilence, faultSilentService, faultConfiguration, faultPlannedWork, faultReload, faultStoreRestored,
	}
}

// nextFault chooses the next fault and returns a function that injects it. All
// choices are made here, so that they depend only on the seed.
func (fi *faultInjector) nextFault(random *rand.Rand) func() {
	ho, ba := pick(random, fi.deployment.hosts), pick(random, fi.deployment.backends)
	duration := randomDuration(random, 300*time.Millisecond, 3*time.Second)
	proxyMode := pick(random, []ProxyMode{Slow, Blackhole, ClientToServerOnly, Resetting})
	backendFailure := pick(random, []failureMode{returningErrors, rejecting, truncating, endingInsideEvent, unframed})
	silence := randomDuration(random, minSilence, maxSilence)
	signalled := random.IntN(2) == 0
	steps := drawConfigSeries(random)
	switch kind := pick(random, fi.kinds); kind {
	case faultKill, faultStop:
		return func() { fi.restart(ho, kind, stopSignals[kind], duration/3) }
	case faultPause:
		return func() { fi.pause(ho, duration) }
	case faultFront:
		return func() {
			fi.setMode(fault{kind: kind, host: ho, affectsHost: true}, ho.callerProxy, proxyMode, duration)
		}
	case faultStoreOfHost:
		return func() { fi.setMode(fault{kind: kind, disruptsStore: true}, ho.storeProxy, proxyMode, duration) }
	case faultStoreDown:
		return func() { fi.failStore(duration) }
	case faultBackendLink:
		return func() { fi.setMode(fault{kind: kind, breaksResponsesOf: ba}, ba.proxy, proxyMode, duration) }
	case faultBackend:
		return func() { fi.failBackend(ba, backendFailure, duration) }
	case faultStoreRestored:
		return func() { fi.restoreStore(ba, duration, silence) }
	case faultReplacement:
		return func() { fi.replaceBackend(ba) }
	case faultSilence:
		return func() { fi.silence(kind, []*backend{ba}, silence) }
	case faultSilentService:
		return func() { fi.silence(kind, fi.deployment.backendsOf(ba.service), silence) }
	case faultPlannedWork:
		hosts := []*host{ho, pick(random, fi.deployment.hosts)}
		return func() { fi.planWork(hosts, steps, duration/3) }
	default:
		run := map[string]func(){
			faultDroppedConns:  ba.proxy.DropConnections,
			faultKeyRevoked:    fi.rotateAPIKey,
			faultConfiguration: func() { fi.changeConfiguration(steps) },
			faultReload:        func() { fi.reload(ho, signalled) },
		}[kind]
		return func() { fi.recordWhile(fault{kind: kind}, run) }
	}
}

// pick chooses one of the values.
func pick[T any](random *rand.Rand, values []T) T { return values[random.IntN(len(values))] }

// restart stops a host's process with a signal and starts it again after a
// downtime.
func (fi *faultInjector) restart(ho *host, kind string, sig syscall.Signal, downtime time.Duration) {
	fi.processLocks[ho].Lock()
	defer fi.processLocks[ho].Unlock()
	fi.recordWhile(fault{kind: kind, host: ho, affectsHost: true}, func() {
		begin := time.Now()
		ho.signal(sig)
		ho.wait()
		ho.setReady(false)
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
			ho.setReady(true)
			return
		}
	}
}

func (fi *faultInjector) pause(ho *host, duration time.Duration) {
	fi.processLocks[ho].Lock()
	defer fi.processLocks[ho].Unlock()
	fi.recordWhile(fault{kind: faultPause, host: ho, affectsHost: true, disruptsStore: true}, func() {
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
	fi.recordWhile(fault{kind: faultStoreDown, disruptsStore: true}, func() {
		fi.deployment.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(duration)
		fi.deployment.store.SetErrorStatus(0)
	})
}

// heartbeatInterval is the time between two writes of a server's entry before the store is
// restored. What is written again afterwards is much less than what was lost.
const heartbeatInterval = 50 * time.Millisecond

// restoreStore lets the store come back from a copy of some time ago. The operator and the
// servers write again what it has lost. A server leaves as soon as hosts have to notice it.
func (fi *faultInjector) restoreStore(ba *backend, age, downtime time.Duration) {
	state := fi.deployment.store.Snapshot()
	for copied := time.Now(); time.Since(copied) < age; time.Sleep(heartbeatInterval) {
		fi.deployment.registry.beat()
	}
	fi.recordWhile(fault{kind: faultStoreRestored, disruptsStore: true}, func() {
		fi.deployment.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(downtime)
		fi.mu.Lock()
		defer fi.mu.Unlock()
		fi.deployment.registry.restore(state)
		fi.deployment.store.PutConfiguration(fi.configVersion, fi.config.apply)
		fi.deployment.store.SetErrorStatus(0)
	})
	time.Sleep(maxConfigDelay)
	fi.replaceBackend(ba)
}

func (fi *faultInjector) failBackend(ba *backend, mode failureMode, duration time.Duration) {
	fa := fault{kind: faultBackend}
	if mode.breaksResponses() {
		fa.breaksResponsesOf = ba
	}
	fi.recordWhile(fa, func() {
		ba.setFailureMode(mode)
		time.Sleep(duration)
		ba.setFailureMode(healthy)
	})
}

const (
	minSilence = 300 * time.Millisecond
	maxSilence = 1300 * time.Millisecond
)

// silence makes sound backend servers fall silent for a while and then go on. All
// their responses are still complete.
func (fi *faultInjector) silence(kind string, backends []*backend, duration time.Duration) {
	if !fi.silenceMu.TryLock() {
		return // servers are silent already; together it could be for long
	}
	defer fi.silenceMu.Unlock()
	fi.recordWhile(fault{kind: kind}, func() {
		for _, ba := range backends {
			ba.proxy.SetMode(Blackhole)
		}
		time.Sleep(duration)
		for _, ba := range backends {
			ba.proxy.SetMode(PassThrough)
		}
	})
	time.Sleep(maxSilence)
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
	fi.recordWhile(fault{kind: faultReplacement}, func() {
		fi.deployment.registry.put(ba, old, "draining")
		time.Sleep(time.Second)
		fi.deployment.registry.put(ba, old, "")
		time.Sleep(time.Second)
		fi.deployment.registry.put(ba, next, "ready")
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
	fi.configure(func(oc *operatorConfig) { oc.apiKeys = []string{old, next} })
	time.Sleep(maxConfigDelay + timingTolerance)
	fi.deployment.callerState.setAPIKey(next)
	time.Sleep(time.Second)
	fi.configure(func(oc *operatorConfig) { oc.apiKeys = []string{next} })
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
