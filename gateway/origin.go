package gateway

import (
	"context"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/origin"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/routing"
)

const (
	// callerWaitFactor times the timeout of its route is how long a caller is taken to wait for a
	// stream in all, but at most maxCallerWait, which also holds for routes without a timeout.
	callerWaitFactor = 2
	maxCallerWait    = 2 * time.Minute
	// originSyncTimeout bounds the read of the list of servers by which a host makes sure that
	// it knows all software versions of a service.
	originSyncTimeout = 400 * time.Millisecond
	// maxOriginWaits is the number of other hosts' questions that wait for such a read at once;
	// more are answered from the records alone.
	maxOriginWaits = 8
	// syncIntervalPerHost bounds the reads of the list of servers by which hosts judge where
	// streams began: all hosts share the rate of the store.
	syncIntervalPerHost = time.Millisecond
	// startupSyncInterval is the shortest time between these reads while a host that has just
	// started doesn't know how many others there are.
	startupSyncInterval = time.Second
	// minOriginRetryAfter is the least Retry-After of a request to resume a stream of unknown
	// origin. Other hosts may know it.
	minOriginRetryAfter = 300 * time.Millisecond
)

// resumesStream reports whether the caller goes on with a stream that broke off.
func (re *request) resumesStream() bool {
	return re.route.Kind == routing.Stream && re.route.Resumable && re.headers.LastEventID != ""
}

// longestWait returns how long a caller is taken to wait for a stream in all.
func (re *request) longestWait() time.Duration {
	if re.route.Timeout <= 0 {
		return maxCallerWait
	}
	return min(maxCallerWait, callerWaitFactor*re.route.Timeout)
}

// maxStreamAge returns how long ago a stream that the caller resumes can have begun.
func (re *request) maxStreamAge() time.Duration {
	longest := re.longestWait()
	return max(longest/callerWaitFactor, longest-re.headers.Timeout)
}

// findOrigin finds out at which software version the stream began that the caller resumes, so
// that only servers of that version go on with it. It refuses the request if nobody knows: what
// two versions write doesn't fit together, and the caller couldn't tell.
func (ga *Gateway) findOrigin(ctx context.Context, re *request) *mp.Error {
	if !re.resumesStream() {
		return nil
	}
	if re.forwarded != nil && re.forwarded.Software != "" {
		re.origin = re.forwarded.Software
		return nil
	}
	software, source := ga.searchOrigin(ctx, re)
	if source == originLeft {
		re.originLeft = true
		return nil
	}
	ga.counters.countOrigin(string(source))
	re.log(ga.logger.Info(), "stream_resumed").Str("stream", string(re.headers.Resumes)).Str("resume_after", re.headers.LastEventID).
		Str("service", string(re.service)).Str("software", string(software)).Str("source", string(source)).
		Dur("list_age_ms", ga.clock.Since(ga.view.Load().ListConfirmedAt)).Dur("took_ms", ga.clock.Since(re.arrived)).
		Msg("looked for the software version that began a stream")
	if source == originUnknown {
		return ga.originRefusal(re)
	}
	re.origin = software
	return nil
}

// originSource names who knew the origin of a stream.
type originSource string

// The sources of origins: this host, another one, or nobody. The search may also be left to the
// host to which the request is forwarded.
const (
	originHost    originSource = "host"
	originPeer    originSource = "peer"
	originUnknown originSource = "unknown"
	originLeft    originSource = "left"
)

// searchOrigin finds out at which software version the stream began with which a request goes on,
// from this host or others.
func (ga *Gateway) searchOrigin(ctx context.Context, re *request) (mp.SoftwareVersion, originSource) {
	rq := peer.OriginRequest{Stream: re.headers.Resumes, Service: re.service, MaxAge: mp.Duration(re.maxStreamAge())}
	if software, ok := ga.knownOrigin(ctx, rq); ok {
		return software, originHost
	}
	if ga.canForward(re) {
		return "", originLeft
	}
	if software, ok := ga.peers.AskOrigin(ctx, rq); ok {
		return software, originPeer
	}
	return "", originUnknown
}

// knownOrigin returns the software version at which a stream of a service began, as far as this
// host knows: it has a record of the stream, or there was only one version in the time in which
// the stream can have begun.
func (ga *Gateway) knownOrigin(ctx context.Context, rq peer.OriginRequest) (mp.SoftwareVersion, bool) {
	if software, ok := ga.recordedOrigin(rq); ok {
		return software, true
	}
	if _, ok := ga.soleSoftware(rq); !ok {
		return "", false
	}
	switch {
	case rq.Stream == "" && ga.isStarting():
		// Its list is fresh, and all hosts may be starting.
	case !ga.syncForOrigin(ctx, rq) && rq.Stream != "":
		return "", false
	}
	return ga.soleSoftware(rq)
}

// isStarting reports whether this host has just started and may not have heard of the others yet.
func (ga *Gateway) isStarting() bool {
	return ga.hasOtherSeeds && ga.clock.Since(ga.startedAt) < startupGossipPeriod
}

// syncForOrigin reads the list of servers and reports whether it could: until it is read after
// the question, the stream may have begun at a server of which this host hasn't heard.
func (ga *Gateway) syncForOrigin(ctx context.Context, rq peer.OriginRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, originSyncTimeout)
	defer cancel()
	err := ga.follower.Sync(ctx)
	if err != nil {
		ga.logger.Info().Str("event", "origin_not_judged").Str("stream", string(rq.Stream)).Str("service", string(rq.Service)).
			Dur("list_age_ms", ga.clock.Since(ga.view.Load().ListConfirmedAt)).Err(err).
			Msg("can't make sure that the known software version is the only one")
	}
	return err == nil
}

// recordedOrigin returns the software version of the record of a stream.
func (ga *Gateway) recordedOrigin(rq peer.OriginRequest) (mp.SoftwareVersion, bool) {
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	return ga.origins.Software(ga.clock.Now(), rq.Stream, rq.Service)
}

// soleSoftware returns the only software version that a service had in the time in which a stream
// can have begun, as far as this host has read the list of servers. A caller that doesn't name
// the stream doesn't expect several versions: for it, one is enough that was the only one since
// this host started.
func (ga *Gateway) soleSoftware(rq peer.OriginRequest) (mp.SoftwareVersion, bool) {
	now := ga.clock.Now()
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	if rq.Stream == "" {
		return ga.softwareHistory.SoleObserved(now, rq.Service, rq.MaxAge.Std())
	}
	return ga.currentHistory().Sole(now, rq.Service, rq.MaxAge.Std())
}

// syncInterval returns the shortest time between two reads of the list of servers by which this
// host judges where streams began.
func (ga *Gateway) syncInterval() time.Duration {
	if ga.isStarting() {
		return startupSyncInterval
	}
	return max(follow.MinSyncInterval, time.Duration(ga.peers.MemberCount())*syncIntervalPerHost)
}

// currentHistory returns the history of software versions, which begins anew after a gap in the
// confirmations of the list. The caller must hold originMu.
func (ga *Gateway) currentHistory() *origin.History {
	ga.softwareHistory.Restart(ga.view.Load().ListGapEndedAt)
	return ga.softwareHistory
}

// unobserved returns how long from now on a time before now will reach back beyond what this
// host knows of the services' software; zero if it doesn't.
func (ga *Gateway) unobserved(period time.Duration) time.Duration {
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	return ga.currentHistory().Unobserved(ga.clock.Now(), period)
}

// softwareOf returns the services and the software versions of servers.
func softwareOf(servers []directory.Server) []origin.Server {
	software := make([]origin.Server, 0, len(servers))
	for _, se := range servers {
		software = append(software, origin.Server{Service: se.Service, Software: se.Software})
	}
	return software
}

// originRefusal returns the refusal of a request to resume a stream of unknown origin. The caller
// should come back when this host can tell from its own list, if that is soon enough.
func (ga *Gateway) originRefusal(re *request) *mp.Error {
	after := max(ga.unobserved(re.maxStreamAge()), minOriginRetryAfter)
	return mp.NewError(mp.KindNoBackend, "it isn't known which software version of service %q began stream %.64q", re.service, re.headers.Resumes).
		WithRetryAfter(re.retryAfter(ga.clock.Now(), after))
}

// recordOrigin records the software version at which the stream of a request began, for callers
// that resume it, here or at another host.
func (ga *Gateway) recordOrigin(re *request) {
	if !re.route.Resumable {
		return
	}
	stream := re.headers.ID
	if re.resumesStream() {
		stream = re.headers.Resumes
	}
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	ga.callerWaits[re.service] = max(ga.callerWaits[re.service], re.longestWait())
	ga.origins.Begin(ga.clock.Now(), stream, re.service, re.stream.software)
}

// observeSoftware records which software versions the services have.
func (ga *Gateway) observeSoftware(snapshot *follow.Snapshot) {
	if snapshot.ListPosition.IsZero() {
		return
	}
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	ga.softwareHistory.Observe(ga.clock.Now(), softwareOf(snapshot.Servers))
}

// originBasis is what the answer to another host's question after an origin rests on.
type originBasis string

// The bases: a record, the list of servers, nothing that is known, or too many questions that
// wait for a read of the list.
const (
	basisRecord  originBasis = "record"
	basisList    originBasis = "list"
	basisUnknown originBasis = "unknown"
	basisBusy    originBasis = "busy"
)

// Origin implements peer.Delegate.
func (ga *Gateway) Origin(ctx context.Context, rq peer.OriginRequest) peer.Origin {
	asked := ga.clock.Now()
	software, basis := ga.originForPeer(ctx, rq)
	ga.counters.countOriginTold(string(basis))
	ga.logger.Info().Str("event", "origin_told").Str("peer", string(rq.From.Address)).Str("stream", string(rq.Stream)).
		Str("service", string(rq.Service)).Str("software", string(software)).Str("basis", string(basis)).
		Dur("list_age_ms", ga.clock.Since(ga.view.Load().ListConfirmedAt)).Dur("took_ms", ga.clock.Since(asked)).
		Msg("another host asked for the software version that began a stream")
	return peer.Origin{Software: software}
}

// originForPeer answers from the records at once. Few questions may wait until the list of servers
// is read, because each of them takes a connection.
func (ga *Gateway) originForPeer(ctx context.Context, rq peer.OriginRequest) (mp.SoftwareVersion, originBasis) {
	if software, ok := ga.recordedOrigin(rq); ok {
		return software, basisRecord
	}
	select {
	case ga.originWaits <- struct{}{}:
		defer func() { <-ga.originWaits }()
	default:
		return "", basisBusy
	}
	if software, ok := ga.knownOrigin(ctx, rq); ok {
		return software, basisList
	}
	return "", basisUnknown
}

// Origins implements peer.LoadDelegate. Other hosts need no records of a service that has had
// only one software version, as long as each of them can tell that from its list of servers.
func (ga *Gateway) Origins(maxBytes int) origin.Report {
	now := ga.clock.Now()
	isCurrent := now.Sub(ga.view.Load().ListConfirmedAt) <= ga.settings.maxDelay()
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	history := ga.currentHistory()
	needsRecords := func(service mp.ServiceName) bool {
		_, ok := history.Sole(now, service, ga.callerWaits[service])
		return !ok || !isCurrent
	}
	return ga.origins.Report(now, needsRecords, maxBytes)
}

// ReceiveOrigins implements peer.LoadDelegate.
func (ga *Gateway) ReceiveOrigins(origins origin.Report) {
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	ga.origins.Merge(ga.clock.Now(), origins)
}
