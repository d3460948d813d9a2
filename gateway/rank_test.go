package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// TestRoutePriorityOrdersEqualOrganisations checks that the route's priority orders
// the requests of organisations with the same priority.
func TestRoutePriorityOrdersEqualOrganisations(t *testing.T) {
	engine := startServer(t, func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.BeginStream(rq)
		co.WriteEvent(1)
		co.EndStream()
		return true
	})
	fx := newFixture(t, nil, []*fakeserver.Server{engine})
	fx.configure(func(content map[string]any) {
		content["tenants"] = []any{
			map[string]any{"name": "org-one", "api_keys": []string{key}, "priority": 1},
			map[string]any{"name": "org-two", "api_keys": []string{"key-two"}, "priority": 1},
		}
		for _, route := range content["routes"].([]any) {
			switch ro := route.(map[string]any); ro["name"] {
			case "chat":
				ro["priority"] = 2
			case "firm":
				ro["priority"] = 0
			}
		}
	})
	require.Equal(t, http.StatusOK, fx.post(resumablePath, "r-last", "prompt").status)
	require.Equal(t, http.StatusOK, fx.post(nonResumablePath, "r-first", "prompt").status)
	seen := engine.Requests()
	require.Len(t, seen, 2)
	require.Equal(t, "2", seen[0].Header.Get("Request-Priority"))
	require.Equal(t, "0", seen[1].Header.Get("Request-Priority"))
}
