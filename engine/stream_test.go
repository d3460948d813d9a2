package engine_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/engine"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// startEngine serves a fixed body and headers to every request and returns the
// server's address.
func startEngine(t testing.TB, body string, header http.Header) string {
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

func runRequest(t testing.TB, address string, resumeAt mp.Tokens) ([]engine.Event, error) {
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

func sseEvent(number int, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, data)
}

const endEvent = "data: [DONE]\n\n"

func TestResumeSkipsDeliveredTokens(t *testing.T) {
	body := sseEvent(3, `"three"`) + sseEvent(4, `"four"`) + sseEvent(5, `"five"`) + sseEvent(5, `{"choices":[],"usage":{}}`) + endEvent
	resumed := http.Header{http.CanonicalHeaderKey(mp.HeaderResumedAt): {"4"}}
	events, err := runRequest(t, startEngine(t, body, resumed), 4)
	require.NoError(t, err)
	require.Equal(t, []engine.Event{{TokenCount: 5, Data: `"five"`}, {TokenCount: 5, Data: `{"choices":[],"usage":{}}`}}, events)
}

func TestResumeOffsetMismatchFails(t *testing.T) {
	events, err := runRequest(t, startEngine(t, sseEvent(1, `"one"`)+endEvent, nil), 4)
	require.Empty(t, events)
	require.ErrorContains(t, err, "not at 4")
}

func TestStreamWithoutEndMarkerFails(t *testing.T) {
	events, err := runRequest(t, startEngine(t, sseEvent(1, `"one"`), nil), 0)
	require.Len(t, events, 1)
	var failure *engine.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, engine.StageStream, failure.Stage)
	require.False(t, failure.NotRun())
}

// TestServerErrorMayHaveRun checks which answers of an engine tell that it did no work.
func TestServerErrorMayHaveRun(t *testing.T) {
	for status, notRun := range map[int]bool{
		http.StatusTooManyRequests:     true,
		http.StatusServiceUnavailable:  true,
		http.StatusBadRequest:          true,
		http.StatusInternalServerError: false,
		http.StatusBadGateway:          false,
		http.StatusGatewayTimeout:      false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(status) }))
		t.Cleanup(server.Close)
		_, err := runRequest(t, strings.TrimPrefix(server.URL, "http://"), 0)
		var failure *engine.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, notRun, failure.NotRun(), "status %d", status)
	}
}

// TestStalledStreamFails plays an engine that sends comments without end after its first
// event.
func TestStalledStreamFails(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		_, _ = rw.Write([]byte(sseEvent(1, `"one"`)))
		for rq.Context().Err() == nil {
			_, _ = rw.Write([]byte(": waiting\n\n"))
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	client, closeClient := engine.New(engine.WithStreamIdleTimeout(50 * time.Millisecond))
	t.Cleanup(closeClient)
	err := client.Run(t.Context(), engine.Request{
		ID: "r", Address: strings.TrimPrefix(server.URL, "http://"), Path: "/v1/chat/completions", Body: []byte("{}"),
		OnEvent: func(engine.Event) error { return nil },
	})
	var failure *engine.Failure
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.IdleTimedOut)
}

// firstID and secondID are request IDs as the router gives them.
const (
	firstID  = "req-6b29fc40-ca47-4067-b31d-00dd010662da"
	secondID = "req-0f8fad5b-d9cb-469f-a165-70867728950e"
)

// TestRepeatedRefusalDoesNotSayThatNothingRan guards against a refusal that an engine writes
// once more on a kept connection, so that the caller is told that its request was not run.
func TestRepeatedRefusalDoesNotSayThatNothingRan(t *testing.T) {
	for name, repeated := range map[string]struct {
		line   string
		notRun bool
	}{
		"with the ID of the earlier request": {mp.HeaderRequestID + ": " + firstID + "\r\n", false},
		"without an ID":                      {"", false},
		"with an ID of the engine's own":     {mp.HeaderRequestID + ": cmpl-17\r\n", false},
		"a refusal of the present request":   {mp.HeaderRequestID + ": " + secondID + "\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n"
			server, stop, err := fakeserver.New(func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				if rq.Header.Get(mp.HeaderRequestID) == firstID {
					co.Printf(refusal, mp.HeaderRequestID+": "+firstID+"\r\n")
					return true
				}
				co.Printf(refusal, repeated.line)
				return true
			})
			require.NoError(t, err)
			t.Cleanup(stop)
			client, closeClient := engine.New()
			t.Cleanup(closeClient)
			run := func(id mp.RequestID) *engine.Failure {
				err := client.Run(t.Context(), engine.Request{
					ID: id, Address: server.Address(), Path: "/v1/chat/completions", Body: []byte("{}"),
					OnEvent: func(engine.Event) error { return nil },
				})
				var failure *engine.Failure
				require.ErrorAs(t, err, &failure)
				return failure
			}
			require.True(t, run(firstID).NotRun())
			second := run(secondID)
			requests := server.Requests()
			require.Equal(t, 1, requests[len(requests)-1].ConnectionNumber, "the connection is kept")
			require.Equal(t, repeated.notRun, second.NotRun())
			require.False(t, second.IsClientError())
		})
	}
}

// TestAnswerToAnotherRequestIsNotRelayed guards against a stream that an engine sends late, in
// place of the answer to the next request on its connection.
func TestAnswerToAnotherRequestIsNotRelayed(t *testing.T) {
	address := startEngine(t, sseEvent(1, `"of another"`)+endEvent, http.Header{http.CanonicalHeaderKey(mp.HeaderRequestID): {firstID}})
	events, err := runRequest(t, address, 0)
	require.Empty(t, events)
	var failure *engine.Failure
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.NotRun())
	address = startEngine(t, sseEvent(1, `"own"`)+endEvent, http.Header{http.CanonicalHeaderKey(mp.HeaderRequestID): {"cmpl-17"}})
	events, err = runRequest(t, address, 0)
	require.NoError(t, err, "an ID of the engine's own")
	require.Len(t, events, 1)
}

// TestErrorOfEngineIsNotRelayed guards against the text of an engine's error in the middle of a
// stream that had begun at another one, or a stream that ends with it as complete.
func TestErrorOfEngineIsNotRelayed(t *testing.T) {
	resumed := http.Header{http.CanonicalHeaderKey(mp.HeaderResumedAt): {"4"}}
	for name, text := range map[string]string{
		"error event, end":           "data: {\"error\":{\"message\":\"overloaded\"}}\n\n" + endEvent,
		"error event with an ID":     sseEvent(5, `{"error":{"message":"overloaded"}}`) + endEvent,
		"error as text":              "data: {\"error\": \"overloaded\"}\n\n" + endEvent,
		"event of type error":        "event: error\ndata: overloaded\n\n" + endEvent,
		"plain text":                 "error: overloaded\n\n",
		"JSON":                       `{"error":{"message":"overloaded"}}`,
		"head of an answer":          "HTTP/1.1 500 Internal Server Error\r\n\r\noverloaded\n\n",
		"nothing":                    "",
		"HTML":                       "<html>overloaded</html>\n\n",
		"error event behind a token": sseEvent(5, `"five"`) + "data: {\"error\":{\"message\":\"overloaded\"}}\n\n" + endEvent,
	} {
		t.Run(name, func(t *testing.T) {
			events, err := runRequest(t, startEngine(t, text, resumed), 4)
			var failure *engine.Failure
			require.ErrorAs(t, err, &failure, "the stream must not look complete")
			require.False(t, failure.NotRun())
			for _, ev := range events {
				require.Equal(t, engine.Event{TokenCount: 5, Data: `"five"`}, ev)
			}
		})
	}
	sound := sseEvent(5, `{"choices":[{"delta":{"content":"\"error\""}}],"error":null}`)
	events, err := runRequest(t, startEngine(t, sound+endEvent, resumed), 4)
	require.NoError(t, err)
	require.Len(t, events, 1)
}

// FuzzRelay checks that for any bytes from an engine the token counts never
// fall and that a stream without the end marker is an error.
func FuzzRelay(f *testing.F) {
	f.Add(sseEvent(1, "a") + sseEvent(2, "b") + endEvent)
	f.Add(sseEvent(2, "a") + sseEvent(1, "b") + ": comment\n\n" + endEvent)
	f.Add("id: x\ndata: y\n\ndata: [DONE]")
	f.Fuzz(func(t *testing.T, body string) {
		events, err := runRequest(t, startEngine(t, body, nil), 0)
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
