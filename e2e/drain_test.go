package e2e_test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/quickstart"
	"github.com/mangopaddle/mangopaddle/testkit"
)

func TestDrainCompletesInFlightRequests(t *testing.T) {
	de := testkit.StartDeployment(t)
	const requests = 12
	responses := make([]testkit.Response, requests)
	var group sync.WaitGroup
	for ix := range responses {
		group.Go(func() {
			responses[ix] = testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelLarge, "x", ix%2 == 0, "40"))
		})
	}
	testkit.Eventually(t, func() bool { return startedRequests(de) == requests }, "not all requests reached an engine")
	drained := make(chan error, 1)
	go func() { drained <- de.Host.Drain(context.Background()) }()
	group.Wait()
	require.NoError(t, <-drained)
	for _, re := range responses {
		require.NoError(t, re.Err)
		require.Equal(t, http.StatusOK, re.Status, re.Body)
	}
	_, err := http.DefaultClient.Do(testkit.Request(t.Context(), t, de.Host.CallerAddress(), http.MethodGet, "/v1/models", ""))
	require.Error(t, err, "a drained host must not accept requests")
	ready := testkit.Send(t, testkit.Request(t.Context(), t, de.Host.OperatorAddress(), http.MethodGet, "/readyz", ""))
	require.Equal(t, http.StatusServiceUnavailable, ready.Status)
}
