package peer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/brittle"
	"github.com/mangopaddle/mangopaddle/peer"
)

// reportsOf returns reports on services with names of a length, with a number of rejections each.
func reportsOf(services, nameBytes, rejections int) brittle.Reports {
	reports := brittle.Reports{}
	for ix := range services {
		re := brittle.Report{Limit: 3}
		for range rejections {
			re.Rejections = append(re.Rejections, brittle.Rejection{Server: mp.ServerID(strings.Repeat("e", 100))})
		}
		reports[mp.ServiceName(strings.Repeat(string(rune('a'+ix)), nameBytes))] = re
	}
	return reports
}

// TestUpdatesTellOfBrittleServices guards against an update that isn't sent because it tells too
// much of brittle services: it is also the sign that the host is alive.
func TestUpdatesTellOfBrittleServices(t *testing.T) {
	send := func(reports brittle.Reports) brittle.Reports {
		return sendUpdate(t, &busyDelegate{loads: loadsOf(1)}, peer.WithBrittle(func(bool) brittle.Reports { return reports })).Brittle
	}
	small, large := reportsOf(2, 10, 2), reportsOf(8, 60, 8)
	require.Equal(t, small, send(small))
	require.Equal(t, large.WithoutRejections(), send(large))
	require.Empty(t, send(reportsOf(8, 4000, 0)))
}
