// Package service speaks to plain services. A call that may not be repeated is
// sent at most once: as soon as a byte of it may have left, its failure means
// that the outcome is unknown.
package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
)

const dialTimeout = time.Second

// Client holds connections to the services.
type Client struct {
	shared *http.Transport // for calls that may be repeated
	single *http.Transport // a new connection for each call
}

// New returns a client and a function that closes its connections.
func New() (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	cl := &Client{
		shared: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
		// A transport repeats a call by itself when a kept connection turns out
		// to be closed, and takes the Idempotency-Key header as leave to do so.
		// It never does on a new connection.
		single: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true},
	}
	return cl, cl.shared.CloseIdleConnections
}

// Call is one call of a plain service.
type Call struct {
	Method string
	// Path is the path at the service, with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is what a service answered.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxAnswer bounds the answer of a plain service.
const maxAnswer = 16 * mp.Mebibyte

// Do sends the call to a replica, and to the next one while it is certain that
// nothing ran or the service is idempotent. The error is an *mangopaddle.Error.
func (cl *Client) Do(ctx context.Context, se *blackboard.Service, call Call) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, se.Timeout.Std())
	defer cancel()
	var last error
	for _, re := range se.Available {
		answer, sent, err := cl.try(ctx, se, re, call)
		if err == nil {
			return answer, nil
		}
		last = err
		if sent && !se.Idempotent {
			return nil, mp.WrapError(err, mp.KindOutcomeUnknown, "service %q may have run the call and gave no answer", se.Name)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if last != nil && se.Idempotent {
		return nil, mp.WrapError(last, mp.KindBackendFailed, "no replica of service %q answered", se.Name)
	}
	return nil, mp.WrapError(last, mp.KindNoBackend, "no replica of service %q could be reached; the call was not run", se.Name)
}

// try sends the call to one replica. It reports whether any byte of the call
// may have left this host.
func (cl *Client) try(ctx context.Context, se *blackboard.Service, re config.Replica, call Call) (*Answer, bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+re.Address+call.Path, newBody(call.Body))
	if err != nil {
		return nil, false, err
	}
	request.Header = call.Header.Clone()
	request.ContentLength = int64(len(call.Body))
	response, err := cl.transport(se).RoundTrip(request)
	if err != nil {
		return nil, sent.Load(), err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxAnswer)+1))
	if err != nil {
		return nil, true, err
	}
	if mp.Bytes(len(body)) > maxAnswer {
		return nil, true, mp.NewError(mp.KindBackendFailed, "the answer of replica %q is over %d bytes", re.Name, maxAnswer)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, true, nil
}

func (cl *Client) transport(se *blackboard.Service) *http.Transport {
	if se.Idempotent {
		return cl.shared
	}
	return cl.single
}

// body hides what it reads from, so that net/http cannot send it twice.
type body struct {
	rest []byte
}

func newBody(content []byte) io.Reader {
	if len(content) == 0 {
		return http.NoBody
	}
	return &body{rest: content}
}

// Read implements io.Reader.
func (bo *body) Read(part []byte) (int, error) {
	if len(bo.rest) == 0 {
		return 0, io.EOF
	}
	count := copy(part, bo.rest)
	bo.rest = bo.rest[count:]
	return count, nil
}
