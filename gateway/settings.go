// Package gateway serves callers on the platform's machines: it finds the route
// and the organisation of a request, chooses a backend server, sends the request
// and relays the answer.
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
// writes them from a template, in JSON.
type Settings struct {
	// Host names this entry host.
	Host       mp.HostID       `json:"host"`
	DataCentre mp.DataCentreID `json:"data_centre"`
	Region     mp.RegionID     `json:"region"`
	// Regions tells the region of each data centre.
	Regions map[mp.DataCentreID]mp.RegionID `json:"regions"`
	// Callers, Readiness, Peers and Metrics are the addresses to listen on.
	CallerAddress    string `json:"callers"`
	ReadinessAddress string `json:"readiness"`
	PeerAddress      string `json:"peers"`
	MetricsAddress   string `json:"metrics"`
	// LoadAddress is the UDP address for load sheets; all hosts use the same port.
	LoadAddress string `json:"loads"`
	// Seeds are addresses of other hosts; some may be stale.
	Seeds []string `json:"seeds"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"store"`
	// StopTimeout is the time from SIGTERM to SIGKILL.
	StopTimeout mp.Duration `json:"stop_time"`
	// MaxConfigDelay and DrainTime bound how late a change of the configuration and a
	// leaving backend server may come into force.
	MaxConfigDelay mp.Duration `json:"config_time"`
	MaxDrainDelay  mp.Duration `json:"drain_time"`
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all hosts.
	RetryRatio  float64     `json:"retry_ratio"`
	RetryWindow mp.Duration `json:"retry_window"`
	RetrySlack  float64     `json:"retry_slack"`
	// MemoryMB is what the process may use.
	MemoryMB int64 `json:"memory_mb"`
}

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	se, err := DecodeSettings(data)
	return se, errors.Annotatef(err, "settings file %s", path)
}

// DecodeSettings reads and checks settings.
func DecodeSettings(data []byte) (Settings, error) {
	se := Settings{
		StopTimeout:    mp.Duration(defaultStopTime),
		MaxConfigDelay: mp.Duration(defaultConfigTime),
		MaxDrainDelay:  mp.Duration(defaultDrainTime),
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
	defaultRetryRatio  = 0.1
	defaultRetryWindow = 10 * time.Second
	defaultStopTime    = 8 * time.Second
	defaultConfigTime  = 3 * time.Second
	defaultDrainTime   = 3 * time.Second
	// readPart is the part of the shortest bound after which the list is read
	// again: twice that, and a call, still fit.
	readPart = 0.37
)

// readInterval returns the time between two reads of the list of backend servers.
func (se Settings) readInterval() time.Duration {
	return time.Duration(readPart * float64(min(se.MaxConfigDelay, se.MaxDrainDelay)))
}

// Check returns what is wrong with the settings, in one error.
func (se Settings) Check() error {
	var faults []string
	add := func(name string, value any, want string) {
		faults = append(faults, fmt.Sprintf("%s is %q; want %s", name, fmt.Sprint(value), want))
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
	for _, ad := range addresses {
		if _, err := netip.ParseAddrPort(ad.value); err != nil {
			add(ad.name, ad.value, "an IP number with a port, such as 10.0.0.1:8080")
		}
	}
	for ix, seed := range se.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			add(fmt.Sprintf("seeds[%d]", ix), seed, "an IP number with a port")
		}
	}
	if se.RetryRatio < 0 || se.RetryRatio > 1 {
		add("retry_ratio", se.RetryRatio, "a share between 0 and 1")
	}
	if se.RetryWindow <= 0 {
		add("retry_window", se.RetryWindow, "a positive time span")
	}
	for _, span := range []struct {
		name  string
		value mp.Duration
	}{{"stop_time", se.StopTimeout}, {"config_time", se.MaxConfigDelay}, {"drain_time", se.MaxDrainDelay}} {
		if span.value <= 0 {
			add(span.name, span.value, "a positive time span")
		}
	}
	if len(faults) > 0 {
		return errors.NotValidf("settings: %s:", strings.Join(faults, "; "))
	}
	return nil
}
