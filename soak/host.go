package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/gateway"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/platform"
)

const (
	dataCentre = mp.DataCentreID("dc-1")
	region     = mp.RegionID("region-1")
	// stopTimeout is the maximum time from SIGTERM until the process exits.
	stopTimeout = 8 * time.Second
	// maxConfigDelay is the maximum time until a configuration change takes
	// effect.
	maxConfigDelay = 3 * time.Second
	// retryRatio is the number of retries per request that all hosts together may
	// make in each retryWindow, and retrySlack the number beyond this ratio.
	retryRatio            = 0.1
	retrySlack            = 16.0
	retryWindow           = 10 * time.Second
	readinessCheckTimeout = 300 * time.Millisecond
	peerPort              = "6021"
	metricsPort           = "6022"
	loadPort              = "6023"
	readinessPort         = "6024"
	forwardPort           = "6025"
)

// host is a gateway host in a separate process, with one proxy between callers
// and the host and one between the host and the store.
type host struct {
	name         string
	binary       string
	settings     gateway.Settings
	settingsPath string
	output       *os.File
	callerProxy  *Proxy
	storeProxy   *Proxy // between the host and the store

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	isReady bool // the process has been ready since its start, so that it handles signals
}

// newHost returns a host that is not yet started, and a function that kills it
// and closes its proxies.
func newHost(name, binary, directory, storeAddress string) (*host, func(), error) {
	callerAddress := loopback.Address()
	ip, _, err := net.SplitHostPort(callerAddress)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	storeProxy, stopStoreProxy, err := NewProxy(loopback.Address(), storeAddress)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	callerProxy, stopCallerProxy, err := NewProxy(loopback.Address(), callerAddress)
	if err != nil {
		stopStoreProxy()
		return nil, nil, errors.Trace(err)
	}
	output, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		stopStoreProxy()
		stopCallerProxy()
		return nil, nil, errors.Trace(err)
	}
	ho := &host{name: name, binary: binary, settingsPath: filepath.Join(directory, name+".json"), output: output, callerProxy: callerProxy, storeProxy: storeProxy}
	ho.settings = gateway.Settings{
		Host: mp.HostID(name), DataCentre: dataCentre, Region: region,
		Regions:       map[mp.DataCentreID]mp.RegionID{dataCentre: region},
		CallerAddress: callerAddress, ReadinessAddress: net.JoinHostPort(ip, readinessPort), PeerAddress: net.JoinHostPort(ip, peerPort),
		MetricsAddress: net.JoinHostPort(ip, metricsPort), LoadAddress: net.JoinHostPort(ip, loadPort), StoreAddress: storeProxy.Address(),
		ForwardAddress: net.JoinHostPort(ip, forwardPort),
		StopTimeout:    mp.Duration(stopTimeout), MaxConfigDelay: mp.Duration(maxConfigDelay), MaxDrainDelay: mp.Duration(maxConfigDelay),
		RetryRatio: retryRatio, RetryWindow: mp.Duration(retryWindow), RetrySlack: retrySlack,
	}
	return ho, func() {
		ho.signal(syscall.SIGCONT)
		ho.signal(syscall.SIGKILL)
		ho.wait()
		stopCallerProxy()
		stopStoreProxy()
		_ = output.Close()
	}, nil
}

// start writes the settings file and starts the process.
func (ho *host) start() error {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if err := ho.writeSettings(); err != nil {
		return errors.Trace(err)
	}
	process := exec.Command(ho.binary, "gateway", "--settings", ho.settingsPath)
	process.Stdout, process.Stderr = ho.output, ho.output
	if err := process.Start(); err != nil {
		return errors.Annotatef(err, "host %q", ho.name)
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait() // the exit reason is in the host's log
		close(exited)
	}()
	ho.process, ho.exited = process, exited
	return nil
}

// writeSettings writes the settings file. The caller must hold mu.
func (ho *host) writeSettings() error {
	data, err := json.Marshal(ho.settings)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(ho.settingsPath, data, 0o600))
}

// rotateSeeds changes the order of the seeds in the settings file.
func (ho *host) rotateSeeds() error {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.settings.Seeds = append(slices.Clone(ho.settings.Seeds[1:]), ho.settings.Seeds[0])
	return ho.writeSettings()
}

func (ho *host) setReady(isReady bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.isReady = isReady
}

// signalIfReady signals a process that has been ready since its start.
func (ho *host) signalIfReady(sig syscall.Signal) {
	ho.mu.Lock()
	isReady := ho.isReady
	ho.mu.Unlock()
	if isReady {
		ho.signal(sig)
	}
}

// signal sends a signal to the process if it was started.
func (ho *host) signal(sig syscall.Signal) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.process != nil {
		_ = ho.process.Process.Signal(sig) // the process may have exited
	}
}

// wait returns once the process has exited.
func (ho *host) wait() {
	ho.mu.Lock()
	exited := ho.exited
	ho.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ready checks the host's readiness endpoint, as the load balancer does.
func (ho *host) ready(client *http.Client) bool {
	response, err := client.Get("http://" + ho.settings.ReadinessAddress + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
