// Package testkit helps tests: it starts deployments on stand-ins, sends
// requests and reads answers.
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

// ChatPath is the path of the chat completions call.
const ChatPath = "/v1/chat/completions"

// Timeout bounds how long a test waits for something that has to happen. No
// verdict depends on how fast it does.
const Timeout = 30 * time.Second

// PollInterval is how often a test looks.
const PollInterval = 2 * time.Millisecond

// StartDeployment starts a deployment that ends with the test.
func StartDeployment(t *testing.T, opts ...quickstart.Option) *quickstart.Deployment {
	t.Helper()
	de, stop, err := quickstart.New(opts...)
	require.NoError(t, err)
	t.Cleanup(stop)
	return de
}

// Response is a caller's view of an answer.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Err is the error that ended the reading of the body.
	Err error
}

// Code returns the machine-readable code of an error answer.
func (an Response) Code() string {
	return gjson.Get(an.Body, "error.code").String()
}

// NotRun says whether an error answer vouches that nothing ran.
func (an Response) NotRun() bool {
	return gjson.Get(an.Body, "error.not_run").Bool()
}

// Request returns a request to a host with the quickstart's key.
func Request(ctx context.Context, t *testing.T, address, method, path, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+quickstart.Key)
	return request
}

// Send sends a request and returns the answer.
func Send(t *testing.T, request *http.Request) Response {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err}
}

// Post posts a body to a host.
func Post(t *testing.T, address, path, body string) Response {
	t.Helper()
	return Send(t, Request(t.Context(), t, address, http.MethodPost, path, body))
}

// ChatBody returns the body of a chat request with an answer of exactly the
// given length.
func ChatBody(model mp.ModelID, content string, stream bool, tokens string) string {
	flag := "false"
	if stream {
		flag = "true"
	}
	return `{"model":"` + string(model) + `","stream":` + flag + `,"max_tokens":` + tokens +
		`,"ignore_eos":true,"messages":[{"role":"user","content":"` + content + `"}]}`
}

// MessageContent returns the text of a whole chat answer.
func MessageContent(t *testing.T, body string) string {
	t.Helper()
	content := gjson.Get(body, "choices.0.message.content")
	require.True(t, content.Exists(), body)
	return content.String()
}

// StreamContent returns the text of a streamed chat answer. The stream must be
// complete.
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

// Eventually waits until a condition holds.
func Eventually(t *testing.T, holds func() bool, what string) {
	t.Helper()
	require.Eventually(t, holds, Timeout, PollInterval, what)
}
