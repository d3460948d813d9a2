package burn_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/burn"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/meter"
	"github.com/mangopaddle/mangopaddle/operator"
)

var class = &config.Class{
	Name:    "quote-drafts",
	Targets: config.Targets{FirstToken: mp.Duration(900 * time.Millisecond), BetweenTokens: mp.Duration(54 * time.Millisecond)},
}

// outcomes returns the outcomes of a host after the given numbers of requests whose
// first token met and missed the target.
func outcomes(host mp.HostID, clock clockwork.Clock, met, missed int) operator.Outcomes {
	me := meter.New(tally.NoopScope, meter.WithClock(clock))
	for ix := range met + missed {
		rr := me.StartRequest("o", class)
		latency := 100 * time.Millisecond
		if ix >= met {
			latency = 2 * time.Second
		}
		rr.RecordFirstToken(latency)
		rr.RecordTimeBetweenTokens(30*time.Millisecond, 1)
		rr.RecordCompleted(10)
	}
	return operator.Outcomes{Host: host, Classes: me.Report(), Tiers: me.Tiers()}
}

func rowOf(t *testing.T, re *burn.Report, target string) burn.Row {
	t.Helper()
	for _, ro := range re.Rows {
		if ro.Target == target {
			return ro
		}
	}
	require.Fail(t, "no row", target)
	return burn.Row{}
}

func TestCountsAreSummedOverHosts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	re, err := burn.New([]operator.Outcomes{outcomes("a", clock, 90, 10), outcomes("b", clock, 95, 5)}, []string{"127.0.0.1:9"})
	require.NoError(t, err)
	ro := rowOf(t, re, "first_token")
	require.EqualValues(t, 185, ro.Met)
	require.EqualValues(t, 15, ro.Missed)
	require.InDelta(t, 0.925, ro.Attainment, 1e-9)
	require.InDelta(t, 1.5, ro.ShortBurn, 1e-9)
	require.InDelta(t, -0.5, ro.BudgetLeft, 1e-9)
	require.Empty(t, ro.Alert)
	require.EqualValues(t, 2000, re.Classes[0].Goodput)
	require.InDelta(t, 1.0/3, re.MissingFraction, 1e-9)
	require.Equal(t, []string{"127.0.0.1:9"}, re.MissingHosts)
}

func TestMergedQuantilesAreWithinRelativeAccuracy(t *testing.T) {
	re, err := burn.New([]operator.Outcomes{outcomes("a", clockwork.NewFakeClock(), 50, 0), outcomes("b", clockwork.NewFakeClock(), 0, 50)}, nil)
	require.NoError(t, err)
	for _, lq := range re.Latencies {
		if lq.Target != "first_token" {
			continue
		}
		require.EqualValues(t, 100, lq.Count)
		require.InEpsilon(t, 0.1, lq.P50.Std().Seconds(), meter.RelativeAccuracy)
		require.InEpsilon(t, 2.0, lq.P95.Std().Seconds(), meter.RelativeAccuracy)
	}
}

// TestMissesLeaveBurnRateWindows guards against an alert that stays after the misses
// have left the short window, and against totals that lose what has left both windows.
func TestMissesLeaveBurnRateWindows(t *testing.T) {
	clock := clockwork.NewFakeClock()
	me := meter.New(tally.NoopScope, meter.WithClock(clock))
	me.StartRequest("o", class).RecordFirstToken(time.Minute)
	currentRow := func() burn.Row {
		re, err := burn.New([]operator.Outcomes{{Host: "a", Classes: me.Report()}}, nil)
		require.NoError(t, err)
		return rowOf(t, re, "first_token")
	}
	require.Equal(t, "fast", currentRow().Alert)
	clock.Advance(meter.ShortWindow + time.Minute)
	require.Zero(t, currentRow().ShortBurn)
	require.Positive(t, currentRow().LongBurn)
	require.Empty(t, currentRow().Alert)
	clock.Advance(meter.LongWindow + 5*time.Minute)
	require.Zero(t, currentRow().LongBurn)
	require.EqualValues(t, 1, currentRow().Missed)
}

func TestReportNamesMissingHosts(t *testing.T) {
	re, err := burn.New([]operator.Outcomes{outcomes("a", clockwork.NewFakeClock(), 1, 1)}, []string{"127.0.0.1:9"})
	require.NoError(t, err)
	var text, html bytes.Buffer
	require.NoError(t, re.WriteText(&text))
	require.NoError(t, re.WriteHTML(&html))
	for _, page := range []string{text.String(), html.String()} {
		require.Contains(t, page, "127.0.0.1:9")
		require.Contains(t, page, "quote-drafts")
	}
	require.Contains(t, html.String(), "<svg")
}
