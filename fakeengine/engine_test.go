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

func start(t *testing.T, opts ...fakeengine.Option) (*fakeengine.Engine, string) {
	t.Helper()
	en, stop := fakeengine.New(append([]fakeengine.Option{fakeengine.WithModels("m")}, opts...)...)
	server := httptest.NewServer(en.Handler())
	t.Cleanup(func() {
		server.Close()
		stop()
	})
	return en, server.URL
}

func call(t *testing.T, method, url, body string, header ...string) (int, string) {
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

func order(fencing uint64, action mp.EngineAction, model mp.ModelID) string {
	text, err := json.Marshal(mp.EngineOrder{Fencing: fencing, Action: action, Model: model})
	if err != nil {
		panic(err) // the type always marshals
	}
	return string(text)
}

func TestOldFencingNumbersAreRefusedOrIgnored(t *testing.T) {
	_, checks := start(t, fakeengine.WithFencing())
	_, ignores := start(t)
	for url, want := range map[string]int{checks: http.StatusConflict, ignores: http.StatusNoContent} {
		status, _ := call(t, http.MethodPost, url+"/v1/orders", order(5, mp.ActionLoad, "n"))
		require.Equal(t, http.StatusNoContent, status)
		status, _ = call(t, http.MethodPost, url+"/v1/orders", order(4, mp.ActionUnload, "n"))
		require.Equal(t, want, status)
		_, state := call(t, http.MethodGet, url+"/v1/orders", "")
		require.Contains(t, state, `"fencing":5`)
		require.Equal(t, want == http.StatusConflict, strings.Contains(state, `"n"`), state)
	}
}

func chat(content string, tokens int) string {
	return `{"model":"m","stream":true,"ignore_eos":true,"max_tokens":` + strconv.Itoa(tokens) + `,"messages":[{"role":"system","content":"` + content + `"}]}`
}

func TestAResumedStreamGoesOnWhereItWasCut(t *testing.T) {
	_, url := start(t)
	_, whole := call(t, http.MethodPost, url+"/v1/chat/completions", chat("x", 6))
	_, rest := call(t, http.MethodPost, url+"/v1/chat/completions", chat("x", 6), mp.HeaderLastEventID, "4", mp.HeaderRequestID, "again")
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
	status, _ := call(t, http.MethodPost, url+"/v1/chat/completions", chat("x", 6), mp.HeaderLastEventID, "four")
	require.Equal(t, http.StatusBadRequest, status)
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, url := start(t, fakeengine.WithClock(clock), fakeengine.WithCacheEvents(time.Second, 2))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ix := range 4 {
			call(t, http.MethodPost, url+"/v1/chat/completions", chat(strings.Repeat("prefix", 20)+strconv.Itoa(ix), 1))
		}
	}()
	for finished := false; !finished; {
		select {
		case <-done:
			finished = true
		default:
			clock.Advance(10 * time.Millisecond)
			time.Sleep(testkit.Poll)
		}
	}
	clock.Advance(time.Minute)
	_, text := call(t, http.MethodGet, url+"/v1/cache/events?after=0", "")
	var events []mp.CacheEvent
	require.NoError(t, json.Unmarshal([]byte(text), &events))
	require.Len(t, events, 2, "each second event is lost")
	require.EqualValues(t, 1, events[0].Sequence)
	require.EqualValues(t, 3, events[1].Sequence)
}

func TestLoadReportsLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, url := start(t, fakeengine.WithClock(clock), fakeengine.WithLoadLag(5*time.Second))
	read := func() mp.EngineLoad {
		_, text := call(t, http.MethodGet, url+"/v1/load", "")
		var load mp.EngineLoad
		require.NoError(t, json.Unmarshal([]byte(text), &load))
		return load
	}
	require.Zero(t, read().Age)
	clock.Advance(3 * time.Second)
	require.Equal(t, 3*time.Second, read().Age.Std())
	clock.Advance(3 * time.Second)
	require.Zero(t, read().Age, "a new report")
}

func TestCancelAndKV(t *testing.T) {
	en, url := start(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chat("x", 100_000)))
	require.NoError(t, err)
	request.Header.Set(mp.HeaderRequestID, "r1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	status, kept := call(t, http.MethodGet, url+"/v1/kv/r1", "")
	require.Equal(t, http.StatusOK, status)
	status, _ = call(t, http.MethodPut, url+"/v1/kv/r2", kept)
	require.Equal(t, http.StatusNoContent, status)
	status, _ = call(t, http.MethodPost, url+"/v1/requests/r1/cancel", "")
	require.Equal(t, http.StatusNoContent, status)
	testkit.Eventually(t, func() bool { return en.Stats().Running == 0 }, "the request still runs")
	status, _ = call(t, http.MethodPost, url+"/v1/requests/r1/cancel", "")
	require.Equal(t, http.StatusNotFound, status)
}
