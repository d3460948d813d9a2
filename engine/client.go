// Package engine speaks to model engines: it starts, resumes and cancels
// streams, and tells how a stream failed.
package engine

import (
	"bytes"
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
)

const (
	defaultSilence = 3 * time.Second
	dialTimeout    = time.Second
	cancelTimeout  = 2 * time.Second
	idleTimeout    = 30 * time.Second
	idlePerEngine  = 64 // connections
	readBuffer     = int(mp.Kibibyte)
	maxRefusal     = 64 * mp.Kibibyte // of an engine's error answer
	maxEvent       = mp.Mebibyte
)

// Client holds connections to the engines.
type Client struct {
	clock   clockwork.Clock
	silence time.Duration

	mu         sync.Mutex
	transports map[string]*http.Transport
}

// Option changes a client under construction.
type Option func(*Client)

// WithClock sets the clock of the progress timeouts.
func WithClock(clock clockwork.Clock) Option {
	return func(cl *Client) { cl.clock = clock }
}

// WithStreamIdleTimeout sets how long a stream may send nothing. Engines send comments
// while a request waits, so silence means a lost connection or a hung engine.
func WithStreamIdleTimeout(silence time.Duration) Option {
	return func(cl *Client) { cl.silence = silence }
}

// New returns a client and a function that closes its connections.
func New(opts ...Option) (*Client, func()) {
	cl := &Client{
		clock:      clockwork.NewRealClock(),
		silence:    defaultSilence,
		transports: map[string]*http.Transport{},
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

func (cl *Client) transport(address string) *http.Transport {
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
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerEngine,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      readBuffer,
		WriteBufferSize:     readBuffer,
		DisableCompression:  true,
	}
}

// refresh makes the next request to an engine use a new connection, because
// old ones can be dead while new ones work.
func (cl *Client) refresh(address string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if tr, ok := cl.transports[address]; ok {
		tr.CloseIdleConnections()
	}
	cl.transports[address] = newTransport()
}

// Request is one run on an engine.
type Request struct {
	ID mp.RequestID
	// Address is the engine's IP number and port.
	Address string
	// Path is the path of the completion call.
	Path string
	// Body asks for a stream.
	Body []byte
	// ResumeAt is how many tokens of the answer the caller has; the engine
	// sends only the tokens behind them.
	ResumeAt mp.Tokens
	// FirstEventTimeout bounds the time to the first event; zero sets no bound.
	FirstEventTimeout time.Duration
	// OnEvent takes each event in order. Its error ends the run.
	OnEvent func(Event) error
	// OnLoad takes the load that the engine reports; it may be nil.
	OnLoad func(mp.EngineLoad)
}

// Event is one event of a stream.
type Event struct {
	// TokenCount is how many tokens of the answer there are with this event.
	TokenCount mp.Tokens
	// Data is the JSON text of the event.
	Data string
}

// Run sends a request and passes its events on until the stream ends. It
// returns nil only if the stream was complete; otherwise a *Failure, or the
// error of Events.
func (cl *Client) Run(ctx context.Context, rq Request) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := cl.clock.AfterFunc(cl.silence, func() { cancel(errSilent) })
	defer watchdog.Stop()

	if rq.FirstEventTimeout > 0 {
		bound := cl.clock.AfterFunc(rq.FirstEventTimeout, func() { cancel(errFirstLate) })
		defer bound.Stop()
		rq.OnEvent = stopAtFirst(bound, rq.OnEvent)
	}
	response, err := cl.send(ctx, rq)
	if err != nil {
		return cl.fail(ctx, rq, StageSend, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	if err := checkResumed(rq, response); err != nil {
		return err
	}
	if rq.OnLoad != nil {
		reportLoad(rq, response)
	}
	body := &watchedReader{reader: response.Body, watchdog: watchdog, silence: cl.silence}
	st := stream{request: rq, count: rq.ResumeAt}
	if err := st.relay(body); err != nil {
		return err
	}
	if st.complete {
		return nil
	}
	return cl.fail(ctx, rq, StageStream, body.err)
}

func (cl *Client) send(ctx context.Context, rq Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+rq.Address+rq.Path, bytes.NewReader(rq.Body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(mp.HeaderRequestID, string(rq.ID))
	if rq.ResumeAt > 0 {
		request.Header.Set(mp.HeaderLastEventID, strconv.FormatInt(int64(rq.ResumeAt), 10))
	}
	return cl.transport(rq.Address).RoundTrip(request)
}

// stopAtFirst stops the timer when the first event comes.
func stopAtFirst(bound clockwork.Timer, events func(Event) error) func(Event) error {
	return func(ev Event) error {
		bound.Stop()
		return events(ev)
	}
}

// fail describes a broken run. After a silent one it cancels the request over
// a new connection.
func (cl *Client) fail(ctx context.Context, rq Request, stage Stage, err error) error {
	cause := context.Cause(ctx)
	fa := &Failure{Stage: stage, IdleTimedOut: errors.Is(cause, errSilent), FirstEventTimedOut: errors.Is(cause, errFirstLate), cause: err}
	if fa.IdleTimedOut {
		cl.refresh(rq.Address)
		go cl.cancelQuietly(rq.Address, rq.ID)
	}
	return fa
}

func (cl *Client) cancelQuietly(address string, id mp.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = cl.Cancel(ctx, address, id)
}

// Cancel ends a request on an engine, wherever its connection is.
func (cl *Client) Cancel(ctx context.Context, address string, id mp.RequestID) error {
	request, err := sling.New().Base("http://" + address).Post(fmt.Sprintf("/v1/requests/%s/cancel", id)).Request()
	if err != nil {
		return errors.Trace(err)
	}
	response, err := cl.transport(address).RoundTrip(request.WithContext(ctx))
	if err != nil {
		return errors.Annotatef(err, "cancel of request %q", id)
	}
	return errors.Trace(response.Body.Close())
}

// checkResumed makes sure that the engine goes on where the caller is.
func checkResumed(rq Request, response *http.Response) error {
	if rq.ResumeAt == 0 {
		return nil
	}
	at := response.Header.Get(mp.HeaderResumedAt)
	if at == strconv.FormatInt(int64(rq.ResumeAt), 10) {
		return nil
	}
	return &Failure{Stage: StageSend, cause: errors.Errorf("the engine resumed at %q, not at %d", at, rq.ResumeAt)}
}

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

func refusal(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, int64(maxRefusal)))
	return &Failure{Stage: StageRefused, Status: response.StatusCode, Body: text}
}

// watchedReader lets the watchdog run only while it waits for the engine, so that
// a slow caller does not make the engine look silent.
type watchedReader struct {
	reader   io.Reader
	watchdog clockwork.Timer
	silence  time.Duration
	err      error // that ended the reading
}

// Read implements io.Reader.
func (wr *watchedReader) Read(part []byte) (int, error) {
	wr.watchdog.Reset(wr.silence)
	count, err := wr.reader.Read(part)
	wr.watchdog.Stop()
	if err != nil {
		wr.err = err
	}
	return count, err
}
