package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/quarantine"
)

const (
	// inspectionTimeout bounds the check of one server.
	inspectionTimeout = 500 * time.Millisecond
	// inspectors is the number of servers that are checked at once, and
	// maxPendingInspections the number that wait for it; more are left out.
	inspectors            = 4
	maxPendingInspections = 64
)

// brokenAttempt is an attempt that its server broke off.
type brokenAttempt struct {
	request  mp.RequestID
	server   placement.Server
	segments []quarantine.Segment // of the prompt, which other requests may share
	// startedAt and endedAt are the times of the attempt.
	startedAt, endedAt time.Time
	// wentOn reports that the server had gone on writing an answer.
	wentOn bool
}

// inspector finds out whether servers that broke off an attempt have ended, or only
// closed one connection.
type inspector struct {
	clock    clockwork.Clock
	logger   zerolog.Logger
	backends *backend.Pool
	pending  chan brokenAttempt
	onCrash  func(brokenAttempt)
}

// newInspector starts an inspector and returns it with a function that stops it. It calls
// onCrash with each attempt whose server has ended.
func newInspector(clock clockwork.Clock, logger zerolog.Logger, backends *backend.Pool, onCrash func(brokenAttempt)) (*inspector, func()) {
	in := &inspector{
		clock: clock, logger: logger, backends: backends, onCrash: onCrash,
		pending: make(chan brokenAttempt, maxPendingInspections),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range inspectors {
		group.Go(func() { in.run(ctx) })
	}
	return in, func() {
		cancel()
		group.Wait()
	}
}

// submit has the server of an attempt checked, unless too many wait for that.
func (in *inspector) submit(at brokenAttempt) {
	select {
	case in.pending <- at:
	default:
	}
}

func (in *inspector) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-in.pending:
			in.inspect(ctx, at)
		}
	}
}

// inspect checks whether the server of an attempt still accepts connections.
func (in *inspector) inspect(ctx context.Context, at brokenAttempt) {
	ctx, cancel := context.WithTimeout(ctx, inspectionTimeout)
	defer cancel()
	err := in.backends.Probe(ctx, at.server.Address)
	if backend.IsRefused(err) {
		in.onCrash(at)
	}
	in.logger.Info().Str("event", "server_inspected").Str("request", string(at.request)).Str("server", string(at.server.ID)).
		Strs("segments", formatSegments(at.segments)).Bool("ended", backend.IsRefused(err)).Bool("went_on", at.wentOn).
		Dur("age_ms", in.clock.Since(at.endedAt)).AnErr("cause", err).Msg("checked a server that broke off an attempt")
}

// formatSegments returns the identifiers of prompt segments for the log.
func formatSegments(segments []quarantine.Segment) []string {
	texts := make([]string, len(segments))
	for ix, segment := range segments {
		texts[ix] = fmt.Sprintf("%x", uint64(segment))
	}
	return texts
}
