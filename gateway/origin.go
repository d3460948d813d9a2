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
	// maxSoleListAge is the age of the list of servers up to which this host alone judges that
	// a service has only one software version.
	maxSoleListAge = 5 * time.Second
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
	source := "host"
	software, ok := ga.knownOrigin(re.headers.Resumes, re.service, re.maxStreamAge(), ga.mayJudgeAlone())
	if !ok && ga.canForward(re) {
		re.originLeft = true
		return nil
	}
	if !ok {
		source = "peer"
		software, ok = ga.peers.AskOrigin(ctx, peer.OriginRequest{
			Stream: re.headers.Resumes, Service: re.service, MaxAge: mp.Duration(re.maxStreamAge()),
		})
	}
	if !ok {
		source = "unknown"
	}
	ga.counters.countOrigin(source)
	re.log(ga.logger.Info(), "stream_resumed").Str("stream", string(re.headers.Resumes)).Str("resume_after", re.headers.LastEventID).
		Str("service", string(re.service)).Str("software", string(software)).Str("source", source).
		Dur("list_age_ms", ga.clock.Since(ga.view.Load().ListConfirmedAt)).Dur("took_ms", ga.clock.Since(re.arrived)).
		Msg("looked for the software version that began a stream")
	if !ok {
		return ga.originRefusal(re)
	}
	re.origin = software
	return nil
}

// knownOrigin returns the software version at which a stream of a service began, as far as this
// host knows: it has a record of the stream or, if judges is set, there was only one version in
// the time in which the stream can have begun. A caller that doesn't name the stream doesn't
// expect several versions: for it, one is enough that was the only one since this host started.
func (ga *Gateway) knownOrigin(stream mp.RequestID, service mp.ServiceName, maxAge time.Duration, judges bool) (mp.SoftwareVersion, bool) {
	now := ga.clock.Now()
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	if software, ok := ga.origins.Software(now, stream, service); ok {
		return software, true
	}
	switch {
	case stream == "":
		return ga.softwareHistory.SoleObserved(now, service, maxAge)
	case judges:
		return ga.softwareHistory.Sole(now, service, maxAge)
	}
	return "", false
}

// unobserved returns how long from now on a time before now will reach back beyond what this
// host knows of the services' software; zero if it doesn't.
func (ga *Gateway) unobserved(period time.Duration) time.Duration {
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	return ga.softwareHistory.Unobserved(ga.clock.Now(), period)
}

// softwareOf returns the services and the software versions of servers.
func softwareOf(servers []directory.Server) []origin.Server {
	software := make([]origin.Server, 0, len(servers))
	for _, se := range servers {
		software = append(software, origin.Server{Service: se.Service, Software: se.Software})
	}
	return software
}

// mayJudgeAlone reports whether this host would know of a software version that serves
// elsewhere: its list is current, or there are no other hosts.
func (ga *Gateway) mayJudgeAlone() bool {
	return ga.clock.Since(ga.view.Load().ListConfirmedAt) <= maxSoleListAge || ga.peers.MemberCount() == 0
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

// Origin implements peer.Delegate.
func (ga *Gateway) Origin(rq peer.OriginRequest) peer.Origin {
	software, _ := ga.knownOrigin(rq.Stream, rq.Service, rq.MaxAge.Std(), true)
	return peer.Origin{Software: software}
}

// Origins implements peer.LoadDelegate.
func (ga *Gateway) Origins(maxBytes int) origin.Report {
	now := ga.clock.Now()
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	needsRecords := func(service mp.ServiceName) bool {
		_, ok := ga.softwareHistory.Sole(now, service, ga.callerWaits[service])
		return !ok
	}
	return ga.origins.Report(now, needsRecords, maxBytes)
}

// ReceiveOrigins implements peer.LoadDelegate.
func (ga *Gateway) ReceiveOrigins(origins origin.Report) {
	ga.originMu.Lock()
	defer ga.originMu.Unlock()
	ga.origins.Merge(ga.clock.Now(), origins)
}
