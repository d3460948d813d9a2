package eventlog_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/eventlog"
)

// stuck is an output that never returns.
type stuck struct{ release chan struct{} }

func (st stuck) Write(data []byte) (int, error) {
	<-st.release
	return len(data), nil
}

func TestOutputThatBlocksDoesNotBlockTheWriter(t *testing.T) {
	out := stuck{release: make(chan struct{})}
	wr, _ := eventlog.New(out)
	defer close(out.release)
	logger := zerolog.New(wr)
	for range 5000 {
		logger.Warn().Msg("line")
	}
	require.Positive(t, wr.Dropped())
}

// safeBuffer is a buffer for two goroutines.
type safeBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (sb *safeBuffer) Write(data []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.lines.Write(data)
}

func TestWarningsHaveAReserve(t *testing.T) {
	out := &safeBuffer{}
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
	require.Contains(t, out.lines.String(), "rare")
}
