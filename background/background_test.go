package background_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/background"
)

func TestStopWaitsForReturn(t *testing.T) {
	returned := false
	stop := background.Run(func(ctx context.Context) {
		<-ctx.Done()
		returned = true
	})
	stop()
	require.True(t, returned)
}

func TestEveryCallsAtInterval(t *testing.T) {
	clock := clockwork.NewFakeClock()
	calls := make(chan struct{}, 8)
	stop := background.Every(clock, time.Second, func() { calls <- struct{}{} })
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	for range 3 {
		clock.Advance(time.Second)
		<-calls
	}
	clock.Advance(time.Second / 2)
	stop()
	require.Empty(t, calls)
}
