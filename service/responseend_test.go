package service_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
	"github.com/mangopaddle/mangopaddle/service"
)

// callUnframed calls a service whose replica answers with neither a length nor chunks. end is
// called before the replica closes the connection.
func callUnframed(t *testing.T, idempotent bool, end func(*fakeserver.Conn)) (*service.Response, error) {
	t.Helper()
	return callReplica(t, idempotent, nil, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginUnframed(rq)
		co.Printf("answer")
		end(co)
		return false
	})
}

// TestResponseCutByCrashIsNotReturned guards against the part of an answer that is returned as a
// whole one because its replica has crashed.
func TestResponseCutByCrashIsNotReturned(t *testing.T) {
	for idempotent, kind := range failureKinds {
		_, err := callUnframed(t, idempotent, (*fakeserver.Conn).Crash)
		require.Equal(t, kind, mp.KindOf(err), "%v", err)
	}
}

// TestResponseThatEndsWithItsConnectionIsReturned guards against sound answers that count as cut
// because they have neither a length nor chunks.
func TestResponseThatEndsWithItsConnectionIsReturned(t *testing.T) {
	for idempotent := range failureKinds {
		response, err := callUnframed(t, idempotent, func(*fakeserver.Conn) {})
		require.NoError(t, err)
		require.Equal(t, "answer", string(response.Body))
	}
}
