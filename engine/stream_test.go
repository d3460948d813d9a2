package engine_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
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
	thirdID  = "req-7c9e6679-7425-40de-944b-e07fc1f90ae7"
)

// TestRepeatedRefusalDoesNotSayThatNothingRan guards against a refusal that an engine writes once more and that is taken for one of the next request.
func TestRepeatedRefusalDoesNotSayThatNothingRan(t *testing.T) {
	for _, line := range []string{mp.HeaderRequestID + ": " + firstID + "\r\n", "", mp.HeaderRequestID + ": cmpl-17\r\n"} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest} {
			for _, id := range []mp.RequestID{firstID, secondID} {
				refusal := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sContent-Length: 0\r\n\r\n", status, line)
				var calls atomic.Int64
				server, stop, err := fakeserver.New(func(co *fakeserver.Conn, rq fakeserver.Request) bool {
					if calls.Add(1) == 1 || rq.ConnectionNumber == 1 {
						co.Printf("%s", refusal)
					}
					if calls.Load() > 1 {
						co.Printf(answerFormat, http.StatusOK, "", len(ownEvents), ownEvents)
					}
					return true
				})
				require.NoError(t, err)
				t.Cleanup(stop)
				client, closeClient := engine.New()
				t.Cleanup(closeClient)
				_, err = runOn(t, client, server.Address(), firstID)
				var failure *engine.Failure
				require.ErrorAs(t, err, &failure)
				require.True(t, failure.NotRun())
				events, err := runOn(t, client, server.Address(), id)
				require.NoError(t, err, "%q %d %s", line, status, id)
				require.Len(t, events, 1)
			}
		}
	}
}

// answerFormat is the format of an answer: status, header lines, length and body.
const answerFormat = "HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s"

var ownEvents = sseEvent(1, `"own"`) + endEvent

// TestAnswerToAnotherRequestIsNotRelayed guards against an answer to an earlier request that counts for the present one on a kept connection.
func TestAnswerToAnotherRequestIsNotRelayed(t *testing.T) {
	for name, earlier := range map[string]string{
		"stream":                 fmt.Sprintf(answerFormat, http.StatusOK, mp.HeaderRequestID+": "+firstID+"\r\n", len(ownEvents), ownEvents),
		"nothing":                fmt.Sprintf(answerFormat, http.StatusOK, mp.HeaderRequestID+": "+firstID+"\r\n", 0, ""),
		"refusal":                fmt.Sprintf(answerFormat, http.StatusServiceUnavailable, mp.HeaderRequestID+": "+firstID+"\r\n", 0, ""),
		"refusal without an ID":  fmt.Sprintf(answerFormat, http.StatusServiceUnavailable, "", 0, ""),
		"bad request without ID": fmt.Sprintf(answerFormat, http.StatusBadRequest, "", 0, ""),
		"too large without ID":   fmt.Sprintf(answerFormat, http.StatusRequestEntityTooLarge, "", 0, ""),
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			server, stop, err := fakeserver.New(func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				if calls.Add(1) == 2 {
					co.Printf("%s", earlier)
				}
				co.Printf(answerFormat, http.StatusOK, mp.HeaderRequestID+": "+rq.Header.Get(mp.HeaderRequestID)+"\r\n", len(ownEvents), ownEvents)
				return true
			})
			require.NoError(t, err)
			t.Cleanup(stop)
			client, closeClient := engine.New()
			t.Cleanup(closeClient)
			_, err = runOn(t, client, server.Address(), firstID)
			require.NoError(t, err)
			events, err := runOn(t, client, server.Address(), secondID)
			require.Equal(t, 1, server.Requests()[1].ConnectionNumber, "the connection is kept")
			require.Empty(t, events)
			var failure *engine.Failure
			require.ErrorAs(t, err, &failure)
			require.False(t, failure.NotRun())
			require.False(t, failure.IsClientError())
			events, err = runOn(t, client, server.Address(), thirdID)
			require.NoError(t, err, "the connection is one answer behind")
			require.Len(t, events, 1)
		})
	}
}

// runOn runs a request with an ID and returns its events.
func runOn(t *testing.T, client *engine.Client, address string, id mp.RequestID) ([]engine.Event, error) {
	t.Helper()
	var events []engine.Event
	err := client.Run(t.Context(), engine.Request{
		ID: id, Address: address, Path: "/v1/chat/completions", Body: []byte("{}"),
		OnEvent: func(ev engine.Event) error {
			events = append(events, ev)
			return nil
		},
	})
	return events, err
}

// TestAnswerWithAnIDOfItsOwnIsRelayed guards against engines that are never used because they, or routers before them, give answers IDs of their own.
func TestAnswerWithAnIDOfItsOwnIsRelayed(t *testing.T) {
	for _, id := range []string{"cmpl-17", firstID} {
		address := startEngine(t, sseEvent(1, `"own"`)+endEvent, http.Header{http.CanonicalHeaderKey(mp.HeaderRequestID): {id}})
		client, closeClient := engine.New()
		t.Cleanup(closeClient)
		for range 3 {
			events, err := runOn(t, client, address, secondID)
			require.NoError(t, err)
			require.Len(t, events, 1)
		}
	}
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
			if strings.Contains(name, "error") {
				require.ErrorContains(t, failure, "overloaded")
			}
			for _, ev := range events {
				require.Equal(t, engine.Event{TokenCount: 5, Data: `"five"`}, ev)
			}
		})
	}
	for _, empty := range []string{"null", `""`, "{}", "false", "0"} {
		sound := sseEvent(5, `{"choices":[{"delta":{"content":"\"error\""}}],"error":`+empty+`}`)
		events, err := runRequest(t, startEngine(t, sound+endEvent, resumed), 4)
		require.NoError(t, err, empty)
		require.Len(t, events, 1)
	}
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

func TestRetryAfterOfUnavailableEngine(t *testing.T) {
	for status, want := range map[int]time.Duration{http.StatusServiceUnavailable: 1500 * time.Millisecond, http.StatusTooManyRequests: 0} {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Retry-After", "1.5")
			rw.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		_, err := runRequest(t, strings.TrimPrefix(server.URL, "http://"), 0)
		failure, ok := errors.AsType[*engine.Failure](err)
		require.True(t, ok)
		require.Equal(t, want, failure.RetryAfter)
	}
}
