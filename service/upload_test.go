package service_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
	"github.com/mangopaddle/mangopaddle/service"
)

const (
	// uploadBytes is the size of a body that the buffers of a connection don't take.
	uploadBytes = 8 << 20
	// uploadRounds is how often a reset is played: which of two calls gets its error is a
	// matter of chance.
	uploadRounds = 10
)

// upload calls a service with a long body. Its replica begins to answer before it reads the
// body, with neither a length nor chunks; finish ends the answer.
func upload(t *testing.T, idempotent bool, finish func(*fakeserver.Conn)) (*service.Response, error) {
	t.Helper()
	return callReplica(t, idempotent, bytes.Repeat([]byte("u"), uploadBytes), func(co *fakeserver.Conn, _ fakeserver.Request) bool {
		co.Printf("HTTP/1.1 200 OK\r\n\r\nanswer")
		time.Sleep(10 * time.Millisecond) // a reset drops what the host hasn't read
		finish(co)
		return false
	}, fakeserver.WithUnreadBodies())
}

// TestCutResponseToAnUploadIsNotReturned guards against the part of an answer that is returned
// as a whole one because a write got the error of the reset.
func TestCutResponseToAnUploadIsNotReturned(t *testing.T) {
	for idempotent, kind := range failureKinds {
		for range uploadRounds {
			_, err := upload(t, idempotent, (*fakeserver.Conn).Reset)
			require.Equal(t, kind, mp.KindOf(err), "%v", err)
		}
	}
}

// TestEarlyResponseToAnUploadIsReturned guards against sound answers that count as cut because
// they end, or their header arrives, before the replica has read the body.
func TestEarlyResponseToAnUploadIsReturned(t *testing.T) {
	for name, finish := range map[string]func(*fakeserver.Conn){
		"reads, then closes": func(co *fakeserver.Conn) { co.ReadBody() },
		"closes, then reads": func(co *fakeserver.Conn) {
			co.CloseWrite()
			co.ReadBody()
		},
	} {
		for _, idempotent := range []bool{true, false} {
			response, err := upload(t, idempotent, finish)
			require.NoError(t, err, name)
			require.Equal(t, "answer", string(response.Body), name)
		}
	}
}
