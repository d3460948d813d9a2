package service_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
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
		"chunks in HTTP/1.0":               "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nodd.\r\n0\r\n\r\n",
		"framing":                          "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nodd.\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for idempotent, kind := range failureKinds {
				_, err := callReplica(t, idempotent, nil, func(co *fakeserver.Conn, _ fakeserver.Request) bool {
					co.Printf("%s", malformed)
					return false
				})
				require.Equal(t, kind, mp.KindOf(err), "%v", err)
			}
		})
	}
}
