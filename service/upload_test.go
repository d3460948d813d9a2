package service_test

import (
	"bytes"
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
	server, stop, err := fakeserver.New(func(co *fakeserver.Conn, _ fakeserver.Request) bool {
		co.Printf("HTTP/1.1 200 OK\r\n\r\nanswer")
		time.Sleep(10 * time.Millisecond)
		finish(co)
		return false
	}, fakeserver.WithUnreadBodies())
	require.NoError(t, err)
	t.Cleanup(stop)
	client, closeClient := service.New()
	t.Cleanup(closeClient)
	target := &blackboard.Service{
		Service:   &config.Service{Name: "orders", Idempotent: idempotent, Timeout: mp.Duration(10 * time.Second)},
		Available: []config.Replica{{Name: "a", Address: server.Address()}},
	}
	return client.Do(t.Context(), target, service.Call{
		Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("u"), uploadBytes),
		Header: http.Header{http.CanonicalHeaderKey(mp.HeaderRequestID): {firstID}},
	})
}

// TestCutResponseToAnUploadIsNotReturned guards against the part of an answer that is returned
// as a whole one because a write got the error of the reset.
func TestCutResponseToAnUploadIsNotReturned(t *testing.T) {
	for idempotent, kind := range map[bool]mp.Kind{true: mp.KindBackendFailed, false: mp.KindOutcomeUnknown} {
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
