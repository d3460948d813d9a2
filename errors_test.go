package mangopaddle_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
)

func TestEveryKindHasUniqueResponse(t *testing.T) {
	codes := map[string]bool{}
	for _, kind := range mp.Kinds() {
		re := kind.Response()
		require.NotEmpty(t, re.Code)
		require.False(t, codes[re.Code], "duplicate code %q", re.Code)
		codes[re.Code] = true
		require.GreaterOrEqual(t, re.Status, http.StatusBadRequest)
		require.NotEmpty(t, re.Type)
		if re.RetryAfter > 0 {
			require.True(t, re.Retryable, "%s has a retry delay but is not retryable", kind)
		}
	}
}

func TestKindsWithUnknownOutcomeDoNotClaimNotRun(t *testing.T) {
	for _, kind := range []mp.Kind{mp.KindOutcomeUnknown, mp.KindBackendFailed, mp.KindFirstTokenLate, mp.KindInternal, mp.KindCallerGone} {
		require.False(t, kind.Response().NotRun, kind.String())
	}
	require.False(t, mp.KindOutcomeUnknown.Response().Retryable, "a retry could run the request twice")
}

func TestWrapErrorKeepsKindAndCause(t *testing.T) {
	cause := errors.New("reset")
	er := mp.WrapError(cause, mp.KindNoBackend, "no engine %q", "e1").WithRetryAfter(7 * time.Second)
	require.Equal(t, mp.KindNoBackend, mp.KindOf(er))
	require.ErrorIs(t, er, cause)
	require.Equal(t, `no engine "e1"`, er.Message())
	require.Equal(t, 7*time.Second, er.RetryDelay())
	require.Equal(t, mp.KindInternal, mp.KindOf(cause))
}

func TestDurationRequiresUnit(t *testing.T) {
	var du mp.Duration
	require.NoError(t, du.UnmarshalJSON([]byte(`"900ms"`)))
	require.Equal(t, 900*time.Millisecond, du.Std())
	require.ErrorContains(t, du.UnmarshalJSON([]byte(`900`)), "with a unit")
}
