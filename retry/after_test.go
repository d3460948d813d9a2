package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/retry"
)

func TestParseAfter(t *testing.T) {
	require.Equal(t, 1500*time.Millisecond, retry.ParseAfter([]string{" 1.5 "}))
	require.Equal(t, 3*time.Second, retry.ParseAfter([]string{"2", "3", "later"}))
	require.Equal(t, 24*time.Hour, retry.ParseAfter([]string{"1e300"}))
	require.Zero(t, retry.ParseAfter(nil))
	for _, value := range []string{"", "0", "-1", "NaN", "+Inf", "-Inf", "1e999", "1s", "1,2", "Fri, 31 Dec 2027 23:59:59 GMT"} {
		require.Zero(t, retry.ParseAfter([]string{value}), "value %q", value)
	}
}
