package e2e_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/fakeservice"
	"github.com/mangopaddle/mangopaddle/quickstart"
	"github.com/mangopaddle/mangopaddle/testkit"
)

const orderPath = "/services/orders/confirm?crew=7"

func confirmOrder(t *testing.T, de *quickstart.Deployment) testkit.Response {
	t.Helper()
	request := testkit.Request(t.Context(), t, de.Host.CallerAddress(), http.MethodPost, orderPath, `{"boreholes":1}`)
	request.Header.Set(mp.HeaderIdempotencyKey, "order-1")
	return testkit.Send(t, request)
}

func TestServiceCallIsForwarded(t *testing.T) {
	de := testkit.StartDeployment(t)
	re := confirmOrder(t, de)
	require.Equal(t, http.StatusCreated, re.Status)
	calls := de.Orders.Calls()
	require.Len(t, calls, 1)
	require.Equal(t, fakeservice.Call{Method: http.MethodPost, Path: "/confirm", IdempotencyKey: "order-1", Body: `{"boreholes":1}`}, calls[0])
}

func TestNonIdempotentCallIsNotRetried(t *testing.T) {
	tests := []struct {
		name  string
		fault fakeservice.Fault
		runs  int
	}{
		{"crash before the run", fakeservice.FaultCrashBefore, 0},
		{"crash after the run", fakeservice.FaultCrashAfter, 1},
		{"hang after the run", fakeservice.FaultHangAfter, 1},
	}
	for _, te := range tests {
		t.Run(te.name, func(t *testing.T) {
			t.Parallel()
			de := testkit.StartDeployment(t)
			republish(t, de, func(fl *config.Fleet) { fl.Services[0].Timeout = mp.Duration(time.Second) })
			require.Equal(t, http.StatusCreated, confirmOrder(t, de).Status, "the first call, which could leave an idle connection for reuse, failed")
			de.Orders.SetFault(te.fault)
			re := confirmOrder(t, de)
			require.Equal(t, mp.KindOutcomeUnknown.String(), re.Code(), re.Body)
			require.False(t, re.NotRun())
			require.Equal(t, 2, de.Orders.RequestCount(), "the call was retried")
			require.Len(t, de.Orders.Calls(), 1+te.runs)

			// net/http retries a request without a body on a reused connection.
			de.Orders.SetFault(fakeservice.FaultNone)
			require.Equal(t, http.StatusCreated, confirmOrder(t, de).Status)
			de.Orders.SetFault(te.fault)
			empty := testkit.Request(t.Context(), t, de.Host.CallerAddress(), http.MethodPost, orderPath, "")
			empty.Header.Set(mp.HeaderIdempotencyKey, "order-2")
			require.Equal(t, mp.KindOutcomeUnknown.String(), testkit.Send(t, empty).Code())
			require.Equal(t, 4, de.Orders.RequestCount(), "the call without a body was retried")
		})
	}
}

// TestNonIdempotentCallSurvivesCallerDisconnect uses a service that aborts a
// call when its client disconnects.
func TestNonIdempotentCallSurvivesCallerDisconnect(t *testing.T) {
	de := testkit.StartDeployment(t)
	slow := fakeservice.New(fakeservice.WithDelay(300 * time.Millisecond))
	address, err := de.Serve(slow.Handler())
	require.NoError(t, err)
	republish(t, de, func(fl *config.Fleet) { fl.Services[0].Replicas[0].Address = address })
	ctx, disconnect := context.WithCancel(t.Context())
	callErr := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(testkit.Request(ctx, t, de.Host.CallerAddress(), http.MethodPost, orderPath, "{}"))
		if err == nil {
			_ = response.Body.Close()
		}
		callErr <- err
	}()
	testkit.Eventually(t, func() bool { return slow.RequestCount() == 1 }, "the service did not receive the call")
	disconnect()
	require.Error(t, <-callErr)
	testkit.Eventually(t, func() bool { return len(slow.Calls()) == 1 }, "the service did not complete the call")
}

func TestServiceErrorIsForwarded(t *testing.T) {
	de := testkit.StartDeployment(t)
	de.Orders.SetFault(fakeservice.FaultUnavailable)
	re := confirmOrder(t, de)
	require.Equal(t, http.StatusServiceUnavailable, re.Status)
	require.Equal(t, "not ready\n", re.Body)
	require.Equal(t, 1, de.Orders.RequestCount())
}

// closedAddress is an address without a listener: its port is outside the
// ephemeral range, and no test listens there.
const closedAddress = "127.78.0.1:7000"

func TestUnreachableReplicaReportsNotRun(t *testing.T) {
	de := testkit.StartDeployment(t)
	live := de.Fleet.Services[0].Replicas[0]
	dead := config.Replica{Name: "orders-0", Address: closedAddress, DataCentre: quickstart.DataCentre}

	republish(t, de, func(fl *config.Fleet) { fl.Services[0].Replicas = []config.Replica{dead} })
	re := confirmOrder(t, de)
	require.Equal(t, mp.KindNoBackend.String(), re.Code(), re.Body)
	require.True(t, re.NotRun())

	republish(t, de, func(fl *config.Fleet) { fl.Services[0].Replicas = []config.Replica{dead, live} })
	require.Equal(t, http.StatusCreated, confirmOrder(t, de).Status)
	require.Len(t, de.Orders.Calls(), 1)
}

func TestIdempotentCallIsRetried(t *testing.T) {
	de := testkit.StartDeployment(t)
	second := fakeservice.New()
	address, err := de.Serve(second.Handler())
	require.NoError(t, err)
	de.Orders.SetFault(fakeservice.FaultCrashAfter)
	republish(t, de, func(fl *config.Fleet) {
		fl.Services[0].Idempotent = true
		fl.Services[0].Replicas = append(fl.Services[0].Replicas, config.Replica{Name: "orders-2", Address: address, DataCentre: quickstart.DataCentre})
	})
	require.Equal(t, http.StatusCreated, confirmOrder(t, de).Status)
	require.Len(t, second.Calls(), 1)
}
