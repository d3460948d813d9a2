package fakeengine_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/fakeengine"
	"github.com/mangopaddle/mangopaddle/testkit"
)

func startEngine(t *testing.T, opts ...fakeengine.Option) (*fakeengine.Engine, string) {
	t.Helper()
	en, stop := fakeengine.New(append([]fakeengine.Option{fakeengine.WithModels("m")}, opts...)...)
	server := httptest.NewServer(en.Handler())
	t.Cleanup(func() {
		server.Close()
		stop()
	})
	return en, server.URL
}

func sendRequest(t *testing.T, method, url, body string, header ...string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	for ix := 0; ix+1 < len(header); ix += 2 {
		request.Header.Set(header[ix], header[ix+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

func chatBody(tokens int) string {
	return `{"model":"m","stream":true,"ignore_eos":true,"max_tokens":` + strconv.Itoa(tokens) + `,"messages":[{"role":"system","content":"x"}]}`
}

// TestResumeContinuesAfterLastToken checks that a resumed stream has the same tokens as
// the rest of the whole answer, and that an invalid Last-Event-ID is refused.
func TestResumeContinuesAfterLastToken(t *testing.T) {
	_, url := startEngine(t)
	_, whole := sendRequest(t, http.MethodPost, url+"/v1/chat/completions", chatBody(6))
	_, rest := sendRequest(t, http.MethodPost, url+"/v1/chat/completions", chatBody(6), mp.HeaderLastEventID, "4", mp.HeaderRequestID, "again")
	_, after, found := strings.Cut(whole, "id: 5\n")
	require.True(t, found)
	contents := func(text string) []string {
		var list []string
		for _, part := range strings.Split(text, `"content":"`)[1:] {
			list = append(list, part[:strings.Index(part, `"`)])
		}
		return list
	}
	require.Equal(t, contents(after), contents(rest))
	status, _ := sendRequest(t, http.MethodPost, url+"/v1/chat/completions", chatBody(6), mp.HeaderLastEventID, "four")
	require.Equal(t, http.StatusBadRequest, status)
}

func TestLoadReportIsCachedForInterval(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, url := startEngine(t, fakeengine.WithClock(clock), fakeengine.WithLoadReportInterval(5*time.Second))
	readLoad := func() mp.EngineLoad {
		_, text := sendRequest(t, http.MethodGet, url+"/v1/load", "")
		var load mp.EngineLoad
		require.NoError(t, json.Unmarshal([]byte(text), &load))
		return load
	}
	require.Zero(t, readLoad().Age)
	clock.Advance(3 * time.Second)
	require.Equal(t, 3*time.Second, readLoad().Age.Std())
	clock.Advance(3 * time.Second)
	require.Zero(t, readLoad().Age, "the report was not refreshed after its interval")
}

func TestCancelStopsRequest(t *testing.T) {
	en, url := startEngine(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chatBody(100_000)))
	require.NoError(t, err)
	request.Header.Set(mp.HeaderRequestID, "r1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	status, _ := sendRequest(t, http.MethodPost, url+"/v1/requests/r1/cancel", "")
	require.Equal(t, http.StatusNoContent, status)
	testkit.Eventually(t, func() bool { return en.Stats().Running == 0 }, "the request still runs")
	status, _ = sendRequest(t, http.MethodPost, url+"/v1/requests/r1/cancel", "")
	require.Equal(t, http.StatusNotFound, status)
}
