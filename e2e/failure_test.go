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

// quickSilence lets silent connections be found soon; engines send comments
// ten times as often.
func quickSilence() []quickstart.Option {
	return []quickstart.Option{
		quickstart.WithSettings(func(st *config.Settings) { st.StreamIdleTimeout = 500 * time.Millisecond }),
		quickstart.WithEngineOptions(fakeengine.WithKeepAliveInterval(50 * time.Millisecond)),
	}
}

func TestBrokenAnswersAreResumedWhole(t *testing.T) {
	faults := map[string]fakeengine.Fault{
		"truncated stream":  fakeengine.FaultTruncate,
		"crash":             fakeengine.FaultCrash,
		"silent connection": fakeengine.FaultHang,
	}
	for name, fault := range faults {
		for _, stream := range []bool{true, false} {
			t.Run(name+", stream "+strconv.FormatBool(stream), func(t *testing.T) {
				t.Parallel()
				checkResumed(t, fault, stream)
			})
		}
	}
}

// checkResumed lets one of two engines fail behind some tokens and compares
// every answer with the one of a healthy deployment.
func checkResumed(t *testing.T, fault fakeengine.Fault, stream bool) {
	healthy := testkit.StartDeployment(t)
	de := testkit.StartDeployment(t, quickSilence()...)
	bad := de.Engines["model-small-a"]
	bad.SetFault(fault, 7)

	answers := postAll(t, de, 6, func(ix int) string {
		return testkit.ChatBody(quickstart.ModelSmall, "q"+strconv.Itoa(ix), stream, "30")
	})
	require.Positive(t, bad.Stats().Started, "no request met the fault")
	for ix, an := range answers {
		require.Equal(t, http.StatusOK, an.Status, an.Body)
		want := testkit.Post(t, healthy.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "q"+strconv.Itoa(ix), false, "30"))
		if stream {
			require.Equal(t, testkit.MessageContent(t, want.Body), testkit.StreamContent(t, an.Body))
		} else {
			require.Equal(t, testkit.MessageContent(t, want.Body), testkit.MessageContent(t, an.Body))
		}
	}
	testkit.Eventually(t, func() bool { return bad.Stats().Running == 0 }, "the bad engine still works for nobody")
}

// holdConnections accepts connections and never answers on them, as a host does
// that lost track of them.
func holdConnections(t *testing.T) string {
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

func TestAnEngineThatNeverAnswersIsLeft(t *testing.T) {
	de := testkit.StartDeployment(t, quickSilence()...)
	address := holdConnections(t)
	republish(t, de, func(fl *config.Fleet) { fl.Engines[0].Address = address })
	answers := postAll(t, de, 6, func(ix int) string { return testkit.ChatBody(quickstart.ModelSmall, "q"+strconv.Itoa(ix), true, "5") })
	for _, an := range answers {
		require.Len(t, strings.Fields(testkit.StreamContent(t, an.Body)), 5)
	}
}

// postAll posts requests at the same time and returns their answers.
func postAll(t *testing.T, de *quickstart.Deployment, count int, body func(ix int) string) []testkit.Response {
	t.Helper()
	answers := make([]testkit.Response, count)
	var group sync.WaitGroup
	for ix := range answers {
		group.Go(func() {
			answers[ix] = testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, body(ix))
		})
	}
	group.Wait()
	return answers
}

func TestUnavailableEnginesMeanNotRun(t *testing.T) {
	de := testkit.StartDeployment(t)
	for _, en := range de.Engines {
		en.SetFault(fakeengine.FaultUnavailable, 0)
	}
	an := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", false, "3"))
	require.Equal(t, mp.KindNoBackend.String(), an.Code())
	require.True(t, an.NotRun())
	require.NotEmpty(t, an.Header.Get("Retry-After"))
	require.Zero(t, started(de))
}

func TestCrashedEnginesAreNotSaidToHaveDoneNothing(t *testing.T) {
	de := testkit.StartDeployment(t)
	for _, en := range de.Engines {
		en.SetFault(fakeengine.FaultCrash, 0)
	}
	an := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", false, "3"))
	require.Equal(t, mp.KindBackendFailed.String(), an.Code())
	require.False(t, an.NotRun())
}

func TestABrokenStreamEndsWithoutItsLastEvent(t *testing.T) {
	de := testkit.StartDeployment(t)
	for _, en := range de.Engines {
		en.SetFault(fakeengine.FaultTruncate, 0)
	}
	an := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", true, "50"))
	require.NotContains(t, an.Body, mp.StreamEnd)
	require.Contains(t, an.Body, mp.KindBackendFailed.String())
}

func TestACallerThatLeavesCancelsTheEnginesWork(t *testing.T) {
	de := testkit.StartDeployment(t)
	ctx, leave := context.WithCancel(t.Context())
	request := testkit.Request(ctx, t, de.Host.CallerAddress(), http.MethodPost, testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", true, "100000"))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(line, "data: "))
	leave()
	testkit.Eventually(t, func() bool {
		cancelled, running := 0, 0
		for _, en := range de.Engines {
			cancelled += en.Stats().Cancelled
			running += en.Stats().Running
		}
		return cancelled == 1 && running == 0
	}, "the engine still works")
}

func TestAWaitInTheEnginesQueueIsBoundedToo(t *testing.T) {
	params := enginemodel.DefaultParams()
	params.Slots = 1 // the fleet says 32, so that the host sends on
	de := testkit.StartDeployment(t,
		quickstart.WithEngineOptions(fakeengine.WithParams(params)),
		quickstart.WithContract(func(co *config.Contract) {
			co.Classes[0].MaxWait = mp.Duration(300 * time.Millisecond)
			co.Classes[0].Targets.FirstToken = mp.Duration(100 * time.Millisecond)
		}))
	ctx, leave := context.WithCancel(t.Context())
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
	}, "the slots are not taken")
	an := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "late", true, "5"))
	require.Equal(t, mp.KindFirstTokenLate.String(), an.Code(), an.Body)
	require.False(t, an.NotRun(), "the engine may have begun")
	testkit.Eventually(t, func() bool {
		return de.Engines["model-small-a"].Stats().Waiting+de.Engines["model-small-b"].Stats().Waiting == 0
	}, "the late request still waits")
	leave()
	group.Wait()
}

func TestASlowCallerIsCutOffAndHoldsNoEngine(t *testing.T) {
	params := enginemodel.Params{Slots: 4, StepBase: 20 * time.Microsecond, PrefillChunk: 512}
	de := testkit.StartDeployment(t,
		quickstart.WithSettings(func(st *config.Settings) { st.WriteTimeout = 200 * time.Millisecond }),
		quickstart.WithEngineOptions(fakeengine.WithParams(params)))
	connection, err := net.Dial("tcp", de.Host.CallerAddress())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(4096))
	body := testkit.ChatBody(quickstart.ModelSmall, "x", true, "100000000")
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testkit.ChatPath, quickstart.Key, len(body), body)
	require.NoError(t, err)
	testkit.Eventually(t, func() bool { return started(de) == 1 }, "the request did not start")
	testkit.Eventually(t, func() bool {
		return de.Engines["model-small-a"].Stats().Cancelled+de.Engines["model-small-b"].Stats().Cancelled == 1
	}, "the engine still works for a caller that takes nothing")
}

// TestASilentRunIsCancelledOverANewConnection uses an engine that does not notice
// that a connection was closed.
func TestASilentRunIsCancelledOverANewConnection(t *testing.T) {
	de := testkit.StartDeployment(t, quickSilence()...)
	silent := de.Engines["model-small-a"]
	silent.SetFault(fakeengine.FaultHang, 3)
	ctx, leave := context.WithCancel(t.Context())
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
	testkit.Eventually(t, func() bool { return silent.Stats().Started > 0 }, "no request met the fault")
	testkit.Eventually(t, func() bool { return silent.Stats().Running == 0 }, "the silent engine still works for nobody")
	leave()
	group.Wait()
}

// TestASlowCallerDoesNotMakeTheEngineLookSilent lets a caller stall for longer than
// an engine may be silent.
func TestASlowCallerDoesNotMakeTheEngineLookSilent(t *testing.T) {
	params := enginemodel.Params{Slots: 4, StepBase: 20 * time.Microsecond, PrefillChunk: 512}
	de := testkit.StartDeployment(t,
		quickstart.WithSettings(func(st *config.Settings) { st.StreamIdleTimeout = time.Second }),
		quickstart.WithEngineOptions(fakeengine.WithParams(params)))
	connection, err := net.Dial("tcp", de.Host.CallerAddress())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(32<<10))
	body := testkit.ChatBody(quickstart.ModelSmall, "x", true, "20000")
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testkit.ChatPath, quickstart.Key, len(body), body)
	require.NoError(t, err)
	time.Sleep(2500 * time.Millisecond) // the stall itself; no verdict depends on its end
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Len(t, strings.Fields(testkit.StreamContent(t, string(text))), 20000)
	require.Equal(t, 1, started(de), "the answer was moved to another engine")
}

func TestLeavingEngineGetsNoNewRequest(t *testing.T) {
	de := testkit.StartDeployment(t)
	leaving := de.Engines["model-small-a"]
	list, err := json.Marshal(mp.MachineList{Servers: []mp.ListedServer{{Name: "model-small-a", State: mp.ServerLeaving}}})
	require.NoError(t, err)
	de.Store.Put(string(platform.MachinesKey), list)
	testkit.Eventually(t, func() bool {
		return strings.Contains(state(t, de), `"model-small-a": true`)
	}, "the list was not read")
	before := leaving.Stats().Started
	for range 8 {
		an := testkit.Post(t, de.Host.CallerAddress(), testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, "x", false, "2"))
		require.Equal(t, http.StatusOK, an.Status)
	}
	require.Equal(t, before, leaving.Stats().Started)
}

// state returns the host's /debug/state.
func state(t *testing.T, de *quickstart.Deployment) string {
	t.Helper()
	return testkit.Send(t, testkit.Request(t.Context(), t, de.Host.OperatorAddress(), http.MethodGet, "/debug/state", "")).Body
}
