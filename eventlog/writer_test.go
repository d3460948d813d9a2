package eventlog_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/eventlog"
	"github.com/mangopaddle/mangopaddle/testkit"
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

func TestWarningsHaveAReserve(t *testing.T) {
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
