package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheet of boorofferte.
const (
	contactTime = 4 * time.Second
	configTime  = 3 * time.Second
)

var zones = []string{"groningen-1", "utrecht-1", "brabant-1"}

// world is a small deployment: entry hosts, engines, the store and what was recorded.
type world struct {
	trouble bool
	started time.Time
	temp    string
	store   *store
	address string // of the store
	// stopStore ends the store at its first address.
	stopStore func()
	hosts     []*host
	engines   []*engine
	spawn     chan func()
	closing   chan struct{}

	mu     sync.Mutex
	log    *os.File
	events []event
	procs  []*exec.Cmd
	group  sync.WaitGroup
}

// event is what an engine printed.
type event struct {
	at     time.Time
	engine string
	fields []string
}

type host struct {
	name, front, ready string
	settings           map[string]any
	path               string // of the settings file
	process            *os.Process
}

// writeSettings writes the settings file in one step.
func (ho *host) writeSettings() error {
	data, err := json.MarshalIndent(ho.settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(ho.path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(ho.path+".new", ho.path)
}

func newWorld(dir string, trouble bool) (*world, error) {
	log, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	wo := &world{trouble: trouble, started: time.Now(), temp: temp, store: newStore(), log: log, spawn: make(chan func()), closing: make(chan struct{})}
	go func() { // children end with the thread that started them
		runtime.LockOSThread()
		for start := range wo.spawn {
			start()
		}
	}()
	if wo.address, wo.stopStore, err = wo.serveStore(); err != nil {
		return nil, err
	}
	wo.record("trouble %t", trouble)
	return wo, nil
}

// serveStore serves the store at a further address. It returns the address and a function
// that ends that.
func (wo *world) serveStore() (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: wo.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

// record writes a line with the time since the start.
func (wo *world) record(format string, args ...any) { wo.recordAt(time.Now(), format, args...) }

func (wo *world) recordAt(at time.Time, format string, args ...any) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	fmt.Fprintf(wo.log, "%8.3f %s\n", at.Sub(wo.started).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a process that ends with this one.
func (wo *world) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	wo.spawn <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	wo.mu.Lock()
	wo.procs = append(wo.procs, cmd)
	wo.mu.Unlock()
	return nil
}

// close ends all processes that were started.
func (wo *world) close() {
	close(wo.closing)
	wo.mu.Lock()
	procs := append([]*exec.Cmd(nil), wo.procs...)
	wo.mu.Unlock()
	for _, cmd := range procs {
		_ = cmd.Process.Kill()
	}
	wo.group.Wait()
	_ = wo.log.Close()
	if os.Getenv("KEEP") != "" { // the hosts' logs and settings
		fmt.Println("kept", wo.temp)
		return
	}
	_ = os.RemoveAll(wo.temp)
}

// freePorts returns ports that are free on all addresses, for TCP and UDP.
func freePorts(addresses []string, count int) ([]int, error) {
	var found []int
	for try := 0; try < 500 && len(found) < count; try++ {
		port := 20000 + rand.IntN(10000)
		if free(addresses, port) {
			found = append(found, port)
		}
	}
	if len(found) < count {
		return nil, fmt.Errorf("no free ports")
	}
	return found, nil
}

func free(addresses []string, port int) bool {
	for _, ip := range addresses {
		address := fmt.Sprintf("%s:%d", ip, port)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}

// roleCommand returns the command of the role edge in the deploy file.
func roleCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	_, role, _ := strings.Cut(string(data), "[roles.edge]")
	match := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindStringSubmatch(role)
	if match == nil {
		return nil, fmt.Errorf("no command of the role edge in the deploy file")
	}
	return strings.Fields(match[1]), nil
}

// startHosts starts a number of entry hosts, in the zones in turn, and waits until all are
// ready.
func (wo *world) startHosts(count int) error {
	command, err := roleCommand()
	if err != nil {
		return err
	}
	net3 := 1 + rand.IntN(250)
	var addresses, seeds []string
	for ix := range count {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d", 20+ix%len(zones), net3, 10+ix))
	}
	ports, err := freePorts(addresses, 5)
	if err != nil {
		return err
	}
	for ix := range min(3, count) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", addresses[ix], ports[2]))
	}
	for ix, ip := range addresses {
		ho := &host{
			name:  fmt.Sprintf("edge-%s-%d", zones[ix%len(zones)], 1+ix/len(zones)),
			front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		}
		// The fields of deploy/settings.json.tmpl, with the bounds of the sheet.
		ho.settings = map[string]any{
			"host": ho.name, "data_centre": zones[ix%len(zones)], "region": strings.TrimSuffix(zones[ix%len(zones)], "-1"),
			"regions": map[string]string{"groningen-1": "groningen", "utrecht-1": "utrecht", "brabant-1": "brabant"},
			"callers": ho.front, "readiness": ho.ready, "peers": fmt.Sprintf("%s:%d", ip, ports[2]),
			"metrics": fmt.Sprintf("%s:%d", ip, ports[3]), "loads": fmt.Sprintf("%s:%d", ip, ports[4]),
			"seeds": seeds, "store": wo.address, "stop_time": "8s", "config_time": "3000ms", "drain_time": "3000ms",
			"retry_ratio": 0.2, "retry_window": "10s", "retry_slack": 56, "memory_mb": 134,
		}
		ho.path = filepath.Join(wo.temp, ho.name+".json")
		if err := ho.writeSettings(); err != nil {
			return err
		}
		output, err := os.Create(filepath.Join(wo.temp, ho.name+".log"))
		if err != nil {
			return err
		}
		cmd := exec.Command(command[0], command[1:]...)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOPADDLE_CONFIG=" + ho.path}
		cmd.Stdout, cmd.Stderr = output, output
		if err := wo.start(cmd); err != nil {
			return err
		}
		wo.group.Go(func() {
			err := cmd.Wait()
			select {
			case <-wo.closing:
			default:
				wo.record("host %s ended by itself: %v", ho.name, err)
			}
		})
		ho.process = cmd.Process
		wo.hosts = append(wo.hosts, ho)
	}
	for _, ho := range wo.hosts {
		if err := awaitReady(ho); err != nil {
			return err
		}
		wo.record("host %s ready", ho.name)
	}
	return nil
}

func awaitReady(ho *host) error {
	client := http.Client{Timeout: time.Second}
	for range 200 {
		if response, err := client.Get("http://" + ho.ready + "/v1/readyz"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("host %s is not ready", ho.name)
}

// engine is one engine at an address. It may run several times, one after the other.
type engine struct {
	id, service, address, zone string
	slots                      int
	args                       []string

	mu    sync.Mutex
	cmd   *exec.Cmd
	born  int64
	count int64
}

// entry is what the engine writes to the store.
func (en *engine) entry() map[string]any {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.count++
	entry := map[string]any{
		"service": en.service, "address": en.address, "zone": en.zone, "version": "v1", "slots": en.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": en.count, "born": en.born,
	}
	if en.service == engineService {
		entry["stage"], entry["models"] = "both", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return entry
}

const (
	heartbeat = 1200 * time.Millisecond
	// lapseAfter is when the entry of a silent engine is removed.
	lapseAfter = 3 * heartbeat
)

// startEngine starts an engine. It is started again under its ID a time after it has
// ended; zero for never.
func (wo *world) startEngine(service, zone string, slots int, again time.Duration, args ...string) (*engine, error) {
	ports, err := freePorts([]string{"127.0.0.1"}, 1)
	if err != nil {
		return nil, err
	}
	en := &engine{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: slots,
		address: fmt.Sprintf("127.0.0.1:%d", ports[0]), args: args,
	}
	if err := wo.launch(en, again); err != nil {
		return nil, err
	}
	wo.engines = append(wo.engines, en)
	return en, nil
}

// launch starts the process of an engine and writes its entry as long as it runs.
func (wo *world) launch(en *engine, again time.Duration) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, append([]string{"engine", "--id", en.id, "--listen", en.address}, en.args...)...)
	output, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := wo.start(cmd); err != nil {
		return err
	}
	scanner := bufio.NewScanner(output)
	if !scanner.Scan() || scanner.Text() != "listening" {
		return fmt.Errorf("engine %s doesn't start: %s", en.id, scanner.Text())
	}
	en.mu.Lock()
	en.cmd, en.born, en.count = cmd, time.Now().UnixMilli(), 0
	en.mu.Unlock()
	wo.store.put("servers/"+en.id, en.entry())
	wo.record("engine %s of %s starts at %s", en.id, en.service, en.address)
	ended := make(chan struct{})
	wo.group.Go(func() {
		for scanner.Scan() {
			wo.observe(en, scanner.Text())
		}
		_ = cmd.Wait()
		wo.record("engine %s has ended", en.id)
		close(ended)
	})
	wo.group.Go(func() {
		for {
			select {
			case <-wo.closing:
				return
			case <-time.After(heartbeat):
				select {
				case <-ended:
				default:
					wo.store.beat("servers/"+en.id, en.entry())
				}
			case <-ended:
				wo.restart(en, again)
				return
			}
		}
	})
	return nil
}

// restart starts an engine again after a time. Its entry lapses if that is late.
func (wo *world) restart(en *engine, again time.Duration) {
	wait := func(after time.Duration) bool {
		select {
		case <-wo.closing:
			return false
		case <-time.After(after):
			return true
		}
	}
	if again == 0 || again > lapseAfter {
		if wait(lapseAfter) {
			wo.store.remove("servers/" + en.id)
			wo.record("entry of engine %s has lapsed", en.id)
		}
		if again == 0 || !wait(again-lapseAfter) {
			return
		}
	} else if !wait(again) {
		return
	}
	if err := wo.launch(en, again); err != nil {
		wo.record("engine %s does not start again: %v", en.id, err)
	}
}

// observe records what an engine printed.
func (wo *world) observe(en *engine, line string) {
	now := time.Now()
	wo.recordAt(now, "engine %s: %s", en.id, line)
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.events = append(wo.events, event{at: now, engine: en.id, fields: strings.Fields(line)})
}

// observed returns what engines have printed with a first word.
func (wo *world) observed(word string) []event {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var found []event
	for _, ev := range wo.events {
		if len(ev.fields) > 0 && ev.fields[0] == word {
			found = append(found, ev)
		}
	}
	return found
}

// crash kills an engine.
func (wo *world) crash(en *engine) {
	en.mu.Lock()
	defer en.mu.Unlock()
	wo.record("engine %s is killed", en.id)
	_ = en.cmd.Process.Kill()
}

// field returns the value of NAME=VALUE in what an engine printed.
func (ev event) field(name string) string {
	for _, field := range ev.fields {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			return value
		}
	}
	return ""
}
