package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// startCrashing starts two servers. The one that gets the first request answers it with the
// beginning of a response that has neither a length nor chunks, and then crashes: its system
// closes the connection in order. header holds additional lines of that response, and next handles the requests that follow.
func startCrashing(t *testing.T, beginning string, next fakeserver.Handler, header ...string) []*fakeserver.Server {
	t.Helper()
	var calls atomic.Int64
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if calls.Add(1) > 1 {
			return next(co, rq)
		}
		co.BeginUnframed(rq, header...)
		co.Printf("%s", beginning)
		co.Crash()
		return false
	}
	return []*fakeserver.Server{startServer(t, handler), startServer(t, handler)}
}

// TestStreamCutByCrashOfItsEngineGoesOnElsewhere guards against a stream that ends as complete
// before its last event because its engine has crashed between two events.
func TestStreamCutByCrashOfItsEngineGoesOnElsewhere(t *testing.T) {
	engines := startCrashing(t, events(1, 2), func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		co.WriteEvent(rq.LastEventID() + 1)
		co.EndStream()
		return true
	})
	fx := newFixture(t, nil, engines)
	got := fx.post(resumablePath, "r-1", "prompt")
	require.NoError(t, got.err)
	require.Equal(t, events(1, 3), got.body)
}

// TestStreamCutByCrashOfItsEngineIsNotComplete is the same where the stream can't be resumed.
func TestStreamCutByCrashOfItsEngineIsNotComplete(t *testing.T) {
	engines := startCrashing(t, events(1, 2), respondWith("no second request is expected"))
	fx := newFixture(t, nil, engines)
	got := fx.post(nonResumablePath, "r-1", "prompt")
	require.Error(t, got.err, "the stream must not look complete")
	require.Equal(t, events(1, 2), got.body)
	require.Equal(t, 1, requestCount(engines...))
}

// TestAnswerCutByCrashOfItsServerIsNotComplete guards against a part of an answer that gets a
// length and looks whole because its server has crashed.
func TestAnswerCutByCrashOfItsServerIsNotComplete(t *testing.T) {
	for name, part := range map[string]string{"short": "half of the", "longer than is buffered": strings.Repeat("x", 300<<10)} {
		t.Run(name, func(t *testing.T) {
			app := startCrashing(t, part, respondWith("no second request is expected"))
			fx := newFixture(t, app, nil)
			got := fx.post(nonIdempotentPath, "r-1", "order")
			require.True(t, got.err != nil || got.status == http.StatusBadGateway, "status %d, body of %d bytes", got.status, len(got.body))
			require.Equal(t, 1, requestCount(app...))
		})
	}
}

// TestAnswerCutByCrashOfItsServerIsAskedForAgain is the same where the request may be repeated.
func TestAnswerCutByCrashOfItsServerIsAskedForAgain(t *testing.T) {
	app := startCrashing(t, "half of the", respondWith("the whole answer"))
	fx := newFixture(t, app, nil)
	got := fx.get("r-1")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "the whole answer", got.body)
}

// TestAnswerOfServerThatStopsIsRelayed guards against the last answers of a server that are
// taken to be cut because it accepts no new connections while it stops as planned.
func TestAnswerOfServerThatStopsIsRelayed(t *testing.T) {
	app := startCrashing(t, "the whole answer", respondWith("no second request is expected"), fakeserver.Leaving)
	fx := newFixture(t, app, nil)
	got := fx.post(nonIdempotentPath, "r-1", "order")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "the whole answer", got.body)
}

// TestStreamThatEndsWithItsConnectionIsRelayed guards against sound streams that are taken to be
// cut because they have neither a length nor chunks.
func TestStreamThatEndsWithItsConnectionIsRelayed(t *testing.T) {
	engine := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginUnframed(rq)
		co.Printf("%s", events(1, 3))
		return false
	})
	fx := newFixture(t, nil, []*fakeserver.Server{engine})
	for ix, path := range []string{resumablePath, nonResumablePath} {
		got := fx.post(path, []string{"r-1", "r-2"}[ix], "prompt")
		require.NoError(t, got.err)
		require.Equal(t, events(1, 3), got.body)
	}
	require.Equal(t, 2, requestCount(engine))
}
