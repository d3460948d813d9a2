package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// TestTextBesideEventsIsNotWrittenIntoStream guards against text or a response header of
// the next server that gets into a stream which had begun, in front of, between or behind
// its events.
func TestTextBesideEventsIsNotWrittenIntoStream(t *testing.T) {
	for name, body := range map[string]string{
		"words that begin like a field": "database unavailable\n\n",
		"a word behind an event":        events(3, 3) + "identity unknown\n\n",
		"an error in front":             "error: overloaded\n\n" + events(3, 4),
		"an error between":              events(3, 3) + "{\"error\":1}\n\n" + events(4, 4),
		"an error inside":               "id: 3\nerror: overloaded\ndata: piece 3\n\n" + events(4, 4),
		"a response header":             "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" + events(3, 4),
		"another answer's beginning":    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events(3, 4),
	} {
		t.Run(name, func(t *testing.T) {
			got, _ := resumeAfterTwo(t, 2, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				co.Printf("%s%s", answerHead(rq, http.StatusOK, signatureLine, eventStreamLine, lengthLine(body)), body)
				return true
			})
			require.Error(t, got.err, "the stream must not look complete")
			require.Contains(t, []string{events(1, 2), events(1, 3)}, got.body)
		})
	}
}

// TestSoundRestOfAStreamIsAccepted guards against streams that are aborted although the
// next server has given the whole rest.
func TestSoundRestOfAStreamIsAccepted(t *testing.T) {
	for name, rest := range map[string]struct{ body, typeLine, want string }{
		"nothing is left":            {"", eventStreamLine, events(1, 2)},
		"a comment alone":            {": end\n\n", eventStreamLine, events(1, 2) + ": end\n\n"},
		"no type":                    {events(3, 4), "Server: s", events(1, 4)},
		"a field of the platform":    {"weight-versions: 7\n" + events(3, 3) + "weight-versions: 8\n\n", eventStreamLine, events(1, 2) + "weight-versions: 7\n" + events(3, 3) + "weight-versions: 8\n\n"},
		"comments between":           {": one\n\n" + events(3, 3) + ": two\n" + events(4, 4), eventStreamLine, events(1, 2) + ": one\n\n" + events(3, 3) + ": two\n" + events(4, 4)},
		"an encoding that is none":   {events(3, 4), eventStreamLine + "\r\nContent-Encoding: identity", events(1, 4)},
		"lines that end in a return": {"id: 3\r\ndata: piece 3\r\n\n", eventStreamLine, events(1, 2) + "id: 3\r\ndata: piece 3\r\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			got, calls := resumeAfterTwo(t, 2, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				co.Printf("%s%s", answerHead(rq, http.StatusOK, signatureLine, rest.typeLine, lengthLine(rest.body)), rest.body)
				return true
			})
			require.NoError(t, got.err)
			require.Equal(t, rest.want, got.body)
			require.Equal(t, 2, calls)
		})
	}
}

// TestErrorTextIsNoRestOfACallersStream guards against a caller that goes on with a stream
// and gets an error's text, or nothing, as its complete rest.
func TestErrorTextIsNoRestOfACallersStream(t *testing.T) {
	for name, body := range map[string]string{"text": "error: overloaded\n\n", "JSON": "{\"error\":1}\n\n", "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			spoilt := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				co.Printf("%s%s", answerHead(rq, http.StatusOK, signatureLine, eventStreamLine, "Connection: close"), body)
				return false
			})
			fx := newFixture(t, nil, []*fakeserver.Server{spoilt})
			got := fx.post(resumablePath, "r-1", "prompt", "Last-Event-Id: 5")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.status)
		})
	}
}
