package gateway

import (
	"slices"
	"sync"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// maxTurnPasses is how often a turn is passed on by a request that can't use the free place.
	maxTurnPasses = 4
	// wokenAtOnce is the number of requests of a service that get a turn in each round.
	wokenAtOnce = 8
	// placeTimeWeight is the weight of a request in the mean time that a place is taken.
	placeTimeWeight = 0.1
)

// placeWaiter is a request that waits for a place.
type placeWaiter struct {
	service  mp.ServiceName
	priority int
	// turn gets the number of times that the turn may still be passed on.
	turn chan int
}

// placeLine holds the requests that wait for a place at brittle servers, by service: the more
// urgent ones first, and those that came first among equals. It is safe for concurrent use.
type placeLine struct {
	mu      sync.Mutex
	waiting map[mp.ServiceName][]*placeWaiter
	// placeTimes are the mean times that a request takes a place.
	placeTimes map[mp.ServiceName]time.Duration
}

func newPlaceLine() *placeLine {
	return &placeLine{waiting: map[mp.ServiceName][]*placeWaiter{}, placeTimes: map[mp.ServiceName]time.Duration{}}
}

// countAhead returns the number of waiting requests of a service that are at least as urgent.
func (li *placeLine) countAhead(service mp.ServiceName, priority int) int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.position(service, priority)
}

func (li *placeLine) position(service mp.ServiceName, priority int) int {
	waiting := li.waiting[service]
	index := slices.IndexFunc(waiting, func(wa *placeWaiter) bool { return wa.priority > priority })
	if index < 0 {
		return len(waiting)
	}
	return index
}

func (li *placeLine) join(service mp.ServiceName, priority int) *placeWaiter {
	wa := &placeWaiter{service: service, priority: priority, turn: make(chan int, 1)}
	li.mu.Lock()
	defer li.mu.Unlock()
	li.waiting[service] = slices.Insert(li.waiting[service], li.position(service, priority), wa)
	return wa
}

// leave removes a waiting request. A turn that it didn't use goes to the next one.
func (li *placeLine) leave(wa *placeWaiter) {
	li.mu.Lock()
	defer li.mu.Unlock()
	left := slices.DeleteFunc(li.waiting[wa.service], func(other *placeWaiter) bool { return other == wa })
	if len(left) == 0 {
		delete(li.waiting, wa.service)
		return
	}
	li.waiting[wa.service] = left
	select {
	case <-wa.turn:
		giveTurn(left, maxTurnPasses)
	default:
	}
}

// wake gives the first waiting request of a service that has none a turn.
func (li *placeLine) wake(service mp.ServiceName) {
	li.mu.Lock()
	defer li.mu.Unlock()
	giveTurn(li.waiting[service], maxTurnPasses)
}

// wakeSome gives the first waiting requests of each service a turn.
func (li *placeLine) wakeSome() {
	li.mu.Lock()
	defer li.mu.Unlock()
	for _, waiting := range li.waiting {
		for range min(len(waiting), wokenAtOnce) {
			giveTurn(waiting, 0)
		}
	}
}

// pass gives a turn that a request could not use to the next one behind it.
func (li *placeLine) pass(wa *placeWaiter, passes int) {
	if passes <= 0 {
		return
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	waiting := li.waiting[wa.service]
	giveTurn(waiting[slices.Index(waiting, wa)+1:], passes-1)
}

// giveTurn gives a turn to the first request that has none.
func giveTurn(waiting []*placeWaiter, passes int) {
	for _, wa := range waiting {
		select {
		case wa.turn <- passes:
			return
		default:
		}
	}
}

// recordDuration records how long a request took a place.
func (li *placeLine) recordDuration(service mp.ServiceName, took time.Duration) {
	li.mu.Lock()
	defer li.mu.Unlock()
	mean, ok := li.placeTimes[service]
	if !ok {
		mean = took
	}
	li.placeTimes[service] = mean + time.Duration(placeTimeWeight*float64(took-mean))
}

// expectedWait returns how long a request is expected to wait behind others for one of a number
// of places; zero if the time that requests take is unknown.
func (li *placeLine) expectedWait(service mp.ServiceName, ahead, places int) time.Duration {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.placeTimes[service] * time.Duration(ahead+1) / time.Duration(max(1, places))
}
