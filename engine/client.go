// Package engine is the HTTP client for model engines, the inference servers
// behind the router. It sends completion requests, relays and resumes their
// event streams, cancels requests, and classifies failures.
package engine

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/keptconn"
	"github.com/mangopaddle/mangopaddle/retry"
)

const (
	defaultStreamIdleTimeout = 3 * time.Second
	dialTimeout              = time.Second
	cancelTimeout            = 2 * time.Second
	idleConnTimeout          = 30 * time.Second
	maxIdleConnsPerEngine    = 64
	// progressTimeoutFactor times the idle timeout is how long a stream that has begun
	// may send data without an event. It is longer than the idle timeout, because a
	// sound engine sends comments while a preempted request waits.
	progressTimeoutFactor = 10
	// connBufferBytes is the size of a connection's read buffer and of its write buffer.
	// The default of net/http is 4 KiB; smaller buffers save 6 KB of memory for each
	// open stream.
	connBufferBytes   = int(mp.Kibibyte)
	maxErrorBodyBytes = 64 * mp.Kibibyte // read from an error response; the rest is dropped
	maxEventBytes     = mp.Mebibyte      // of one server-sent event
)

// Client sends requests to engines. It keeps one connection pool for each
// engine address and is safe for concurrent use.
type Client struct {
	clock             clockwork.Clock
	streamIdleTimeout time.Duration

	mu         sync.Mutex
	transports map[string]*http.Transport
}

// Option configures a Client.
type Option func(*Client)

// WithClock sets the clock that the timeouts use; the default is the real one.
func WithClock(clock clockwork.Clock) Option {
	return func(cl *Client) { cl.clock = clock }
}

// WithStreamIdleTimeout sets how long a stream may deliver no data; the default
// is 3 s. Engines send keep-alive comments while a request waits in their queue,
// so a stream without data has a lost connection or a hung engine.
func WithStreamIdleTimeout(streamIdleTimeout time.Duration) Option {
	return func(cl *Client) { cl.streamIdleTimeout = streamIdleTimeout }
}

// New returns a client and a function that closes its idle connections.
func New(opts ...Option) (*Client, func()) {
	cl := &Client{
		clock:             clockwork.NewRealClock(),
		streamIdleTimeout: defaultStreamIdleTimeout,
		transports:        map[string]*http.Transport{},
	}
	for _, opt := range opts {
		opt(cl)
	}
	return cl, cl.close
}

func (cl *Client) close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, tr := range cl.transports {
		tr.CloseIdleConnections()
	}
}

func (cl *Client) transportFor(address string) *http.Transport {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	tr, ok := cl.transports[address]
	if !ok {
		tr = newTransport()
		cl.transports[address] = tr
	}
	return tr
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         keptconn.Dial(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
		IdleConnTimeout:     idleConnTimeout,
		ReadBufferSize:      connBufferBytes,
		WriteBufferSize:     connBufferBytes,
		DisableCompression:  true,
	}
}

// resetTransport gives an engine a new connection pool. Pooled connections can
// be dead while new ones still work, for example after a network fault.
func (cl *Client) resetTransport(address string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if tr, ok := cl.transports[address]; ok {
		tr.CloseIdleConnections()
	}
	cl.transports[address] = newTransport()
}

// Request describes one attempt: one try of a completion request on one engine.
type Request struct {
	ID mp.RequestID
	// Address is the engine's IP address and port.
	Address string
	// Path is the URL path of the completion endpoint.
	Path string
	// Body is the JSON request; it must request a stream.
	Body []byte
	// ResumeAt is the number of answer tokens that the caller already has. The
	// engine sends only the tokens after them; zero starts from the beginning.
	ResumeAt mp.Tokens
	// FirstEventTimeout limits the time until the first event; zero means no
	// limit.
	FirstEventTimeout time.Duration
	// OnEvent is called for each event in order. An error from it ends the attempt.
	OnEvent func(Event) error
	// OnLoad is called with the load from the engine's response headers; it may
	// be nil.
	OnLoad func(mp.EngineLoad)
}

// Event is one server-sent event of a stream.
type Event struct {
	// TokenCount is the number of answer tokens up to and including this event.
	TokenCount mp.Tokens
	// Data is the JSON text of the event.
	Data string
}

// Run makes an attempt: it sends the request and relays its events until the
// stream ends. It returns nil only after the end marker of the stream; otherwise
// it returns a *Failure, or the error from OnEvent.
func (cl *Client) Run(ctx context.Context, rq Request) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := cl.clock.AfterFunc(cl.streamIdleTimeout, func() { cancel(errStreamIdle) })
	defer idleTimer.Stop()

	if rq.FirstEventTimeout > 0 {
		firstEventTimer := cl.clock.AfterFunc(rq.FirstEventTimeout, func() { cancel(errFirstEventTimeout) })
		defer firstEventTimer.Stop()
		rq.OnEvent = stopTimerOnEvent(firstEventTimer, rq.OnEvent)
	}
	progressTimer := cl.clock.AfterFunc(progressTimeoutFactor*cl.streamIdleTimeout, func() { cancel(errStreamIdle) })
	defer progressTimer.Stop()
	progressTimer.Stop() // runs only between events
	rq.OnEvent = cl.restartTimerOnEvent(progressTimer, rq.OnEvent)
	response, use, err := cl.send(ctx, rq)
	if err != nil {
		return cl.handleFailure(ctx, rq, StageSend, err)
	}
	defer response.Body.Close()
	answered := response.Header.Get(mp.HeaderRequestID)
	if use.IsEarlier(answered) {
		use.Close()
		return &Failure{Stage: StageSend, cause: errors.Errorf("the engine answered request %q", answered)}
	}
	if response.StatusCode != http.StatusOK {
		defer use.Close() // the engine may write the refusal once more
		return newRefusal(response, use.MayBeEarlier(answered))
	}
	if err := checkResumeOffset(rq, response); err != nil {
		return err
	}
	if rq.OnLoad != nil {
		reportLoad(rq, response)
	}
	body := &idleTimeoutReader{reader: response.Body, idleTimer: idleTimer, streamIdleTimeout: cl.streamIdleTimeout}
	st := stream{request: rq, tokenCount: rq.ResumeAt}
	if err := st.relay(body); err != nil {
		return err
	}
	if st.complete {
		return nil
	}
	return cl.handleFailure(ctx, rq, StageStream, cmp.Or(st.reported, body.err))
}

// send sends the request and reads the header of its response. It returns the use of the
// connection.
func (cl *Client) send(ctx context.Context, rq Request) (*http.Response, *keptconn.Use, error) {
	ctx, use := keptconn.Trace(ctx, string(rq.ID))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+rq.Address+rq.Path, bytes.NewReader(rq.Body))
	if err != nil {
		return nil, use, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(mp.HeaderRequestID, string(rq.ID))
	if rq.ResumeAt > 0 {
		request.Header.Set(mp.HeaderLastEventID, strconv.FormatInt(int64(rq.ResumeAt), 10))
	}
	response, err := cl.transportFor(rq.Address).RoundTrip(request)
	if err != nil {
		return nil, use, err
	}
	if err := use.Check(response); err != nil {
		return nil, use, errors.Trace(err)
	}
	return response, use, nil
}

// stopTimerOnEvent returns a function that stops the timer and then calls onEvent.
func stopTimerOnEvent(timer clockwork.Timer, onEvent func(Event) error) func(Event) error {
	return func(ev Event) error {
		timer.Stop()
		return onEvent(ev)
	}
}

// restartTimerOnEvent returns a function that calls onEvent and then gives the engine
// the time of the timer for the next event.
func (cl *Client) restartTimerOnEvent(timer clockwork.Timer, onEvent func(Event) error) func(Event) error {
	return func(ev Event) error {
		timer.Stop()
		err := onEvent(ev)
		timer.Reset(progressTimeoutFactor * cl.streamIdleTimeout)
		return err
	}
}

// handleFailure returns the Failure of an attempt. After an idle timeout it also
// resets the engine's transport and cancels the request over a new connection,
// because the engine may still be working on it.
func (cl *Client) handleFailure(ctx context.Context, rq Request, stage Stage, err error) error {
	cause := context.Cause(ctx)
	fa := &Failure{Stage: stage, IdleTimedOut: errors.Is(cause, errStreamIdle), FirstEventTimedOut: errors.Is(cause, errFirstEventTimeout), cause: err}
	if fa.IdleTimedOut {
		cl.resetTransport(rq.Address)
		go cl.cancelBestEffort(rq.Address, rq.ID)
	}
	return fa
}

func (cl *Client) cancelBestEffort(address string, id mp.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = cl.Cancel(ctx, address, id)
}

// Cancel asks the engine to stop a request, whichever connection the request
// runs on. It returns an error if the engine sends no response; the status of a
// response is ignored.
func (cl *Client) Cancel(ctx context.Context, address string, id mp.RequestID) error {
	request, err := sling.New().Base("http://" + address).Post(fmt.Sprintf("/v1/requests/%s/cancel", id)).Request()
	if err != nil {
		return errors.Trace(err)
	}
	response, err := cl.transportFor(address).RoundTrip(request.WithContext(ctx))
	if err != nil {
		return errors.Annotatef(err, "cancel of request %q", id)
	}
	return errors.Trace(response.Body.Close())
}

// checkResumeOffset verifies that the engine resumes after the caller's last
// token.
func checkResumeOffset(rq Request, response *http.Response) error {
	if rq.ResumeAt == 0 {
		return nil
	}
	at := response.Header.Get(mp.HeaderResumedAt)
	if at == strconv.FormatInt(int64(rq.ResumeAt), 10) {
		return nil
	}
	return &Failure{Stage: StageSend, cause: errors.Errorf("the engine resumed at %q, not at %d", at, rq.ResumeAt)}
}

// reportLoad passes the load in the response headers to OnLoad. It does nothing
// if a header is missing or is not a number.
func reportLoad(rq Request, response *http.Response) {
	running, err := strconv.Atoi(response.Header.Get(mp.HeaderRunning))
	if err != nil {
		return
	}
	waiting, err := strconv.Atoi(response.Header.Get(mp.HeaderWaiting))
	if err != nil {
		return
	}
	rq.OnLoad(mp.EngineLoad{Running: running, Waiting: waiting})
}

func newRefusal(response *http.Response, unconfirmed bool) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, int64(maxErrorBodyBytes)))
	fa := &Failure{Stage: StageRefused, Status: response.StatusCode, Body: text, Unconfirmed: unconfirmed}
	if fa.Status == http.StatusServiceUnavailable {
		fa.RetryAfter = retry.ParseAfter(response.Header["Retry-After"])
	}
	return fa
}

// idleTimeoutReader runs the idle timer only while a read waits for the engine,
// so that a caller that reads slowly does not trip the engine's timeout.
type idleTimeoutReader struct {
	reader            io.Reader
	idleTimer         clockwork.Timer
	streamIdleTimeout time.Duration
	err               error // the error that ended reading
}

// Read implements io.Reader.
func (ir *idleTimeoutReader) Read(buf []byte) (int, error) {
	ir.idleTimer.Reset(ir.streamIdleTimeout)
	count, err := ir.reader.Read(buf)
	ir.idleTimer.Stop()
	if err != nil {
		ir.err = err
	}
	return count, err
}
