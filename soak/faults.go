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

// trouble is a fault that was played.
type trouble struct {
	kind string
	// host is the one that callers notice it at; nil for none or all.
	host *host
	// process says that it disturbs the host's process or the way to it.
	process bool
	// store says that hosts may miss changes of the store meanwhile.
	store bool
	begin time.Time
	end   time.Time // zero while it lasts
}

// overlaps says whether the trouble lasted at a time between two times.
func (tr trouble) overlaps(begin, end time.Time) bool {
	return tr.begin.Before(end) && (tr.end.IsZero() || tr.end.After(begin))
}

// player plays faults and keeps what it played.
type player struct {
	dep *deployment

	mu       sync.Mutex
	troubles []trouble
	findings []string
	version  int
	keys     int
	servers  int
	busy     map[*host]*sync.Mutex // held while a fault has the process
	rotating sync.Mutex
}

func newPlayer(de *deployment) *player {
	pl := &player{dep: de, version: 1, busy: map[*host]*sync.Mutex{}}
	for _, ho := range de.hosts {
		pl.busy[ho] = &sync.Mutex{}
	}
	return pl
}

// find notes that a promise was broken.
func (pl *player) find(format string, args ...any) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.findings = append(pl.findings, fmt.Sprintf(format, args...))
}

// during notes a trouble that lasts while a function runs.
func (pl *player) during(tr trouble, run func()) {
	tr.begin = time.Now()
	pl.mu.Lock()
	ix := len(pl.troubles)
	pl.troubles = append(pl.troubles, tr)
	pl.mu.Unlock()
	run()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.troubles[ix].end = time.Now()
}

const (
	// restartTime is how long a started host may take until it is ready.
	restartTime = 4 * time.Second
	leastPause  = 700 * time.Millisecond
	mostPause   = 1800 * time.Millisecond
)

// play draws faults until the context ends and returns when all are over.
func (pl *player) play(ctx context.Context, random *rand.Rand) {
	var group sync.WaitGroup
	for {
		sleep(ctx, between(random, leastPause, mostPause))
		if ctx.Err() != nil {
			break
		}
		fault := pl.draw(random)
		group.Go(fault)
	}
	group.Wait()
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// draw returns the next fault. All that is drawn comes from the seed.
func (pl *player) draw(random *rand.Rand) func() {
	ho := pl.dep.hosts[random.IntN(len(pl.dep.hosts))]
	ba := pl.dep.backends[random.IntN(len(pl.dep.backends))]
	lasts := between(random, 300*time.Millisecond, 3*time.Second)
	mode := []Mode{Slow, Blackhole, ClientToServerOnly, Resetting}[random.IntN(4)]
	ma := []manner{failing, full, breaking}[random.IntN(3)]
	switch random.IntN(11) {
	case 0:
		return func() { pl.restart(ho, "kill", syscall.SIGKILL, lasts/3) }
	case 1:
		return func() { pl.restart(ho, "stop", syscall.SIGTERM, lasts/3) }
	case 2:
		return func() { pl.pause(ho, lasts) }
	case 3:
		return func() { pl.disturb(trouble{kind: "front", host: ho, process: true}, ho.front, mode, lasts) }
	case 4:
		return func() { pl.disturb(trouble{kind: "store of a host", store: true}, ho.store, mode, lasts) }
	case 5:
		return func() { pl.storeDown(lasts) }
	case 6:
		return func() { pl.disturb(trouble{kind: "backend link"}, ba.proxy, mode, lasts) }
	case 7:
		return func() { pl.misbehave(ba, ma, lasts) }
	case 8:
		return func() { pl.replace(ba) }
	case 9:
		return func() { pl.during(trouble{kind: "idle connections dropped"}, ba.proxy.DropConnections) }
	default:
		return func() { pl.during(trouble{kind: "key revoked"}, pl.rotate) }
	}
}

// restart ends a host's process with a signal and starts it again.
func (pl *player) restart(ho *host, kind string, sig syscall.Signal, away time.Duration) {
	pl.busy[ho].Lock()
	defer pl.busy[ho].Unlock()
	pl.during(trouble{kind: kind, host: ho, process: true}, func() {
		begin := time.Now()
		ho.signal(sig)
		ho.wait()
		if took := time.Since(begin); took > stopTime+500*time.Millisecond {
			pl.find("%s of %s took %v", kind, ho.name, took)
		}
		time.Sleep(away)
		if err := ho.start(); err != nil {
			pl.find("%s doesn't start: %v", ho.name, err)
		}
		pl.awaitReady(ho)
	})
}

func (pl *player) awaitReady(ho *host) {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for limit := time.Now().Add(restartTime); time.Now().Before(limit); time.Sleep(modePoll) {
		if ho.ready(client) {
			return
		}
	}
}

func (pl *player) pause(ho *host, lasts time.Duration) {
	pl.busy[ho].Lock()
	defer pl.busy[ho].Unlock()
	pl.during(trouble{kind: "pause", host: ho, process: true, store: true}, func() {
		ho.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		ho.signal(syscall.SIGCONT)
	})
}

func (pl *player) disturb(tr trouble, pr *Proxy, mode Mode, lasts time.Duration) {
	pl.during(tr, func() {
		pr.SetMode(mode)
		time.Sleep(lasts)
		pr.SetMode(PassThrough)
	})
}

func (pl *player) storeDown(lasts time.Duration) {
	pl.during(trouble{kind: "store down", store: true}, func() {
		pl.dep.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(lasts)
		pl.dep.store.SetErrorStatus(0)
	})
}

func (pl *player) misbehave(ba *backend, ma manner, lasts time.Duration) {
	pl.during(trouble{kind: "backend misbehaves"}, func() {
		ba.set(ma)
		time.Sleep(lasts)
		ba.set(sound)
	})
}

// replace takes a backend server off the list and puts it back under another name.
func (pl *player) replace(ba *backend) {
	pl.mu.Lock()
	pl.servers++
	old := ba.id
	ba.id = fmt.Sprintf("%s-%d", ba.service, 100+pl.servers)
	next := ba.id
	pl.mu.Unlock()
	pl.during(trouble{kind: "backend replaced"}, func() {
		pl.dep.store.PutServer(old, ba.service, ba.proxy.Address(), "draining")
		time.Sleep(time.Second)
		pl.dep.store.DeleteServer(old)
		time.Sleep(time.Second)
		pl.dep.store.PutServer(next, ba.service, ba.proxy.Address(), "ready")
	})
}

// rotate gives callers a new key, takes the old one away, and checks that no host
// takes it any more.
func (pl *player) rotate() {
	pl.rotating.Lock()
	defer pl.rotating.Unlock()
	old := keyName(pl.keys)
	pl.keys++
	next := keyName(pl.keys)
	pl.configure(fakestore.WithKeys(old, next))
	time.Sleep(configTime + bounds)
	pl.dep.world.setKey(next)
	time.Sleep(time.Second)
	pl.configure(fakestore.WithKeys(next))
	revoked := time.Now()
	time.Sleep(configTime + bounds)
	for _, ho := range pl.dep.hosts {
		ou := ask(&http.Transport{DisableKeepAlives: true}, outcome{
			id: fmt.Sprintf("revoked-%s-%s", old, ho.name), path: fakestore.IdempotentPath, key: old, host: ho,
		})
		if ou.status == http.StatusOK && !pl.storeTroubled(revoked, ou.end) {
			pl.find("%s takes key %q, %v after it was revoked", ho.name, old, ou.begin.Sub(revoked))
		}
	}
}

// bounds is allowed beyond each bound, for the scheduler of a busy machine.
const bounds = 700 * time.Millisecond

func keyName(number int) string {
	if number == 0 {
		return fakestore.APIKey
	}
	return fmt.Sprintf("key-%d", number)
}

func (pl *player) configure(changes ...func(map[string]any)) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.version++
	pl.dep.store.PutConfiguration(pl.version, changes...)
}

// storeTroubled says whether hosts may have missed a change between two times.
func (pl *player) storeTroubled(begin, end time.Time) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, tr := range pl.troubles {
		if tr.store && tr.overlaps(begin.Add(-configTime), end) {
			return true
		}
	}
	return false
}
