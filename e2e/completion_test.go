// Package e2e_test sends requests through a complete deployment in one process.
package e2e_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/quickstart"
	"github.com/mangopaddle/mangopaddle/testkit"
)

func TestNonStreamingResponseMatchesStream(t *testing.T) {
	de := testkit.StartDeployment(t)
	address := de.Host.CallerAddress()
	whole := testkit.Post(t, address, testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "soil", false, "20"))
	require.Equal(t, http.StatusOK, whole.Status)
	require.NotEmpty(t, whole.Header.Get(mp.HeaderRequestID))
	require.EqualValues(t, 20, gjson.Get(whole.Body, "usage.completion_tokens").Int())
	require.Equal(t, "stop", gjson.Get(whole.Body, "choices.0.finish_reason").String())

	stream := testkit.Post(t, address, testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "soil", true, "20"))
	require.Equal(t, testkit.MessageContent(t, whole.Body), testkit.StreamContent(t, stream.Body))
	require.NotContains(t, stream.Body, "usage", "the caller did not request usage")
}

func TestTextCompletion(t *testing.T) {
	de := testkit.StartDeployment(t)
	whole := testkit.Post(t, de.Host.CallerAddress(), "/v1/completions", `{"model":"model-large","prompt":"clay","max_tokens":3,"ignore_eos":true}`)
	require.Equal(t, http.StatusOK, whole.Status)
	require.Equal(t, "text_completion", gjson.Get(whole.Body, "object").String())
	require.NotEmpty(t, gjson.Get(whole.Body, "choices.0.text").String())
}

func TestRejectedRequestGetsErrorAndReachesNoEngine(t *testing.T) {
	de := testkit.StartDeployment(t)
	address := de.Host.CallerAddress()
	good := testkit.ChatBody(quickstart.ModelSmall, "x", false, "1")
	tests := []struct {
		name, method, path, body, key, class string
		status                               int
		code                                 mp.Kind
	}{
		{name: "no key", method: http.MethodPost, path: testkit.ChatPath, body: good, key: "-", status: 401, code: mp.KindUnauthorized},
		{name: "wrong key", method: http.MethodPost, path: testkit.ChatPath, body: good, key: "Bearer other", status: 401, code: mp.KindUnauthorized},
		{name: "unknown class", method: http.MethodPost, path: testkit.ChatPath, body: good, class: "gold", status: 403, code: mp.KindClassNotAllowed},
		{name: "unknown model", method: http.MethodPost, path: testkit.ChatPath, body: testkit.ChatBody("other", "x", false, "1"), status: 404, code: mp.KindModelNotFound},
		{name: "unknown path", method: http.MethodPost, path: "/v1/other", body: good, status: 404, code: mp.KindNotFound},
		{name: "wrong method", method: http.MethodDelete, path: testkit.ChatPath, status: 405, code: mp.KindMethodNotAllowed},
		{name: "unknown service", method: http.MethodPost, path: "/services/other/x", status: 404, code: mp.KindServiceNotFound},
		{name: "service outside the class", method: http.MethodPost, path: "/services/orders/x", class: "batch", status: 403, code: mp.KindClassNotAllowed},
		{name: "details of an unknown model", method: http.MethodGet, path: "/v1/models/other", status: 404, code: mp.KindModelNotFound},
	}
	for _, te := range tests {
		t.Run(te.name, func(t *testing.T) {
			request := testkit.Request(t.Context(), t, address, te.method, te.path, te.body)
			if te.key != "" {
				request.Header.Set("Authorization", te.key)
			}
			if te.class != "" {
				request.Header.Set(mp.HeaderClass, te.class)
			}
			re := testkit.Send(t, request)
			require.Equal(t, te.status, re.Status, re.Body)
			require.Equal(t, te.code.String(), re.Code())
			require.True(t, re.NotRun())
			require.NotEmpty(t, gjson.Get(re.Body, "error.message").String())
			require.Equal(t, re.Header.Get(mp.HeaderRequestID), gjson.Get(re.Body, "error.request_id").String())
		})
	}
	require.Zero(t, startedRequests(de), "a rejected request reached an engine")
}

// startedRequests counts the requests that the engines accepted.
func startedRequests(de *quickstart.Deployment) int {
	total := 0
	for _, en := range de.Engines {
		total += en.Stats().Started
	}
	return total
}
