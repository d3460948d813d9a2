// Package control runs a host's controllers over the blackboard, in a fixed order on
// one goroutine. Package host lists the controllers. Other goroutines change the board
// by messages only.
package control

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
)

// Controller is a controller that runs over a blackboard.Board.
type Controller = mp.Controller[blackboard.Board]

const (
	defaultInterval  = 200 * time.Millisecond
	defaultQueueSize = 256 // messages
)

// Loop is the control loop of a host. It runs all controllers at an interval and
// after each message.
type Loop struct {
	clock    clockwork.Clock
	logger   zerolog.Logger
	scope    tally.Scope
	interval time.Duration
	messages chan blackboard.Message
	steps    []*step
	board    *blackboard.Board
	dropped  tally.Counter
}

// Option configures a loop.
type Option func(*Loop)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(lo *Loop) { lo.clock = clock }
}

// WithLogger sets the logger for controllers that fail or recover. The default
// discards all lines.
func WithLogger(logger zerolog.Logger) Option {
	return func(lo *Loop) { lo.logger = logger }
}

// WithScope sets the metrics scope. The default discards all metrics.
func WithScope(scope tally.Scope) Option {
	return func(lo *Loop) { lo.scope = scope }
}

// WithInterval sets the interval between two passes over the controllers. The
// default is 200 ms.
func WithInterval(interval time.Duration) Option {
	return func(lo *Loop) { lo.interval = interval }
}

// New starts a loop over the board. It returns the loop and a function that stops
// it. From then on only controllers and messages may access the board.
func New(board *blackboard.Board, controllers []Controller, opts ...Option) (*Loop, func()) {
	lo := &Loop{
		clock:    clockwork.NewRealClock(),
		logger:   zerolog.Nop(),
		scope:    tally.NoopScope,
		interval: defaultInterval,
		messages: make(chan blackboard.Message, defaultQueueSize),
		board:    board,
	}
	for _, opt := range opts {
		opt(lo)
	}
	lo.dropped = lo.scope.Counter("control_messages_dropped")
	for _, co := range controllers {
		co.Defaults()
		lo.steps = append(lo.steps, newStep(co, lo.logger, lo.scope))
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		lo.run(stop)
	}()
	return lo, func() {
		close(stop)
		<-done
	}
}

// Post queues a message for the control goroutine. It never blocks: if the queue is
// full, it drops and counts the message and returns false.
func (lo *Loop) Post(me blackboard.Message) bool {
	select {
	case lo.messages <- me:
		return true
	default:
		lo.dropped.Inc(1)
		return false
	}
}

// inspect is a message that runs a function on the control goroutine.
type inspect struct {
	read func(bo *blackboard.Board)
	done chan struct{}
}

// Apply implements blackboard.Message.
func (in inspect) Apply(bo *blackboard.Board) {
	in.read(bo)
	close(in.done)
}

// Inspect runs a function on the control goroutine and waits for it to return. The
// function must not retain the board. Inspect fails if the queue is full or the
// function has not returned within a second; in the latter case it may still run
// later.
func (lo *Loop) Inspect(read func(bo *blackboard.Board)) error {
	in := inspect{read: read, done: make(chan struct{})}
	if !lo.Post(in) {
		return errors.New("the control queue is full")
	}
	select {
	case <-in.done:
		return nil
	case <-lo.clock.After(time.Second):
		return errors.Timeoutf("control goroutine")
	}
}

func (lo *Loop) run(stop <-chan struct{}) {
	ticker := lo.clock.NewTicker(lo.interval)
	defer ticker.Stop()
	lo.pass()
	for {
		select {
		case <-stop:
			return
		case me := <-lo.messages:
			me.Apply(lo.board)
		case <-ticker.Chan():
		}
		lo.pass()
	}
}

// pass runs each controller once.
func (lo *Loop) pass() {
	lo.board.Now = lo.clock.Now()
	for _, st := range lo.steps {
		st.run(lo.board)
	}
}
