// Package e2e_test sends requests through a whole deployment.
package e2e_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/quickstart"
)

func start(t *testing.T, opts ...quickstart.Option) *quickstart.Deployment {
	t.Helper()
	de, stop, err := quickstart.New(opts...)
	require.NoError(t, err)
	t.Cleanup(stop)
	return de
}

func post(t *testing.T, de *quickstart.Deployment, path, body string) (int, http.Header, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+de.Host.CallerAddress()+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+quickstart.Key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header, string(text)
}

const chat = "/v1/chat/completions"

func TestWholeAnswerEqualsTheStream(t *testing.T) {
	de := start(t)
	request := `{"model":"model-small","max_tokens":20,"ignore_eos":true,"stream":%,"messages":[{"role":"user","content":"soil"}]}`
	status, header, whole := post(t, de, chat, strings.Replace(request, "%", "false", 1))
	require.Equal(t, http.StatusOK, status)
	require.NotEmpty(t, header.Get("X-Request-Id"))
	_, _, stream := post(t, de, chat, strings.Replace(request, "%", "true", 1))
	require.Equal(t, contentOf(t, whole), streamedContent(t, stream))
	require.True(t, strings.HasSuffix(stream, "data: [DONE]\n\n"))
}

func TestServiceCallRunsOnce(t *testing.T) {
	de := start(t)
	status, _, _ := post(t, de, "/services/orders/confirm", `{"boreholes":1}`)
	require.Equal(t, http.StatusCreated, status)
	calls := de.Orders.Calls()
	require.Len(t, calls, 1)
	require.Equal(t, `{"boreholes":1}`, calls[0].Body)
}
