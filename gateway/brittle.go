package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/brittle"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
	// placeWaitRatio is the fraction of the latency target that a request may wait for a place at
	// a brittle server; without a target, deadlineWaitRatio is that of the time to the deadline.
	placeWaitRatio    = 0.5
	deadlineWaitRatio = 0.25
	// maxPlaceWait bounds the wait: what the request was checked against must not be too old.
	maxPlaceWait = time.Second
	// maxPlaceLine is the maximum number of requests of a service that wait at a host.
	maxPlaceLine = 1000
	// begunPriority is that of a stream that has begun, more urgent than any of the operator's.
	begunPriority = -1
	// minPlaceReturn is the shortest mean Retry-After of a request that got no place.
	minPlaceReturn = 200 * time.Millisecond
	// oddBrittleLogInterval is the shortest time between two log lines on faulty headers.
	oddBrittleLogInterval = 10 * time.Second
)

// brittleControl holds what the gateway keeps on brittle servers beside the tracker.
type brittleControl struct {
	line *placeLine
	// isActive reports that a service is or lately was brittle, for a look without placerMu.
	isActive atomic.Bool
	// oddCount counts faulty headers; oddLoggedAt is when the last one was logged, in Unix
	// nanoseconds.
	oddCount, oddLoggedAt atomic.Int64
}

// newBrittleTracker returns the tracker of brittle servers. Hosts are known by their gossip
// addresses.
func newBrittleTracker(settings Settings, startedAt time.Time) *brittle.Tracker {
	opts := []brittle.Option{}
	isOther := func(seed string) bool { return seed != settings.PeerAddress }
	if slices.ContainsFunc(settings.Seeds, isOther) {
		opts = append(opts, brittle.WithOtherHosts())
	}
	return brittle.New(brittle.Host(settings.PeerAddress), settings.DataCentre, startedAt, opts...)
}

// recordBrittle records what an answer says of the limit of rejections of its server. That it is
// brittle counts in any answer of the server, that it isn't only in the answer to this request.
func (ga *Gateway) recordBrittle(re *request, server placement.Server, headers platform.ResponseHeaders, matches bool) {
	says := headers.Brittle
	if headers.Misdirected || says == nil && !ga.brittle.isActive.Load() {
		return
	}
	word := brittle.Word{}
	switch {
	case says != nil:
		word = brittle.Word{Brittle: true, Limit: says.Limit}
		ga.logOddBrittle(re, server, says.Odd)
	case !matches || !headers.Signed && !headers.NotExecuted:
		return
	}
	now := ga.clock.Now()
	ga.placerMu.Lock()
	changes := ga.brittleTracker.RecordWord(now, server.Brittle(), word)
	ga.placerMu.Unlock()
	ga.logBrittle(changes, string(server.ID))
}

// logOddBrittle logs a header that isn't a proper number, at most once each
// oddBrittleLogInterval.
func (ga *Gateway) logOddBrittle(re *request, server placement.Server, odd string) {
	if odd == "" {
		return
	}
	ga.counters.countBrittle("odd_header")
	count, now := ga.brittle.oddCount.Add(1), ga.clock.Now().UnixNano()
	loggedAt := ga.brittle.oddLoggedAt.Load()
	if now-loggedAt < int64(oddBrittleLogInterval) || !ga.brittle.oddLoggedAt.CompareAndSwap(loggedAt, now) {
		return
	}
	re.log(ga.logger.Warn(), "brittle_header_odd").Str("server", string(server.ID)).Str("service", string(server.Service)).
		Str("header", odd).Int64("odd_so_far", count).Msg("a server states no proper limit of rejections; it is taken to tolerate none")
}

// logBrittle logs which services turned brittle or are no longer so. from is the server or the
// host that said so.
func (ga *Gateway) logBrittle(changes []brittle.Change, from string) {
	if len(changes) == 0 {
		return
	}
	ga.placerMu.Lock()
	ga.brittle.isActive.Store(!ga.brittleTracker.IsIdle())
	hosts := ga.brittleTracker.KnownHosts()
	ga.placerMu.Unlock()
	for _, ch := range changes {
		if ch.Source == "" {
			ga.logger.Info().Str("event", "service_sound").Str("service", string(ch.Service)).Dur("age_ms", ch.Age).
				Msg("the servers of a service are no longer brittle")
			continue
		}
		ga.logger.Info().Str("event", "service_brittle").Str("service", string(ch.Service)).Str("source", string(ch.Source)).
			Str("from", from).Int("limit", ch.Limit).Dur("age_ms", ch.Age).Int("hosts", hosts).
			Msg("the servers of a service are brittle; requests are only sent to free places")
	}
}

// expireBrittle forgets what is no longer true of brittle servers.
func (ga *Gateway) expireBrittle(now time.Time) {
	ga.placerMu.Lock()
	changes := ga.brittleTracker.Expire(now)
	ga.brittle.isActive.Store(!ga.brittleTracker.IsIdle())
	ga.placerMu.Unlock()
	ga.logBrittle(changes, "")
}

// brittleReports returns what a load update tells of brittle services.
func (ga *Gateway) brittleReports(aggregate bool) brittle.Reports {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.brittleTracker.Reports(ga.clock.Now(), aggregate)
}

// hearBrittle tells the tracker of a load update. The caller must hold placerMu.
func (ga *Gateway) hearBrittle(now time.Time, update peer.LoadUpdate) []brittle.Change {
	isRemote := update.Aggregate || update.From.DataCentre != ga.settings.DataCentre
	if isRemote {
		ga.brittleTracker.HearDataCentre(now, update.From.DataCentre)
	} else {
		ga.brittleTracker.Hear(now, brittle.Host(update.From.Address))
	}
	return ga.brittleTracker.Merge(now, update.Brittle, isRemote)
}

// brittleCount returns the number of services that are brittle.
func (ga *Gateway) brittleCount() int {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.brittleTracker.BrittleCount(ga.clock.Now())
}

// chooseInTurn is chooseServer, but a request that finds no free place at brittle servers waits
// for one, behind those that are at least as urgent.
func (ga *Gateway) chooseInTurn(ctx context.Context, re *request) (placement.Choice, *mp.Error) {
	if !ga.brittle.isActive.Load() || ga.canForward(re) {
		return ga.chooseServer(re, ga.placementRequest(re), re.mayBeLate())
	}
	ch, refusal := ga.chooseOrWait(ctx, re)
	if refusal != nil && ch.Server.ID == "" {
		ga.counters.countBrittle("refused")
	}
	return ch, refusal
}

func (ga *Gateway) chooseOrWait(ctx context.Context, re *request) (placement.Choice, *mp.Error) {
	rq := ga.placementRequest(re)
	ahead := ga.brittle.line.countAhead(re.service, re.placePriority())
	if ahead == 0 || ga.wantedPlaces(rq).Servers == 0 {
		ch, refusal := ga.chooseServer(re, rq, re.mayBeLate())
		if refusal == nil || ch.Server.ID != "" || ga.wantedPlaces(rq).Servers == 0 {
			return ch, refusal
		}
	}
	places := ga.wantedPlaces(rq)
	limit := ga.placeWaitLimit(re)
	expected := ga.brittle.line.expectedWait(re.service, ahead, places.Usable)
	if places.Usable == 0 || ahead >= maxPlaceLine || expected > limit {
		return placement.Choice{}, ga.placeRefusal(re, places, expected)
	}
	return ga.awaitPlace(ctx, re, ahead, limit)
}

// awaitPlace waits in line for a place.
func (ga *Gateway) awaitPlace(ctx context.Context, re *request, ahead int, limit time.Duration) (placement.Choice, *mp.Error) {
	began := ga.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := ga.clock.AfterFunc(limit, cancel)
	defer timer.Stop()
	wa := ga.brittle.line.join(re.service, re.placePriority())
	ch, refusal := ga.tryInTurn(ctx, re, wa)
	ga.brittle.line.leave(wa)
	outcome := "sent"
	if refusal != nil {
		outcome = refusal.Kind.String()
	}
	ga.counters.countBrittle("waited")
	re.log(ga.logger.Info(), "place_awaited").Str("service", string(re.service)).Int("priority", re.placePriority()).Int("ahead", ahead).
		Dur("limit_ms", limit).Dur("waited_ms", ga.clock.Since(began)).Str("outcome", outcome).Msg("request waited for a place at a brittle server")
	return ch, refusal
}

// tryInTurn tries to choose a server at each turn of a waiting request, until there is another
// answer than that no place is free, or ctx ends.
func (ga *Gateway) tryInTurn(ctx context.Context, re *request, wa *placeWaiter) (placement.Choice, *mp.Error) {
	for {
		select {
		case passes := <-wa.turn:
			if refusal := ga.refusalBeforeSend(re); refusal != nil {
				return placement.Choice{}, refusal
			}
			rq := ga.placementRequest(re)
			ch, refusal := ga.chooseServer(re, rq, re.mayBeLate())
			if refusal == nil || ch.Server.ID != "" || ga.wantedPlaces(rq).Servers == 0 {
				return ch, refusal
			}
			ga.brittle.line.pass(wa, passes)
		case <-ctx.Done():
			return placement.Choice{}, ga.noServerRefusal(re, ga.placementRequest(re))
		}
	}
}

// refusalBeforeSend returns the reason not to send a request that may have come up while it
// waited, or nil.
func (ga *Gateway) refusalBeforeSend(re *request) *mp.Error {
	if refusal := ga.stopRefusal(re); refusal != nil {
		return refusal
	}
	return ga.quarantineRefusal(re)
}

// placePriority returns the priority of the request in the line for a place. A stream that has
// begun goes before all others.
func (re *request) placePriority() int {
	if re.stream != nil {
		return begunPriority
	}
	return re.rank.Priority
}

// placeWaitLimit returns how long a request may still wait for a place.
func (ga *Gateway) placeWaitLimit(re *request) time.Duration {
	now := ga.clock.Now()
	limit := time.Duration(placeWaitRatio * float64(re.route.LatencyTarget))
	remaining := re.remaining(now)
	if remaining > 0 && (limit <= 0 || limit > remaining/2) {
		limit = time.Duration(deadlineWaitRatio * float64(remaining))
	}
	limit = min(limit, maxPlaceWait)
	if re.stream != nil {
		return limit
	}
	return limit - now.Sub(re.arrived)
}

func (ga *Gateway) wantedPlaces(rq *placement.Request) placement.Places {
	ga.placerMu.Lock()
	defer ga.placerMu.Unlock()
	return ga.placer.WantedPlaces(ga.clock.Now(), rq)
}

// placeRefusal returns the refusal of a request for which no place at brittle servers is free.
func (ga *Gateway) placeRefusal(re *request, places placement.Places, expected time.Duration) *mp.Error {
	ga.placerMu.Lock()
	after := ga.placer.ReturnDelay(min(max(expected, minPlaceReturn), maxPlaceWait), re.rank.Priority)
	ga.placerMu.Unlock()
	if remaining := re.remaining(ga.clock.Now()); remaining > 0 {
		after = min(after, remaining/3)
	}
	return mp.NewError(mp.KindOverloaded, "no free place at the %d brittle servers of service %q, where this host has %d; the expected wait is %v",
		places.Servers, re.service, places.Usable, expected).WithRetryAfter(after)
}

// recordPlaceEnd lets a waiting request try the place that an attempt has left.
func (ga *Gateway) recordPlaceEnd(at *attempt, outcome placement.Outcome) {
	if !ga.brittle.isActive.Load() {
		return
	}
	service := at.choice.Server.Service
	if outcome == placement.Rejected && at.choice.Brittle {
		ga.counters.countBrittle("rejected")
	}
	if outcome == placement.Succeeded {
		ga.brittle.line.recordDuration(service, ga.clock.Since(at.sentAt))
	}
	ga.brittle.line.wake(service)
}
