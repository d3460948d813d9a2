// Package gateway implements an entry host of the gateway: a reverse proxy that runs on
// the platform's machines and forwards the requests of callers, which are API clients,
// to backend servers. For each request, it finds the route and the organisation
// (package routing), selects a backend server (placement), forwards the request and
// relays the response (backend), and retries a failed attempt if that is safe and
// within the budget (retry). Package follow replicates the configuration and the list
// of backend servers to the host; package peer shares them, and the hosts' loads, with
// the other hosts of the gateway.
//
// Package host implements the entry host for the router's own API: chat completions
// and calls of plain services, with service levels by contract.
package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// Settings are the settings of a host on the platform's machines. The platform
// generates them from a template, as JSON.
type Settings struct {
	// Host is the name of this host.
	Host mp.HostID `json:"host"`
	// DataCentre and Region are where this host runs.
	DataCentre mp.DataCentreID `json:"data_centre"`
	Region     mp.RegionID     `json:"region"`
	// Regions maps each data centre to its region.
	Regions map[mp.DataCentreID]mp.RegionID `json:"regions"`
	// CallerAddress, ReadinessAddress, PeerAddress and MetricsAddress are the TCP
	// addresses to listen on.
	CallerAddress    string `json:"callers"`
	ReadinessAddress string `json:"readiness"`
	PeerAddress      string `json:"peers"`
	MetricsAddress   string `json:"metrics"`
	// LoadAddress is the UDP address for load updates. All hosts use the same port.
	LoadAddress string `json:"loads"`
	// ForwardAddress is the TCP address for requests that other hosts forward; empty to neither
	// accept nor forward any. All hosts use the same port.
	ForwardAddress string `json:"forwards,omitempty"`
	// Seeds are gossip addresses of other hosts; some may be stale.
	Seeds []string `json:"seeds"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"store"`
	// StopTimeout is the time between SIGTERM and SIGKILL.
	StopTimeout mp.Duration `json:"stop_time"`
	// MaxConfigDelay and MaxDrainDelay bound the time until a configuration change,
	// or the draining of a backend server, takes effect.
	MaxConfigDelay mp.Duration `json:"config_time"`
	MaxDrainDelay  mp.Duration `json:"drain_time"`
	// RetryRatio, RetryWindow and RetrySlack limit the retries of each service over all
	// hosts: in each window at most RetryRatio retries per request, plus RetrySlack.
	RetryRatio  float64     `json:"retry_ratio"`
	RetryWindow mp.Duration `json:"retry_window"`
	RetrySlack  float64     `json:"retry_slack"`
	// ColdOverage is the factor by which the requests of all hosts to a cold server may exceed
	// the rate that it tolerates; zero for the default.
	ColdOverage float64 `json:"cold_overage,omitempty"`
	// MemoryMB is the memory limit of the process in mebibytes; zero for none.
	MemoryMB int64 `json:"memory_mb"`
	// Overflow restricts requests to their data centre, except for the part that pays off
	// elsewhere. If it is nil, only the cost of each request decides.
	Overflow *OverflowSettings `json:"overflow,omitempty"`
}

// ReadSettings reads a settings file and validates it. It returns an error if the file
// cannot be read or the settings are not valid.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	se, err := DecodeSettings(data)
	return se, errors.Annotatef(err, "settings file %s", path)
}

// DecodeSettings decodes settings from JSON and validates them. Unknown fields are
// errors.
func DecodeSettings(data []byte) (Settings, error) {
	se := Settings{
		StopTimeout:    mp.Duration(defaultStopTimeout),
		MaxConfigDelay: mp.Duration(defaultMaxConfigDelay),
		MaxDrainDelay:  mp.Duration(defaultMaxDrainDelay),
		RetryRatio:     defaultRetryRatio,
		RetryWindow:    mp.Duration(defaultRetryWindow),
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&se); err != nil {
		return Settings{}, errors.NewNotValid(err, "settings are not valid")
	}
	return se, se.Check()
}

const (
	defaultRetryRatio     = 0.1
	defaultRetryWindow    = 10 * time.Second
	defaultStopTimeout    = 8 * time.Second
	defaultMaxConfigDelay = 3 * time.Second
	defaultMaxDrainDelay  = 3 * time.Second
	// listIntervalFraction is the interval between list calls for the servers, as a
	// fraction of the shorter delay limit. At 0.37, two intervals and a call to the
	// store still fit into the limit.
	listIntervalFraction = 0.37
	// maxColdOverage is the largest factor that is taken for intended.
	maxColdOverage = 10
)

// listInterval returns the interval between two list calls for the backend servers.
func (se Settings) listInterval() time.Duration {
	return time.Duration(listIntervalFraction * float64(se.maxDelay()))
}

const (
	// bufferRatio is the fraction of the host's memory that responses may hold together. The
	// collector lets garbage grow to as much again.
	bufferRatio = 0.125
	// defaultMemoryMB is assumed if the host's memory is not known.
	defaultMemoryMB = 256
)

// bufferLimit returns how much the host may hold of responses.
func (se Settings) bufferLimit() mp.Bytes {
	memory := se.MemoryMB
	if memory <= 0 {
		memory = defaultMemoryMB
	}
	return mp.Bytes(bufferRatio * float64(memory*int64(mp.Mebibyte)))
}

// maxDelay returns the shorter of the two delay limits.
func (se Settings) maxDelay() time.Duration {
	return min(se.MaxConfigDelay, se.MaxDrainDelay).Std()
}

// Check validates the settings. The error lists all problems found.
func (se Settings) Check() error {
	var problems []string
	add := func(name string, value any, want string) {
		problems = append(problems, fmt.Sprintf("%s is %q; want %s", name, fmt.Sprint(value), want))
	}
	if se.Host == "" {
		add("host", se.Host, "the name of this host")
	}
	addresses := []struct{ name, value string }{
		{"callers", se.CallerAddress},
		{"readiness", se.ReadinessAddress},
		{"peers", se.PeerAddress},
		{"metrics", se.MetricsAddress},
		{"loads", se.LoadAddress},
		{"store", se.StoreAddress},
	}
	if se.ForwardAddress != "" {
		addresses = append(addresses, struct{ name, value string }{"forwards", se.ForwardAddress})
	}
	for _, ad := range addresses {
		if _, err := netip.ParseAddrPort(ad.value); err != nil {
			add(ad.name, ad.value, "an IP address with a port, such as 10.0.0.1:8080")
		}
	}
	if _, err := netip.ParseAddrPort(se.ForwardAddress); err != nil && se.ForwardAddress != "" {
		add("forwards", se.ForwardAddress, "an IP address with a port")
	}
	for ix, seed := range se.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			add(fmt.Sprintf("seeds[%d]", ix), seed, "an IP address with a port")
		}
	}
	se.checkRates(add)
	for _, setting := range []struct {
		name  string
		value mp.Duration
	}{{"retry_window", se.RetryWindow}, {"stop_time", se.StopTimeout}, {"config_time", se.MaxConfigDelay}, {"drain_time", se.MaxDrainDelay}} {
		if setting.value <= 0 {
			add(setting.name, setting.value, "a positive duration")
		}
	}
	if err := se.Overflow.check(); err != nil {
		problems = append(problems, err.Error())
	}
	if len(problems) > 0 {
		return errors.NotValidf("settings: %s:", strings.Join(problems, "; "))
	}
	return nil
}

// checkRates adds the problems of ratios and factors.
func (se Settings) checkRates(add func(name string, value any, want string)) {
	if se.RetryRatio < 0 || se.RetryRatio > 1 {
		add("retry_ratio", se.RetryRatio, "a ratio between 0 and 1")
	}
	if se.ColdOverage != 0 && (se.ColdOverage < 1 || se.ColdOverage > maxColdOverage) {
		add("cold_overage", se.ColdOverage, "a factor between 1 and 10")
	}
}
