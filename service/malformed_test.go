package service_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
	"github.com/mangopaddle/mangopaddle/service"
)

// TestMalformedResponseIsNotReturned guards against malformed responses that a caller gets as
// answers.
func TestMalformedResponseIsNotReturned(t *testing.T) {
	for name, malformed := range map[string]string{
		"status 000":                       "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nodd.",
		"status 999":                       "HTTP/1.1 999 Odd\r\nContent-Length: 4\r\n\r\nodd.",
		"field name":                       "HTTP/1.1 200 OK\r\nX Filler: 1\r\nContent-Length: 4\r\n\r\nodd.",
		"folded line":                      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n X-Filler: 1\r\nContent-Length: 4\r\n\r\nodd.",
		"folded after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n Transfer-Encoding: chunked\r\n\r\n4\r\nodd.\r\n0\r\n\r\n",
		"framing":                          "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nodd.\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server, stop, err := fakeserver.New(func(co *fakeserver.Conn, _ fakeserver.Request) bool {
				co.Printf("%s", malformed)
				return false
			})
			require.NoError(t, err)
			t.Cleanup(stop)
			client, closeClient := service.New()
			t.Cleanup(closeClient)
			for idempotent, kind := range map[bool]mp.Kind{true: mp.KindBackendFailed, false: mp.KindOutcomeUnknown} {
				target := &blackboard.Service{Service: &config.Service{Name: "orders", Idempotent: idempotent, Timeout: mp.Duration(10 * time.Second)}, Available: []config.Replica{{Name: "a", Address: server.Address()}}}
				_, err := client.Do(t.Context(), target, service.Call{Method: http.MethodGet, Path: "/", Header: http.Header{http.CanonicalHeaderKey(mp.HeaderRequestID): {firstID}}})
				require.Equal(t, kind, mp.KindOf(err), "%v", err)
			}
		})
	}
}
