package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// world holds the store, the engines and the gateway's processes of a case.
type world struct {
	dir string
	// store is replaced by moveStore; currentStore returns it.
	store   *store
	engines []*engine
	hosts   []*host
	// model marks the engines as model engines.
	model bool
	// configuration is what the operator wrote last.
	configuration map[string]any
	// handler answers a request at an engine. It returns false to end the connection.
	handler func(en *engine, conn net.Conn, ru run) bool
	// raw replaces handler if it is set: it serves a whole connection.
	raw func(en *engine, conn net.Conn)
	// windowBytes is the receive buffer of the engines' connections; zero for the default.
	windowBytes int

	mu      sync.Mutex
	started time.Time
	record  *os.File
	lines   int
}

// host is an entry host: one process of the gateway.
type host struct {
	name     string
	ip       string
	front    string
	ready    string
	peers    string
	metrics  string
	settings string
	values   map[string]any
	log      *os.File
	process  *exec.Cmd
	done     chan error
}

func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	wo := &world{dir: dir, record: file, started: time.Now()}
	wo.store, err = newStore("127.0.0.1")
	return wo, err
}

// currentStore returns the store that the platform has now.
func (wo *world) currentStore() *store {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.store
}

// moveStore moves the store with all that it holds to another address, ends it at the former one
// and writes the new address into the settings files.
func (wo *world) moveStore() error {
	former := wo.currentStore()
	moved, err := newStore("127.0.0.1")
	if err != nil {
		return err
	}
	former.mu.Lock()
	moved.revision, moved.items, moved.history = former.revision, maps.Clone(former.items), slices.Clone(former.history)
	former.mu.Unlock()
	wo.mu.Lock()
	wo.store = moved
	wo.mu.Unlock()
	for _, ho := range wo.hosts {
		ho.values["store"] = moved.address
		if err := writeFile(ho.settings, ho.values); err != nil {
			return err
		}
	}
	wo.note("the store is at %s now, and no longer at %s", moved.address, former.address)
	return former.server.Close()
}

// note writes a line to the record.
func (wo *world) note(format string, args ...any) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if wo.lines++; wo.lines > 20000 {
		return
	}
	fmt.Fprintf(wo.record, "%8.3f  %s\n", time.Since(wo.started).Seconds(), fmt.Sprintf(format, args...))
}

func (wo *world) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	wo.note(format, args...)
}

// freePort returns a TCP port that is free on an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// prepareHosts writes the settings of a number of entry hosts in one zone, as the template of
// the deploy file has them.
func (wo *world) prepareHosts(count int) error {
	loads, err := freePort("127.0.7.1")
	if err != nil {
		return err
	}
	var peers []string
	for ix := range count {
		ho := &host{name: fmt.Sprintf("edge-z1-%d", ix+1), ip: fmt.Sprintf("127.0.7.%d", ix+1)}
		var addresses [4]string
		for at := range addresses {
			port, err := freePort(ho.ip)
			if err != nil {
				return err
			}
			addresses[at] = fmt.Sprintf("%s:%d", ho.ip, port)
		}
		ho.front, ho.ready, ho.peers, ho.metrics = addresses[0], addresses[1], addresses[2], addresses[3]
		peers = append(peers, ho.peers)
		wo.hosts = append(wo.hosts, ho)
	}
	for _, ho := range wo.hosts {
		ho.settings = filepath.Join(wo.dir, ho.name+".json")
		settings := map[string]any{
			"host": ho.name, "data_centre": "z1", "region": "r1", "regions": map[string]string{"z1": "r1"},
			"callers": ho.front, "readiness": ho.ready, "peers": ho.peers, "metrics": ho.metrics,
			"loads": fmt.Sprintf("%s:%d", ho.ip, loads), "seeds": peers[:min(3, count)], "store": wo.store.address,
			"stop_time": "8s", "config_time": "3000ms", "drain_time": "3000ms",
			"retry_ratio": 0.2, "retry_window": "10s", "retry_slack": 56, "memory_mb": 134,
		}
		ho.values = settings
		if err := writeFile(ho.settings, settings); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// run starts the process of a host.
func (ho *host) run(wo *world) error {
	words := strings.Fields(deployRun)
	ho.process = exec.Command(words[0], words[1:]...)
	ho.process.Env = append(os.Environ(), "MANGOPADDLE_CONFIG="+ho.settings)
	var err error
	if ho.log, err = os.OpenFile(filepath.Join(wo.dir, ho.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	ho.process.Stdout, ho.process.Stderr = ho.log, ho.log
	ho.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := ho.process.Start(); err != nil {
		return err
	}
	ho.done = make(chan error, 1)
	process, done := ho.process, ho.done
	go func() { done <- process.Wait() }()
	wo.note("host %s runs as process %d", ho.name, ho.process.Process.Pid)
	return nil
}

// deployRun is the command of the deploy file.
const deployRun = "target/mangopaddle gateway"

// awaitReady waits until all hosts report that they are ready.
func (wo *world) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, ho := range wo.hosts {
		for !ho.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s isn't ready", ho.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (ho *host) isReady() bool {
	conn, err := net.DialTimeout("tcp", ho.ready, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	data := make([]byte, 12)
	_, _ = conn.Read(data)
	return bytes.Equal(data, []byte("HTTP/1.1 200"))
}

// end kills the hosts and removes what the case wrote outside its folder.
func (wo *world) end() {
	for _, ho := range wo.hosts {
		if ho.process != nil {
			_ = ho.process.Process.Kill()
		}
	}
	for _, ho := range wo.hosts {
		if ho.done != nil {
			select {
			case <-ho.done:
			case <-time.After(5 * time.Second):
			}
		}
	}
	_ = wo.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(wo.dir)
	}
}
