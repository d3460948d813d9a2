package engine_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/engine"
)

// serve answers every request with a body and headers.
func serve(t testing.TB, body string, header http.Header) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		for name, values := range header {
			rw.Header()[name] = values
		}
		_, _ = rw.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func relay(t testing.TB, address string, resumeAt mp.Tokens) ([]engine.Event, error) {
	t.Helper()
	client, closeClient := engine.New()
	t.Cleanup(closeClient)
	var events []engine.Event
	err := client.Run(t.Context(), engine.Request{
		ID: "r", Address: address, Path: "/v1/chat/completions", Body: []byte("{}"), ResumeAt: resumeAt,
		OnEvent: func(ev engine.Event) error {
			events = append(events, ev)
			return nil
		},
	})
	return events, err
}

func event(number int, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, data)
}

const end = "data: [DONE]\n\n"

func TestAResumedStreamRepeatsNoToken(t *testing.T) {
	body := event(3, `"three"`) + event(4, `"four"`) + event(5, `"five"`) + event(5, `{"choices":[],"usage":{}}`) + end
	resumed := http.Header{http.CanonicalHeaderKey(mp.HeaderResumedAt): {"4"}}
	events, err := relay(t, serve(t, body, resumed), 4)
	require.NoError(t, err)
	require.Equal(t, []engine.Event{{TokenCount: 5, Data: `"five"`}, {TokenCount: 5, Data: `{"choices":[],"usage":{}}`}}, events)
}

func TestAnEngineThatResumesElsewhereIsRefused(t *testing.T) {
	events, err := relay(t, serve(t, event(1, `"one"`)+end, nil), 4)
	require.Empty(t, events)
	require.ErrorContains(t, err, "not at 4")
}

func TestAStreamWithoutItsEndIsBroken(t *testing.T) {
	events, err := relay(t, serve(t, event(1, `"one"`), nil), 0)
	require.Len(t, events, 1)
	var failure *engine.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, engine.StageStream, failure.Stage)
	require.False(t, failure.NotRun())
}

// FuzzRelay checks that whatever an engine sends, counts never fall and a stream
// is complete only with its end.
func FuzzRelay(f *testing.F) {
	f.Add(event(1, "a") + event(2, "b") + end)
	f.Add(event(2, "a") + event(1, "b") + ": comment\n\n" + end)
	f.Add("id: x\ndata: y\n\ndata: [DONE]")
	f.Fuzz(func(t *testing.T, body string) {
		events, err := relay(t, serve(t, body, nil), 0)
		last := mp.Tokens(0)
		for _, ev := range events {
			require.GreaterOrEqual(t, ev.TokenCount, last)
			last = ev.TokenCount
		}
		if !strings.Contains(body, mp.StreamEnd) {
			require.Error(t, err)
		}
	})
}
