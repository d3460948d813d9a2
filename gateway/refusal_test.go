package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// TestEveryRefusalNamesItsRequest guards against refusals that neither a caller nor the
// log can match with a request, because they are made before its headers are read.
func TestEveryRefusalNamesItsRequest(t *testing.T) {
	fx := newFixture(t, []*fakeserver.Server{startServer(t, respondWith("ok"))}, nil)
	for id, refused := range map[string]struct {
		path    string
		headers []string
		status  int
	}{
		"r-route":  {path: "/no/such/route", status: http.StatusNotFound},
		"r-key":    {path: nonIdempotentPath, headers: []string{"Authorization: Bearer unknown"}, status: http.StatusUnauthorized},
		"r-header": {path: nonIdempotentPath, headers: []string{"Deadline-Ms: soon"}, status: http.StatusBadRequest},
	} {
		got := fx.post(refused.path, id, "", refused.headers...)
		require.NoError(t, got.err)
		require.Equal(t, refused.status, got.status, id)
		require.Equal(t, id, got.header.Get("Request-Id"))
		require.Contains(t, fx.logs.RequestEvents(id), "refused")
	}
}
