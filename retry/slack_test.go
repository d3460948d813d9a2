package retry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/retry"
)

// TestPartsOfASlackStayWithinIt adds up the parts of all hosts of a deployment: while
// they don't know each other, when they do, and when they are cut off from each other
// afterwards.
func TestPartsOfASlackStayWithinIt(t *testing.T) {
	const slack = 400.0
	for _, hostsByDataCentre := range [][]int{{1}, {3, 3, 2}, {36, 35, 30, 28, 31, 35}, {1, 1, 70}, {50, 50, 50, 50, 50, 50}, {150, 160, 170, 160, 165, 165}} {
		t.Run(fmt.Sprint(hostsByDataCentre), func(t *testing.T) {
			var starting, known, cut float64
			for _, hosts := range hostsByDataCentre {
				for range hosts {
					ss := retry.NewSharedSlack(slack, len(hostsByDataCentre))
					starting += ss.Part()
					ss.Observe(hosts)
					known += ss.Part()
					ss.Observe(1)
					cut += ss.Part()
				}
			}
			require.LessOrEqual(t, starting, slack)
			if hostsByDataCentre[0] > 1 || len(hostsByDataCentre) == 1 {
				require.LessOrEqual(t, known, slack)
			}
			require.InDelta(t, known, cut, 1e-6, "a cut gives no host a larger part")
		})
	}
}
