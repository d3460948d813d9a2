package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/engine"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// TestMalformedResponseIsNoRefusal guards against a malformed response that is taken for a
// refusal, with which the caller would be told that the request is invalid or did not run.
func TestMalformedResponseIsNoRefusal(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":  "HTTP/1.1 000 Odd\r\n",
		"status 999":  "HTTP/1.1 999 Odd\r\n",
		"field name":  "HTTP/1.1 503 Service Unavailable\r\nX Filler: 1\r\n",
		"folded line": "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n X-Filler: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server, stop, err := fakeserver.New(func(co *fakeserver.Conn, rq fakeserver.Request) bool {
				co.Printf("%s"+mp.HeaderRequestID+": %s\r\nContent-Length: 0\r\n\r\n", head, rq.Header.Get(mp.HeaderRequestID))
				return true
			})
			require.NoError(t, err)
			t.Cleanup(stop)
			events, err := runRequest(t, server.Address(), 0)
			require.Empty(t, events)
			var failure *engine.Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, engine.StageSend, failure.Stage)
			require.False(t, failure.NotRun())
			require.False(t, failure.IsClientError())
		})
	}
}
