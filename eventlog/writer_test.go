package eventlog_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/eventlog"
	"github.com/mangopaddle/mangopaddle/testkit"
)

// blockingWriter is an output that blocks until it is released.
type blockingWriter struct{ release chan struct{} }

func (bl blockingWriter) Write(data []byte) (int, error) {
	<-bl.release
	return len(data), nil
}

func TestBlockedOutputDoesNotBlockWriter(t *testing.T) {
	out := blockingWriter{release: make(chan struct{})}
	wr, _ := eventlog.New(out)
	defer close(out.release)
	logger := zerolog.New(wr)
	for range 5000 {
		logger.Warn().Msg("line")
	}
	require.Positive(t, wr.Dropped())
}

// TestRateReserveForWarnings checks that a warning is still written after info lines
// have used up their part of the rate limit.
func TestRateReserveForWarnings(t *testing.T) {
	out := &testkit.LogBuffer{}
	wr, flush := eventlog.New(out, eventlog.WithClock(clockwork.NewFakeClock()))
	logger := zerolog.New(wr)
	for range 100 {
		for range 5 {
			logger.Info().Msg("often")
		}
	}
	require.Positive(t, wr.Dropped())
	logger.Warn().Msg("rare")
	flush()
	require.Contains(t, out.Text(), "rare")
}
