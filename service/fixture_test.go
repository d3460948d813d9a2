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

// callReplica calls a service with a body. Its only replica is a fake server.
func callReplica(t *testing.T, idempotent bool, body []byte, handler fakeserver.Handler, opts ...fakeserver.Option) (*service.Response, error) {
	t.Helper()
	server, stop, err := fakeserver.New(handler, opts...)
	require.NoError(t, err)
	t.Cleanup(stop)
	client, closeClient := service.New()
	t.Cleanup(closeClient)
	target := &blackboard.Service{
		Service:   &config.Service{Name: "orders", Idempotent: idempotent, Timeout: mp.Duration(10 * time.Second)},
		Available: []config.Replica{{Name: "a", Address: server.Address()}},
	}
	return client.Do(t.Context(), target, service.Call{
		Method: http.MethodPost, Path: "/", Body: body,
		Header: http.Header{http.CanonicalHeaderKey(mp.HeaderRequestID): {firstID}},
	})
}

// failureKinds are the kinds of the error that a call without a whole answer ends with, by
// whether the service is idempotent.
var failureKinds = map[bool]mp.Kind{true: mp.KindBackendFailed, false: mp.KindOutcomeUnknown}
