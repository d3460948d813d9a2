package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mangopaddle/mangopaddle/fixedseed" // draws the same cases in every run
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// answerHead returns the header of a response to a request, with more lines.
func answerHead(rq fakeserver.Request, status int, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n", status, http.StatusText(status), rq.ID)
	return head + strings.Join(append(lines, "", ""), "\r\n")
}

const (
	signatureLine   = platform.HeaderSignature + ": s"
	eventStreamLine = "Content-Type: text/event-stream"
)

// lengthLine returns the header line with the length of a body.
func lengthLine(body string) string { return fmt.Sprintf("Content-Length: %d", len(body)) }

// events returns the events of a stream from one ID to another.
func events(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

// resumeAfterTwo starts engines of which the first to be called breaks off after two
// events and each further one responds with next. It returns what the caller received and
// the number of calls.
func resumeAfterTwo(t *testing.T, attempts int, next fakeserver.Handler) (clientResponse, int) {
	t.Helper()
	var calls atomic.Int64
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		if calls.Add(1) > 1 {
			return next(co, rq)
		}
		co.BeginStream(rq)
		co.WriteEvent(rq.LastEventID() + 1)
		co.WriteEvent(rq.LastEventID() + 2)
		return false
	}
	var engines []*fakeserver.Server
	for range attempts {
		engines = append(engines, startServer(t, handler))
	}
	fx := newFixture(t, nil, engines)
	fx.setResumableRoute("max_attempts", attempts)
	got := fx.post(resumablePath, "r-1", "prompt")
	return got, int(calls.Load())
}

// TestLongAnswerIsNotWrittenIntoStream guards against an answer that is too long to be
// buffered and gets into a stream that had begun.
func TestLongAnswerIsNotWrittenIntoStream(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError, http.StatusFound, http.StatusCreated} {
		text := strings.Repeat("error: overloaded\n\n", 16<<10)
		got, calls := resumeAfterTwo(t, 2, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Printf("%s%s", answerHead(rq, status, signatureLine, lengthLine(text)), text)
			return true
		})
		require.Error(t, got.err, "status %d: the stream must not look complete", status)
		require.Equal(t, events(1, 2), got.body, "status %d", status)
		require.Equal(t, 2, calls)
	}
}

// TestOtherContentIsNotWrittenIntoStream guards against an answer that is no event stream,
// or an encoded one, and gets into a stream that had begun or ends it as complete.
func TestOtherContentIsNotWrittenIntoStream(t *testing.T) {
	for name, answer := range map[string]struct {
		body  string
		lines []string
	}{
		"JSON":                      {`{"error":"overloaded"}` + "\n\n", []string{"Content-Type: application/json"}},
		"HTML":                      {"<html>overloaded</html>\n\n", []string{"Content-Type: text/html; charset=utf-8"}},
		"text":                      {"error: overloaded\n\n", []string{"Content-Type: text/plain"}},
		"no type":                   {"error: overloaded\n\n", nil},
		"nothing":                   {"", nil},
		"events of another type":    {events(3, 3), []string{"Content-Type: application/json"}},
		"an encoded stream":         {"\x1f\x8b\x08\x00error\n\n", []string{eventStreamLine, "Content-Encoding: gzip"}},
		"an encoded stream, spoilt": {events(3, 3), []string{eventStreamLine, "Content-Encoding: br"}},
	} {
		t.Run(name, func(t *testing.T) {
			got, calls := resumeAfterTwo(t, 2, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				lines := append([]string{signatureLine, lengthLine(answer.body)}, answer.lines...)
				co.Printf("%s%s", answerHead(rq, http.StatusOK, lines...), answer.body)
				return true
			})
			require.Error(t, got.err, "the stream must not look complete")
			require.Equal(t, events(1, 2), got.body)
			require.Equal(t, 2, calls)
		})
	}
	t.Run("another engine goes on after it", func(t *testing.T) {
		var answers atomic.Int64
		got, calls := resumeAfterTwo(t, 3, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			if answers.Add(1) == 1 {
				co.Respond(rq, http.StatusOK, `{"error":"overloaded"}`+"\n\n", "Content-Type: application/json")
				return true
			}
			co.Respond(rq, http.StatusOK, events(3, 4), "Content-Type: Text/Event-Stream; charset=utf-8")
			return true
		})
		require.NoError(t, got.err)
		require.Equal(t, events(1, 4), got.body)
		require.Equal(t, 3, calls)
	})
}

// TestEndWithoutEventIsNoEndOfResumedStream guards against a stream that ends as complete
// before its last event, because the next engine sent something else than events or was cut.
func TestEndWithoutEventIsNoEndOfResumedStream(t *testing.T) {
	for name, answer := range map[string]struct {
		body string
		line string
	}{
		"cut before its first byte": {"", "Connection: close"},
		"blank lines, then cut":     {"\n\n", "Connection: close"},
		"text":                      {"error: overloaded\n\n", lengthLine("error: overloaded\n\n")},
		"text behind an event":      {events(3, 3) + "error: overloaded\n\n", lengthLine(events(3, 3) + "error: overloaded\n\n")},
		"head of an error":          {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n\n\n", "Connection: close"},
	} {
		t.Run(name, func(t *testing.T) {
			got, calls := resumeAfterTwo(t, 2, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				co.Printf("%s%s", answerHead(rq, http.StatusOK, signatureLine, eventStreamLine, answer.line), answer.body)
				return false
			})
			require.Error(t, got.err, "the stream must not look complete")
			require.True(t, strings.HasPrefix(events(1, 3), got.body), got.body)
			require.Equal(t, 2, calls)
		})
	}
	for name, rest := range map[string]string{
		"nothing is left":   "",
		"a final marker":    "data: [DONE]\n\n",
		"a comment":         ": bye\n\n",
		"events, a comment": events(3, 4) + ": bye\n\ndata: [DONE]\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			got, _ := resumeAfterTwo(t, 2, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				co.BeginStream(rq)
				if rest != "" {
					co.WriteChunk(rest)
				}
				co.EndStream()
				return true
			})
			require.NoError(t, got.err)
			require.Equal(t, events(1, 2)+rest, got.body)
		})
	}
}

// TestCallersStreamGoesOnBehindItsLastEvent guards against events that a caller gets twice or
// never, because the engine that it goes on at begins elsewhere in the stream.
func TestCallersStreamGoesOnBehindItsLastEvent(t *testing.T) {
	for name, first := range map[string]int{"from the beginning": 1, "with the last event once more": 5, "with an event missing": 7} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				begin := first
				if calls.Add(1) > 1 {
					begin = rq.LastEventID() + 1
				}
				co.Respond(rq, http.StatusOK, events(begin, 8), eventStreamLine)
				return true
			}
			fx := newFixture(t, nil, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)})
			got := fx.post(resumablePath, "r-1", "prompt", "Last-Event-Id: 5")
			require.NoError(t, got.err)
			require.Equal(t, events(6, 8), got.body)
			require.Equal(t, int64(2), calls.Load())
		})
	}
	t.Run("no engine does", func(t *testing.T) {
		engine := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Respond(rq, http.StatusOK, events(1, 8), eventStreamLine)
			return true
		})
		fx := newFixture(t, nil, []*fakeserver.Server{engine})
		got := fx.post(resumablePath, "r-1", "prompt", "Last-Event-Id: 5")
		require.NotContains(t, got.body, "id: ")
		require.True(t, got.err != nil || got.status >= http.StatusInternalServerError, "status %d", got.status)
	})
	t.Run("IDs that are no numbers", func(t *testing.T) {
		engine := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			co.Respond(rq, http.StatusOK, events(1, 2), eventStreamLine)
			return true
		})
		fx := newFixture(t, nil, []*fakeserver.Server{engine})
		require.Equal(t, events(1, 2), fx.post(resumablePath, "r-1", "prompt", "Last-Event-Id: a7").body)
	})
}

// TestCallersStreamIsNotEndedByACut guards against a caller that goes on with its stream and
// takes an answer for its end that was cut before its first event.
func TestCallersStreamIsNotEndedByACut(t *testing.T) {
	for name, body := range map[string]string{"nothing": "", "blank lines": "\n\n"} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				if calls.Add(1) == 1 {
					co.Printf(streamBegin+"%s", rq.ID, body)
					return false
				}
				co.Respond(rq, http.StatusOK, events(rq.LastEventID()+1, 8), eventStreamLine)
				return true
			}
			fx := newFixture(t, nil, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)})
			got := fx.post(resumablePath, "r-1", "prompt", "Last-Event-Id: 5")
			require.NoError(t, got.err)
			require.Equal(t, events(6, 8), got.body)
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against a stream that is begun once more in the
// middle of itself: without IDs, no engine can be told where to go on.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	const half = "data: one\n\ndata: two\n\n"
	var calls atomic.Int64
	handler := func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		co.WriteChunk(half)
		if calls.Add(1) == 1 {
			return false
		}
		co.WriteChunk("data: three\n\n")
		co.EndStream()
		return true
	}
	fx := newFixture(t, nil, []*fakeserver.Server{startServer(t, handler), startServer(t, handler)})
	got := fx.post(resumablePath, "r-1", "prompt")
	require.Error(t, got.err, "the stream must not look complete")
	require.Equal(t, half, got.body)
	require.Equal(t, int64(1), calls.Load())
}

// nextAnswer is the answer of an engine that is asked to go on with a stream.
type nextAnswer struct {
	status  int
	skip    int // events that are left out; negative for those that come once more
	extra   string
	lines   []string
	framing string
}

func drawNextAnswer(rt *rapid.T) nextAnswer {
	fits := rapid.Bool().Draw(rt, "header fits")
	na := nextAnswer{
		status:  http.StatusOK,
		skip:    rapid.SampledFrom([]int{0, 0, 0, -1, 1, -100}).Draw(rt, "skip"),
		framing: rapid.SampledFrom([]string{"length", "chunks", "connection", "cut"}).Draw(rt, "framing"),
		lines:   []string{signatureLine, eventStreamLine},
		extra: rapid.SampledFrom([]string{
			"", "", "error: overloaded\n\n", "{\"error\":1}\n\n", "HTTP/1.1 500 Internal Server Error\r\n\r\n\n\n", "id: 99\ndata: x\n\n",
			"id: 4", "<html>", ": comment\n\n", strings.Repeat("x\n\n", 100_000),
		}).Draw(rt, "extra"),
	}
	if !fits {
		na.status = rapid.SampledFrom([]int{200, 201, 204, 206, 302, 400, 404, 421, 429, 500, 502, 503}).Draw(rt, "status")
		na.lines = []string{
			rapid.SampledFrom([]string{signatureLine, signatureLine, "X-None: 1", "Not-Executed: 1"}).Draw(rt, "signature"),
			rapid.SampledFrom([]string{eventStreamLine, "Content-Type: application/json", "X-None: 2"}).Draw(rt, "type"),
			rapid.SampledFrom([]string{"X-None: 3", "Content-Encoding: gzip", "Connection: close", "Trailer: X-Trailer"}).Draw(rt, "line"),
		}
	}
	return na
}

// write writes the answer to a request for the rest of a stream of events with IDs from 1 to
// last. It has an event if any is left: no host can tell an empty stream from the end.
func (na nextAnswer) write(co *fakeserver.Conn, rq fakeserver.Request, last int) bool {
	first := rq.LastEventID() + 1
	if first <= last {
		first = min(max(1, first+na.skip), last)
	}
	body := events(first, last) + na.extra
	switch na.framing {
	case "chunks":
		co.Printf("%s%x\r\n%s\r\n0\r\nX-Trailer: overloaded\r\n\r\n", answerHead(rq, na.status, append(na.lines, "Transfer-Encoding: chunked")...), len(body), body)
		return true
	case "length":
		co.Printf("%s%s", answerHead(rq, na.status, append(na.lines, lengthLine(body))...), body)
		return true
	case "connection":
		co.Printf("%s%s", answerHead(rq, na.status, append(na.lines, "Connection: close")...), body)
		return false
	default:
		co.Printf("%s%s", answerHead(rq, na.status, append(na.lines, lengthLine(body))...), body[:len(body)/2])
		return false
	}
}

// TestCallerGetsABeginningOfTheStream checks for any answers of the engines that are asked to
// go on with a stream that what the caller receives is a beginning of the whole stream, and
// looks complete only if it is the whole.
func TestCallerGetsABeginningOfTheStream(t *testing.T) {
	const engineCount = 120 // so that few are avoided after failures
	var current atomic.Pointer[fakeserver.Handler]
	var engines []*fakeserver.Server
	for range engineCount {
		engines = append(engines, startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool { return (*current.Load())(co, rq) }))
	}
	fx := newFixture(t, nil, engines)
	fx.setResumableRoute("max_attempts", 3)
	rapid.Check(t, func(rt *rapid.T) {
		last := rapid.IntRange(1, 6).Draw(rt, "events of the whole stream")
		broken := rapid.IntRange(1, last).Draw(rt, "events until it breaks off")
		answers := []nextAnswer{drawNextAnswer(rt), drawNextAnswer(rt)}
		var calls atomic.Int64
		var handler fakeserver.Handler = func(co *fakeserver.Conn, rq fakeserver.Request) bool {
			call := int(calls.Add(1))
			if call > 1 {
				return answers[min(call-2, len(answers)-1)].write(co, rq, last)
			}
			co.BeginStream(rq)
			for id := range broken {
				co.WriteEvent(id + 1)
			}
			return false
		}
		current.Store(&handler)
		got := fx.post(resumablePath, "r-1", "prompt")
		whole, received := events(1, last), strings.ReplaceAll(got.body, ": comment\n\n", "")
		if got.status != http.StatusOK || !strings.HasPrefix(whole, received) {
			rt.Fatalf("status %d, received %q, %v", got.status, received, got.err)
		}
		if got.err == nil && received != whole {
			rt.Fatalf("ends as complete after %q", received)
		}
	})
}
