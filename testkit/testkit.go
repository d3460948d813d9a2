// Package testkit provides test helpers that start deployments with fake engines and
// services, send requests and read responses.
package testkit

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/quickstart"
)

// ChatPath is the path of the chat completions API.
const ChatPath = "/v1/chat/completions"

// Timeout is the maximum time that a test waits for a condition. It is generous: no
// test depends on how fast the condition holds.
const Timeout = 30 * time.Second

// PollInterval is how often a test checks a condition.
const PollInterval = 2 * time.Millisecond

// StartDeployment starts a deployment and stops it at the end of the test.
func StartDeployment(t *testing.T, opts ...quickstart.Option) *quickstart.Deployment {
	t.Helper()
	de, stop, err := quickstart.New(opts...)
	require.NoError(t, err)
	t.Cleanup(stop)
	return de
}

// Response is a response as the caller received it.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Err is the error of reading the body; nil if it was read completely.
	Err error
}

// Code returns the machine-readable code of an error response.
func (re Response) Code() string {
	return gjson.Get(re.Body, "error.code").String()
}

// NotRun reports whether an error response states that nothing was executed.
func (re Response) NotRun() bool {
	return gjson.Get(re.Body, "error.not_run").Bool()
}

// Request returns a request to a host, with the API key of package quickstart.
func Request(ctx context.Context, t *testing.T, address, method, path, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+quickstart.APIKey)
	return request
}

// Send sends a request and returns the response. It fails the test if there is none.
func Send(t *testing.T, request *http.Request) Response {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err}
}

// Post sends a POST request with a body to a host.
func Post(t *testing.T, address, path, body string) Response {
	t.Helper()
	return Send(t, Request(t.Context(), t, address, http.MethodPost, path, body))
}

// ChatBody returns the body of a chat request whose answer has exactly the given
// number of tokens.
func ChatBody(model mp.ModelID, content string, stream bool, maxTokens string) string {
	flag := "false"
	if stream {
		flag = "true"
	}
	return `{"model":"` + string(model) + `","stream":` + flag + `,"max_tokens":` + maxTokens +
		`,"ignore_eos":true,"messages":[{"role":"user","content":"` + content + `"}]}`
}

// MessageContent returns the text of a chat answer that was not streamed.
func MessageContent(t *testing.T, body string) string {
	t.Helper()
	content := gjson.Get(body, "choices.0.message.content")
	require.True(t, content.Exists(), body)
	return content.String()
}

// StreamContent returns the text of a streamed chat answer. It fails the test if the
// stream is incomplete or reports an error.
func StreamContent(t *testing.T, body string) string {
	t.Helper()
	require.True(t, strings.HasSuffix(body, "data: "+mp.StreamEnd+"\n\n"), body)
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == mp.StreamEnd {
			continue
		}
		require.False(t, gjson.Get(data, "error").Exists(), data)
		text.WriteString(gjson.Get(data, "choices.0.delta.content").String())
	}
	return text.String()
}

// Eventually waits until a condition holds, and fails the test with a message after
// the timeout.
func Eventually(t *testing.T, condition func() bool, message string) {
	t.Helper()
	require.Eventually(t, condition, Timeout, PollInterval, message)
}
