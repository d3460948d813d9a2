// Package process_test runs a deployment as separate processes and kills,
// freezes and stops them.
package process_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/quickstart"
	"github.com/mangopaddle/mangopaddle/testkit"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mangopaddle")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "mangopaddle")
	build := exec.Command("go", "build", "-o", binary, "../cmd/mangopaddle")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(output))
		return 1
	}
	return m.Run()
}

// process is a running instance of the program.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	pr := &process{command: exec.Command(binary, args...), exited: make(chan struct{})}
	require.NoError(t, pr.command.Start())
	go func() {
		_ = pr.command.Wait()
		close(pr.exited)
	}()
	t.Cleanup(func() {
		pr.signal(syscall.SIGKILL)
		<-pr.exited
	})
	return pr
}

func (pr *process) signal(sig syscall.Signal) {
	_ = pr.command.Process.Signal(sig)
}

// deployment is a set of processes: two fake engines, a fake service, a fake
// platform and two entry hosts.
type deployment struct {
	dir               string
	fleet             config.Fleet
	engines           []*process
	platform          *process
	platformAddress   string
	hosts             []*process
	callerAddresses   []string
	operatorAddresses []string
}

const hostCount = 2

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	de := &deployment{dir: t.TempDir()}
	de.fleet = config.Fleet{
		Regions: []config.Region{{Name: "r", DataCentres: []mp.DataCentreID{"d"}}},
		Models:  []config.Model{{Name: quickstart.ModelSmall}},
	}
	for ix := range 2 {
		address := loopback.Address()
		de.engines = append(de.engines, startProcess(t, "standin", "engine", "--listen", address, "--models", string(quickstart.ModelSmall)))
		awaitListener(t, address)
		de.fleet.Engines = append(de.fleet.Engines, config.Engine{
			Name: mp.EngineID("e" + strconv.Itoa(ix)), Address: address, DataCentre: "d", Models: []mp.ModelID{quickstart.ModelSmall},
		})
	}
	address := loopback.Address()
	startProcess(t, "standin", "service", "--listen", address)
	de.fleet.Services = []config.Service{{Name: quickstart.Orders, Replicas: []config.Replica{{Name: "s", Address: address, DataCentre: "d"}}}}
	de.publish(t)
	platformAddress := loopback.Address()
	de.platform = startProcess(t, "standin", "platform", "--listen", platformAddress, "--dir", de.dir, "--poll", "20ms")
	de.platformAddress = platformAddress
	for ix := range hostCount {
		de.hosts = append(de.hosts, nil)
		de.callerAddresses, de.operatorAddresses = append(de.callerAddresses, loopback.Address()), append(de.operatorAddresses, loopback.Address())
		de.startHost(t, ix)
	}
	for ix := range de.hosts {
		de.awaitReady(t, ix)
	}
	return de
}

// startHost starts a host, or restarts one that has stopped, on the same
// addresses.
func (de *deployment) startHost(t *testing.T, ix int) {
	t.Helper()
	de.hosts[ix] = startProcess(t, "serve", "--host", "h"+strconv.Itoa(ix), "--data-centre", "d", "--platform", de.platformAddress,
		"--listen", de.callerAddresses[ix], "--operator-listen", de.operatorAddresses[ix], "--lame-duck", "1s", "--silence", "1500ms", "--log-level", "error")
}

// publish writes the fleet and the contract to the directory that the fake
// platform reads.
func (de *deployment) publish(t *testing.T) {
	t.Helper()
	contract := config.Contract{
		Organisation: "o",
		Keys:         []config.APIKey{{Name: "k", SHA256: quickstart.APIKeyHash()}},
		Classes:      []config.Class{{Name: "c", Models: []mp.ModelID{config.AnyModel}, Services: []mp.ServiceName{quickstart.Orders}}},
	}
	require.NoError(t, os.MkdirAll(filepath.Join(de.dir, "contracts"), 0o755))
	writeJSON(t, filepath.Join(de.dir, "fleet.json"), de.fleet)
	writeJSON(t, filepath.Join(de.dir, "contracts", "o.json"), contract)
}

func writeJSON(t *testing.T, path string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	require.NoError(t, err)
	// Renaming makes the write atomic for readers.
	require.NoError(t, os.WriteFile(path+".new", text, 0o600))
	require.NoError(t, os.Rename(path+".new", path))
}

// awaitListener waits until a process listens on an address.
func awaitListener(t *testing.T, address string) {
	t.Helper()
	testkit.Eventually(t, func() bool {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		return nc.Close() == nil
	}, "the process did not listen")
}

func (de *deployment) awaitReady(t *testing.T, ix int) {
	t.Helper()
	testkit.Eventually(t, func() bool {
		response, err := http.Get("http://" + de.operatorAddresses[ix] + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, "the host did not become ready")
}

// streamAll starts streams on the hosts in turn, calls during once every stream
// has started, and returns the responses.
func (de *deployment) streamAll(t *testing.T, requests int, during func()) []testkit.Response {
	t.Helper()
	responses := make([]testkit.Response, requests)
	started := make(chan struct{}, requests)
	var group sync.WaitGroup
	for ix := range responses {
		group.Go(func() { responses[ix] = de.stream(t, ix, started) })
	}
	for range requests {
		<-started
	}
	during()
	group.Wait()
	return responses
}

// stream reads one stream to its end and signals its first event on started.
func (de *deployment) stream(t *testing.T, ix int, started chan<- struct{}) testkit.Response {
	request := testkit.Request(t.Context(), t, de.callerAddresses[ix%hostCount], http.MethodPost, testkit.ChatPath,
		testkit.ChatBody(quickstart.ModelSmall, "q"+strconv.Itoa(ix), true, "60"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		started <- struct{}{}
		return testkit.Response{Err: err}
	}
	defer response.Body.Close()
	var text strings.Builder
	reader := bufio.NewReader(response.Body)
	for first := true; ; first = false {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if first {
			started <- struct{}{}
		}
		if err != nil {
			return testkit.Response{Status: response.StatusCode, Body: text.String()}
		}
	}
}

func requireCompleteStreams(t *testing.T, responses []testkit.Response) {
	t.Helper()
	for _, re := range responses {
		require.NoError(t, re.Err)
		require.Equal(t, http.StatusOK, re.Status)
		require.Len(t, strings.Fields(testkit.StreamContent(t, re.Body)), 60)
	}
}

func TestEngineKillResumesStreams(t *testing.T) {
	t.Parallel()
	de := startDeployment(t)
	requireCompleteStreams(t, de.streamAll(t, 12, func() { de.engines[0].signal(syscall.SIGKILL) }))
}

func TestEngineHangResumesStreams(t *testing.T) {
	t.Parallel()
	de := startDeployment(t)
	requireCompleteStreams(t, de.streamAll(t, 12, func() { de.engines[1].signal(syscall.SIGSTOP) }))
}

func TestHostShutdownDrainsStreams(t *testing.T) {
	t.Parallel()
	de := startDeployment(t)
	requireCompleteStreams(t, de.streamAll(t, 12, func() { de.hosts[0].signal(syscall.SIGTERM) }))
	<-de.hosts[0].exited
	require.Equal(t, 0, de.hosts[0].command.ProcessState.ExitCode())
}

// TestRollingRestartDrainsStreams restarts every host in turn under load.
// Requests go to the ready host, as a load balancer would route them.
func TestRollingRestartDrainsStreams(t *testing.T) {
	t.Parallel()
	de := startDeployment(t)
	stop := make(chan struct{})
	responses := make(chan testkit.Response, 1024)
	var group sync.WaitGroup
	var ready atomic.Int64
	for worker := range 4 {
		group.Go(func() {
			for number := worker; ; number += 4 {
				select {
				case <-stop:
					return
				default:
				}
				responses <- testkit.Post(t, de.callerAddresses[ready.Load()], testkit.ChatPath, testkit.ChatBody(quickstart.ModelSmall, strconv.Itoa(number), true, "60"))
			}
		})
	}
	for ix := range de.hosts {
		ready.Store(int64(1 - ix)) // the load balancer takes the host out of rotation
		de.hosts[ix].signal(syscall.SIGTERM)
		<-de.hosts[ix].exited
		require.Equal(t, 0, de.hosts[ix].command.ProcessState.ExitCode())
		de.startHost(t, ix)
		de.awaitReady(t, ix)
	}
	close(stop)
	group.Wait()
	close(responses)
	var all []testkit.Response
	for re := range responses {
		all = append(all, re)
	}
	require.GreaterOrEqual(t, len(all), 4)
	requireCompleteStreams(t, all)
}

func TestHostsServeWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	de := startDeployment(t)
	de.platform.signal(syscall.SIGKILL)
	<-de.platform.exited
	requireCompleteStreams(t, de.streamAll(t, 4, func() {}))
}

// TestFrozenHostAdoptsLatestConfigurationAfterResume freezes a host while an
// engine is set to draining. The host must not send requests to that engine once
// it has read the change.
func TestFrozenHostAdoptsLatestConfigurationAfterResume(t *testing.T) {
	t.Parallel()
	de := startDeployment(t)
	de.hosts[1].signal(syscall.SIGSTOP)
	de.fleet.Engines[0].State = config.StateDraining
	de.publish(t)
	isDraining := func(ix int) bool {
		re := testkit.Send(t, testkit.Request(t.Context(), t, de.operatorAddresses[ix], http.MethodGet, "/debug/state", ""))
		return strings.Contains(re.Body, `"e0": true`)
	}
	testkit.Eventually(t, func() bool { return isDraining(0) }, "the running host did not adopt the new configuration")
	de.hosts[1].signal(syscall.SIGCONT)
	testkit.Eventually(t, func() bool { return isDraining(1) }, "the resumed host did not adopt the new configuration")
	de.engines[0].signal(syscall.SIGKILL)
	requireCompleteStreams(t, de.streamAll(t, 4, func() {}))
}
