package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/clientlimit"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/quarantine"
	"github.com/mangopaddle/mangopaddle/routing"
)

// request is the state of one caller's request.
type request struct {
	rw            http.ResponseWriter
	rq            *http.Request
	arrived       time.Time
	snapshot      *follow.Snapshot
	headers       platform.RequestHeaders
	route         *routing.Route
	organisation  *routing.Organisation // nil if the route is public or no keys are configured
	regions       routing.Regions       // in which the request may be served
	service       mp.ServiceName
	rank          routing.Rank         // its Order is sent to engines; placement uses its Priority
	segments      []quarantine.Segment // of the prompt, which other requests may share
	body          []byte
	received      *clientlimit.Body // owns body; nil if there is none
	forwardHeader http.Header       // header for backend servers, without the fields that differ per attempt
	// deadline is the earlier of the caller's and the route's deadline; zero for
	// none.
	deadline time.Time
	// callerDeadline is when the caller stops waiting. Without a timeout from the
	// caller it is the route's deadline.
	callerDeadline time.Time

	// attempts counts the attempts in which a backend server may have received the
	// request.
	attempts int
	// usageCounted reports that the request was counted in the usage of its organisation.
	usageCounted bool
	// mayHaveRun reports that a backend server may have run the request.
	mayHaveRun bool
	// demandRecorded reports that the request counts in the demands of its data centre.
	demandRecorded bool
	// tried lists the servers that are excluded from further attempts.
	tried []mp.ServerID
	// forwarded holds the headers of a request that another host has forwarded; nil for others.
	forwarded *platform.HostRequest
	// triedHosts lists the hosts that the request is not forwarded to again.
	triedHosts []mp.ServerID
	// hostRefusal is the refusal of another host that is passed on to the caller; nil if there is
	// none.
	hostRefusal *mp.Error
	// originLeft reports that the host to which the request is forwarded looks for the origin of
	// the stream.
	originLeft bool
	// lastFailure is the last signed 5xx response of a backend server.
	lastFailure *bufferedResponse
	// origin is the software version that began the stream with which the caller goes on; empty
	// for other requests.
	origin mp.SoftwareVersion
	// stream is the state of the streamed response; nil before it starts.
	stream *streamState
	// status is the status code of the streamed response.
	status int
	// held is what the request holds of its responses.
	held backend.Reservation
	// hedge is that of the present attempt.
	hedge *hedge
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	server mp.ServerID
}

// remaining returns the time until the caller's deadline, at least a millisecond,
// or zero if there is no deadline.
func (re *request) remaining(now time.Time) time.Duration {
	if re.callerDeadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, re.callerDeadline.Sub(now))
}

// placementRequest returns the properties of the request that placement needs.
func (re *request) placementRequest(now time.Time, wo placement.Workload) *placement.Request {
	tolerance := jitterTolerance(re.snapshot.Table, re.route, re.service)
	rq := &placement.Request{
		TimeToDeadline:      re.remaining(now),
		Priority:            re.rank.Priority,
		JitterSensitive:     wo.JitterSensitive(tolerance),
		Service:             re.service,
		Prompt:              re.headers.PromptSegments,
		PromptTokens:        re.headers.PromptTokens,
		BodyBytes:           len(re.body),
		LatencyTarget:       re.route.LatencyTarget,
		UrgentLatencyTarget: wo.UrgentLatencyTarget(re.route.Priority, tolerance),
		MoreUrgent:          wo.MoreUrgent(re.rank.Priority, re.snapshot.Table.MaxPriorityRaise(), tolerance),
		Exclude:             re.tried,
		Software:            re.origin,
	}
	if re.stream != nil {
		rq.Software = re.stream.software
	}
	if re.regions.IsRestricted() {
		rq.AllowsRegion = re.regions.Allows
	}
	return rq
}

// exclude excludes a server, or a host, from further attempts.
func (re *request) exclude(server placement.Server) {
	tried := &re.tried
	if server.IsHost {
		tried = &re.triedHosts
	}
	if !slices.Contains(*tried, server.ID) {
		*tried = append(*tried, server.ID)
	}
}

// repeatable reports whether the request may be sent again after a backend server
// may have run it. A stream of which events without IDs were relayed can't be resumed, nor
// can one that a server of unknown software began.
func (re *request) repeatable() bool {
	return re.route.Repeatable() && (re.stream == nil || re.stream.events > 0 && re.stream.software != "")
}

// log adds the event name and the request ID to a log line.
func (re *request) log(ev *zerolog.Event, event string) *zerolog.Event {
	return ev.Str("event", event).Str("request", string(re.headers.ID))
}

// target returns the undecoded path and query of the request, whose target may be a whole
// URL.
func target(rq *http.Request) string {
	if rq.URL.Scheme != "" {
		return rq.URL.RequestURI()
	}
	return rq.RequestURI
}

// path returns the undecoded path of the request.
func path(rq *http.Request) string {
	path, _, _ := strings.Cut(target(rq), "?")
	return path
}

// setBody sets the received body, nil for none. It is whole, so that an incomplete request
// never reaches a backend server.
func (re *request) setBody(body *clientlimit.Body) {
	re.received, re.body = body, body.Bytes()
}

// releaseBody gives back what the body holds of the budget.
func (re *request) releaseBody() { re.received.Release() }

// context returns a context that is cancelled when the caller disconnects or the
// deadline passes.
func (re *request) context() (context.Context, context.CancelFunc) {
	if re.deadline.IsZero() {
		return context.WithCancel(re.rq.Context())
	}
	return context.WithDeadline(re.rq.Context(), re.deadline)
}
