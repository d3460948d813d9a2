package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	// stopTime is the time from SIGTERM to the end.
	stopTime = 8 * time.Second
	// configTime bounds how late a change of the configuration may come into force.
	configTime = 3 * time.Second
	retryRatio = 0.1
	// retrySlack is how many retries all hosts may make beyond the ratio.
	retrySlack   = 60.0
	retryWindow  = 10 * time.Second
	readyTimeout = 300 * time.Millisecond
	peersPort    = "6021"
	metricsPort  = "6022"
	loadsPort    = "6023"
	readyPort    = "6024"
)

// host is an entry host in a process of its own, with a proxy before it and one
// between it and the store.
type host struct {
	name     string
	binary   string
	settings gateway.Settings
	path     string // of the settings
	output   *os.File
	front    *Proxy
	store    *Proxy

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// newHost returns a host that isn't started.
func newHost(name, binary, dir, store string) (*host, func(), error) {
	callers := loopback.Address()
	ip, _, err := net.SplitHostPort(callers)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	storeProxy, stopStore, err := NewProxy(loopback.Address(), store)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	front, stopFront, err := NewProxy(loopback.Address(), callers)
	if err != nil {
		stopStore()
		return nil, nil, errors.Trace(err)
	}
	output, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		stopStore()
		stopFront()
		return nil, nil, errors.Trace(err)
	}
	ho := &host{name: name, binary: binary, path: filepath.Join(dir, name+".json"), output: output, front: front, store: storeProxy}
	ho.settings = gateway.Settings{
		Host: mp.HostID(name), DataCentre: dataCentre, Region: region,
		Regions:       map[mp.DataCentreID]mp.RegionID{dataCentre: region},
		CallerAddress: callers, ReadinessAddress: net.JoinHostPort(ip, readyPort), PeerAddress: net.JoinHostPort(ip, peersPort),
		MetricsAddress: net.JoinHostPort(ip, metricsPort), LoadAddress: net.JoinHostPort(ip, loadsPort), StoreAddress: storeProxy.Address(),
		StopTimeout: mp.Duration(stopTime), MaxConfigDelay: mp.Duration(configTime), MaxDrainDelay: mp.Duration(configTime),
		RetryRatio: retryRatio, RetryWindow: mp.Duration(retryWindow), RetrySlack: retrySlack,
	}
	return ho, func() {
		ho.signal(syscall.SIGCONT)
		ho.signal(syscall.SIGKILL)
		ho.wait()
		stopFront()
		stopStore()
		_ = output.Close()
	}, nil
}

// start starts the process.
func (ho *host) start() error {
	data, err := json.Marshal(ho.settings)
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(ho.path, data, 0o600); err != nil {
		return errors.Trace(err)
	}
	process := exec.Command(ho.binary, "gateway", "--settings", ho.path)
	process.Stdout, process.Stderr = ho.output, ho.output
	if err := process.Start(); err != nil {
		return errors.Annotatef(err, "host %q", ho.name)
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait() // how it ended shows in its log
		close(exited)
	}()
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.process, ho.exited = process, exited
	return nil
}

// signal sends a signal to the process if it was started.
func (ho *host) signal(sig syscall.Signal) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.process != nil {
		_ = ho.process.Process.Signal(sig) // it may have ended
	}
}

// wait returns once the process has ended.
func (ho *host) wait() {
	ho.mu.Lock()
	exited := ho.exited
	ho.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ready asks the host as the balancer does.
func (ho *host) ready(client *http.Client) bool {
	response, err := client.Get("http://" + ho.settings.ReadinessAddress + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
