package e2e_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/enginemodel"
	"github.com/mangopaddle/mangopaddle/fakeengine"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/quickstart"
	"github.com/mangopaddle/mangopaddle/testkit"
)

// shortIdleTimeout sets a short stream idle timeout on the host, so that hung
// connections are detected soon, and a keep-alive interval of a tenth of it on the
// engines.
func shortIdleTimeout() []quickstart.Option {
	return []quickstart.Option{
		quickstart.WithSettings(func(st *config.Settings) { st.StreamIdleTimeout = 500 * time.Millisecond }),
		quickstart.WithEngineOptions(fakeengine.WithKeepAliveInterval(50 * time.Millisecond)),
	}
}

func TestResumeAfterEngineFault(t *testing.T) {
	faults := map[string]fakeengine.Fault{
		"truncated stream": fakeengine.FaultTruncate,
		"crash":            fakeengine.FaultCrash,
		"hung connection":  fakeengine.FaultHang,
	}
	for name, fault := range faults {
		for _, stream := range []bool{true, false} {
			t.Run(name+", stream "+strconv.FormatBool(stream), func(t *testing.T) {
				t.Parallel()
				testResume(t, fault, stream)
			})
		}
	}
}

// testResume injects a fault into one of two engines after 7 tokens and
// compares every answer with that of a healthy deployment.
func testResume(t *testing.T, fault fakeengine.Fault, stream bool) {
	healthy := testkit.StartDeployment(t)
	de := testkit.StartDeployment(t, shortIdleTimeout()...)
	faulty := de.Engines["model-small-a"]
	faulty.SetFault(fault, 7)

	responses := postConcurrently(t, de, 6, func(ix int) string {
		return testkit.ChatBody(quickstart.ModelSmall, "q"+strconv.Itoa(ix), stream, "30")
	})
	require.Positive(t, faulty.Stats().Started, "no request reached the faulty engine")
	for ix, re := range responses {
		require.Equal(t, http.StatusOK, re.Status, re.Body)
		want := testkit.Post(t, healthy.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "q"+strconv.Itoa(ix), false, "30"))
		if stream {
			require.Equal(t, testkit.MessageContent(t, want.Body), testkit.StreamContent(t, re.Body))
		} else {
			require.Equal(t, testkit.MessageContent(t, want.Body), testkit.MessageContent(t, re.Body))
		}
	}
	testkit.Eventually(t, func() bool { return faulty.Stats().Running == 0 }, "the faulty engine still runs abandoned requests")
}

// blackholeServer accepts connections and never responds, like a hung server.
// It returns its address.
func blackholeServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = connection.Close() })
		}
	}()
	return listener.Addr().String()
}

func TestUnresponsiveEngineIsFailedOver(t *testing.T) {
	de := testkit.StartDeployment(t, shortIdleTimeout()...)
	address := blackholeServer(t)
	republish(t, de, func(fl *config.Fleet) { fl.Engines[0].Address = address })
	responses := postConcurrently(t, de, 6, func(ix int) string { return testkit.ChatBody(quickstart.ModelSmall, "q"+strconv.Itoa(ix), true, "5") })
	for _, re := range responses {
		require.Len(t, strings.Fields(testkit.StreamContent(t, re.Body)), 5)
	}
}

// postConcurrently posts requests concurrently and returns their responses.
func postConcurrently(t *testing.T, de *quickstart.Deployment, count int, body func(ix int) string) []testkit.Response {
	t.Helper()
	responses := make([]testkit.Response, count)
	var group sync.WaitGroup
	for ix := range responses {
		group.Go(func() {
			responses[ix] = testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, body(ix))
		})
	}
	group.Wait()
	return responses
}

func TestUnavailableEnginesReportNotRun(t *testing.T) {
	de := testkit.StartDeployment(t)
	for _, en := range de.Engines {
		en.SetFault(fakeengine.FaultUnavailable, 0)
	}
	re := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", false, "3"))
	require.Equal(t, mp.KindNoBackend.String(), re.Code())
	require.True(t, re.NotRun())
	require.NotEmpty(t, re.Header.Get("Retry-After"))
	require.Zero(t, startedRequests(de))
}

func TestEnginesThatWantAPauseGetNoRequests(t *testing.T) {
	de := testkit.StartDeployment(t)
	for _, en := range de.Engines {
		en.SetFault(fakeengine.FaultPause, 0)
	}
	refused := func() bool {
		re := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", false, "3"))
		after, err := strconv.ParseFloat(re.Header.Get("Retry-After"), 64)
		return err == nil && re.Code() == mp.KindNoBackend.String() && re.NotRun() && after > 60
	}
	testkit.Eventually(t, refused, "the caller isn't told of the pause")
	for _, en := range de.Engines {
		en.SetFault(fakeengine.FaultNone, 0)
	}
	require.True(t, refused())
	require.Zero(t, startedRequests(de))
}

func TestCrashedEnginesDoNotReportNotRun(t *testing.T) {
	de := testkit.StartDeployment(t)
	for _, en := range de.Engines {
		en.SetFault(fakeengine.FaultCrash, 0)
	}
	re := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", false, "3"))
	require.Equal(t, mp.KindBackendFailed.String(), re.Code())
	require.False(t, re.NotRun())
}

func TestFailedStreamHasNoEndMarker(t *testing.T) {
	de := testkit.StartDeployment(t)
	for _, en := range de.Engines {
		en.SetFault(fakeengine.FaultTruncate, 0)
	}
	re := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", true, "50"))
	require.NotContains(t, re.Body, mp.StreamEnd)
	require.Contains(t, re.Body, mp.KindBackendFailed.String())
}

func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	de := testkit.StartDeployment(t)
	ctx, disconnect := context.WithCancel(t.Context())
	request := testkit.Request(ctx, t, de.Host.CallerAddress(), http.MethodPost, testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", true, "100000"))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(line, "data: "))
	disconnect()
	testkit.Eventually(t, func() bool {
		cancelled, running := 0, 0
		for _, en := range de.Engines {
			cancelled += en.Stats().Cancelled
			running += en.Stats().Running
		}
		return cancelled == 1 && running == 0
	}, "the engine still runs the request")
}

// TestEngineQueueWaitIsLimited guards against a request that waits in an engine's
// queue without limit: once its first token is late, the host must fail it and
// cancel it on the engine.
func TestEngineQueueWaitIsLimited(t *testing.T) {
	params := enginemodel.DefaultParams()
	params.Slots = 1 // the fleet configuration has 32, so the host sends more and the engine queues them
	de := testkit.StartDeployment(t,
		quickstart.WithEngineOptions(fakeengine.WithParams(params)),
		quickstart.WithContract(func(co *config.Contract) {
			co.Classes[0].MaxWait = mp.Duration(300 * time.Millisecond)
			co.Classes[0].Targets.FirstToken = mp.Duration(100 * time.Millisecond)
		}))
	ctx, disconnect := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			response, err := http.DefaultClient.Do(testkit.Request(ctx, t, de.Host.CallerAddress(), http.MethodPost, testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "long", true, "100000")))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	testkit.Eventually(t, func() bool {
		return de.Engines["model-small-a"].Stats().Running+de.Engines["model-small-b"].Stats().Running == 2
	}, "the engines did not fill their slots")
	re := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "late", true, "5"))
	require.Equal(t, mp.KindFirstTokenLate.String(), re.Code(), re.Body)
	require.False(t, re.NotRun(), "the engine may have started the request")
	testkit.Eventually(t, func() bool {
		return de.Engines["model-small-a"].Stats().Waiting+de.Engines["model-small-b"].Stats().Waiting == 0
	}, "the expired request is still queued on an engine")
	disconnect()
	group.Wait()
}

func TestWriteTimeoutReleasesEngine(t *testing.T) {
	params := enginemodel.Params{Slots: 4, StepBase: 20 * time.Microsecond, MaxPrefillChunk: 512}
	de := testkit.StartDeployment(t,
		quickstart.WithSettings(func(st *config.Settings) { st.WriteTimeout = 200 * time.Millisecond }),
		quickstart.WithEngineOptions(fakeengine.WithParams(params)))
	connection, err := net.Dial("tcp", de.Host.CallerAddress())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(4096)) // small, so that the host's writes block soon
	body := testkit.ChatBody(quickstart.ModelSmall, "x", true, "100000000")
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testkit.ChatPath, quickstart.APIKey, len(body), body)
	require.NoError(t, err)
	testkit.Eventually(t, func() bool { return startedRequests(de) == 1 }, "the request did not reach an engine")
	testkit.Eventually(t, func() bool {
		return de.Engines["model-small-a"].Stats().Cancelled+de.Engines["model-small-b"].Stats().Cancelled == 1
	}, "the engine still runs the request of a stalled caller")
}

// TestIdleTimeoutCancelsOverNewConnection uses an engine that does not notice a
// closed connection, so only an explicit cancel request stops its work.
func TestIdleTimeoutCancelsOverNewConnection(t *testing.T) {
	de := testkit.StartDeployment(t, shortIdleTimeout()...)
	hung := de.Engines["model-small-a"]
	hung.SetFault(fakeengine.FaultHang, 3)
	ctx, disconnect := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for ix := range 2 {
		group.Go(func() {
			response, err := http.DefaultClient.Do(testkit.Request(ctx, t, de.Host.CallerAddress(), http.MethodPost, testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "q"+strconv.Itoa(ix), true, "100000")))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	testkit.Eventually(t, func() bool { return hung.Stats().Started > 0 }, "no request reached the faulty engine")
	testkit.Eventually(t, func() bool { return hung.Stats().Running == 0 }, "the hung engine still runs abandoned requests")
	disconnect()
	group.Wait()
}

// TestSlowCallerDoesNotTripEngineIdleTimeout stalls the caller for longer than
// the host's stream idle timeout. The host stops reading from the engine
// meanwhile, and must not take this for a hung engine.
func TestSlowCallerDoesNotTripEngineIdleTimeout(t *testing.T) {
	params := enginemodel.Params{Slots: 4, StepBase: 20 * time.Microsecond, MaxPrefillChunk: 512}
	de := testkit.StartDeployment(t,
		quickstart.WithSettings(func(st *config.Settings) { st.StreamIdleTimeout = time.Second }),
		quickstart.WithEngineOptions(fakeengine.WithParams(params)))
	connection, err := net.Dial("tcp", de.Host.CallerAddress())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(32<<10)) // small, so that the host's writes block during the stall
	body := testkit.ChatBody(quickstart.ModelSmall, "x", true, "20000")
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testkit.ChatPath, quickstart.APIKey, len(body), body)
	require.NoError(t, err)
	time.Sleep(2500 * time.Millisecond) // the stall under test; no assertion depends on when it ends
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Len(t, strings.Fields(testkit.StreamContent(t, string(text))), 20000)
	require.Equal(t, 1, startedRequests(de), "the request was retried on another engine")
}

func TestDrainingEngineGetsNoNewRequest(t *testing.T) {
	de := testkit.StartDeployment(t)
	draining := de.Engines["model-small-a"]
	list, err := json.Marshal(mp.MachineList{Servers: []mp.ListedServer{{Name: "model-small-a", State: mp.MachineDraining}}})
	require.NoError(t, err)
	de.Store.Put(string(platform.MachinesKey), list)
	testkit.Eventually(t, func() bool {
		return strings.Contains(debugState(t, de), `"model-small-a": true`)
	}, "the host did not read the list")
	before := draining.Stats().Started
	for range 8 {
		re := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", false, "2"))
		require.Equal(t, http.StatusOK, re.Status)
	}
	require.Equal(t, before, draining.Stats().Started)
}

// debugState returns the body of the host's /debug/state.
func debugState(t *testing.T, de *quickstart.Deployment) string {
	t.Helper()
	return testkit.Send(t, testkit.Request(t.Context(), t, de.Host.OperatorAddress(), http.MethodGet, "/debug/state", "")).Body
}
