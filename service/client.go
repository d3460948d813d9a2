// Package service calls plain services: those that are not model engines. A call to
// a service that is not idempotent is sent at most once: if it fails after any byte
// may have left the host, its outcome is reported as unknown.
package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/keptconn"
)

const dialTimeout = time.Second

// Client calls services and holds the connections to them. It is safe for
// concurrent use.
type Client struct {
	dialer  *net.Dialer
	pooled  *http.Transport // reuses connections; for idempotent services
	oneShot *http.Transport // opens a new connection for each call
}

// New returns a client and a function that closes its idle connections.
func New() (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	cl := &Client{
		dialer: dialer,
		pooled: &http.Transport{DialContext: keptconn.Dial(dialer), DisableCompression: true},
		// http.Transport retries a request by itself when a reused connection
		// turns out to be closed, and takes an Idempotency-Key header as
		// permission to do so. It never retries on a new connection.
		oneShot: &http.Transport{DialContext: keptconn.Dial(dialer), DisableCompression: true, DisableKeepAlives: true},
	}
	return cl, cl.pooled.CloseIdleConnections
}

// Call is a call of a plain service.
type Call struct {
	Method string
	// Path is the path at the service, including the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Response is the response of a service, with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxResponseBytes limits the body of a service's response.
const maxResponseBytes = 16 * mp.Mebibyte

// Do sends the call to a replica of the service, and to the next one as long as
// the call certainly did not run or the service is idempotent. All attempts
// together are limited by the service's timeout. The error is a
// *mangopaddle.Error.
func (cl *Client) Do(ctx context.Context, se *blackboard.Service, call Call) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, se.Timeout.Std())
	defer cancel()
	var lastErr error
	for _, re := range se.Available {
		response, sent, err := cl.try(ctx, se, re, call)
		if err == nil {
			return response, nil
		}
		lastErr = err
		if sent && !se.Idempotent {
			return nil, mp.WrapError(err, mp.KindOutcomeUnknown, "service %q may have run the call and gave no answer", se.Name)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if lastErr != nil && se.Idempotent {
		return nil, mp.WrapError(lastErr, mp.KindBackendFailed, "no replica of service %q answered", se.Name)
	}
	return nil, mp.WrapError(lastErr, mp.KindNoBackend, "no replica of service %q could be reached; the call was not run", se.Name)
}

// try sends the call to one replica. It reports whether any byte of the call
// may have left this host.
func (cl *Client) try(ctx context.Context, se *blackboard.Service, re config.Replica, call Call) (*Response, bool, error) {
	ctx, use := keptconn.Trace(ctx, call.Header.Get(mp.HeaderRequestID))
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+re.Address+call.Path, newBody(call.Body))
	if err != nil {
		return nil, false, err
	}
	request.Header = call.Header.Clone()
	request.ContentLength = int64(len(call.Body))
	response, err := cl.transport(se).RoundTrip(request)
	if err != nil {
		return nil, use.Sent(), err
	}
	if err := use.Check(response); err != nil {
		return nil, true, err
	}
	defer response.Body.Close()
	answered := response.Header.Get(mp.HeaderRequestID)
	if use.IsEarlier(answered) {
		use.Close()
		return nil, true, mp.NewError(mp.KindBackendFailed, "replica %q answered call %q", re.Name, answered)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxResponseBytes)+1))
	if err != nil {
		return nil, true, err
	}
	if mp.Bytes(len(body)) > maxResponseBytes {
		return nil, true, mp.NewError(mp.KindBackendFailed, "the answer of replica %q is over %d bytes", re.Name, maxResponseBytes)
	}
	if err := cl.checkEnd(ctx, re, response); err != nil {
		return nil, true, err
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, true, nil
}

func (cl *Client) transport(se *blackboard.Service) *http.Transport {
	if se.Idempotent {
		return cl.pooled
	}
	return cl.oneShot
}

// body is a request body of a type unknown to net/http, so that net/http cannot
// rewind it and send the body twice.
type body struct {
	remaining []byte
}

func newBody(content []byte) io.Reader {
	if len(content) == 0 {
		return http.NoBody
	}
	return &body{remaining: content}
}

// Read implements io.Reader.
func (bo *body) Read(data []byte) (int, error) {
	if len(bo.remaining) == 0 {
		return 0, io.EOF
	}
	count := copy(data, bo.remaining)
	bo.remaining = bo.remaining[count:]
	return count, nil
}
