package e2e_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/quickstart"
	"github.com/mangopaddle/mangopaddle/testkit"
)

// TestRefusalOfResumedStreamIsNotWrittenIntoIt guards against the text of an engine's error in a
// stream that had begun at another engine.
func TestRefusalOfResumedStreamIsNotWrittenIntoIt(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusInternalServerError} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
				rw.Header().Set(mp.HeaderRequestID, rq.Header.Get(mp.HeaderRequestID))
				if !strings.HasPrefix(rq.URL.Path, testkit.ChatPath) {
					return
				}
				if calls.Add(1) > 1 {
					http.Error(rw, `{"error":{"message":"text of the engine"}}`, status)
					return
				}
				for id := range 2 {
					_, _ = fmt.Fprintf(rw, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n", id+1)
				}
				_ = http.NewResponseController(rw).Flush()
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(server.Close)
			de := testkit.StartDeployment(t)
			republish(t, de, func(fl *config.Fleet) {
				for ix := range fl.Engines {
					fl.Engines[ix].Address = strings.TrimPrefix(server.URL, "http://")
				}
			})
			got := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "q", true, "5"))
			require.Contains(t, got.Body, "word ")
			require.NotContains(t, got.Body, "text of the engine")
			require.NotContains(t, got.Body, "invalid_request")
			require.NotContains(t, got.Body, mp.StreamEnd)
			require.Greater(t, calls.Load(), int64(1))
		})
	}
}

// TestStreamWithoutIDsIsNotBegunTwice guards against an answer that is begun once more in the
// middle of itself: without IDs of events, no engine can be told where to go on.
func TestStreamWithoutIDsIsNotBegunTwice(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %v", stream), func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
				if !strings.HasPrefix(rq.URL.Path, testkit.ChatPath) {
					return
				}
				_, _ = fmt.Fprint(rw, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n")
				if calls.Add(1) == 1 {
					_ = http.NewResponseController(rw).Flush()
					panic(http.ErrAbortHandler)
				}
				_, _ = fmt.Fprint(rw, "data: [DONE]\n\n")
			}))
			t.Cleanup(server.Close)
			de := testkit.StartDeployment(t)
			republish(t, de, func(fl *config.Fleet) {
				for ix := range fl.Engines {
					fl.Engines[ix].Address = strings.TrimPrefix(server.URL, "http://")
				}
			})
			got := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "q", stream, "5"))
			require.LessOrEqual(t, strings.Count(got.Body, "word"), 1, got.Body)
			require.NotContains(t, got.Body, mp.StreamEnd)
			require.Contains(t, got.Body, mp.KindBackendFailed.String())
			require.Equal(t, int64(1), calls.Load())
		})
	}
}
