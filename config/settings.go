package config

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// Settings are the settings of one entry host. They come from flags,
// environment variables and a settings file.
type Settings struct {
	// Host names the entry host.
	Host mp.HostID
	// DataCentre is where the host runs.
	DataCentre mp.DataCentreID
	// Listen is the address for callers.
	Listen string
	// OperatorListen is the address for operators.
	OperatorListen string
	// Platform is the address of the platform's configuration service.
	Platform string
	// TLSCert and TLSKey are the files of the callers' listener; empty for
	// plain HTTP.
	TLSCert string
	TLSKey  string
	// LameDuckPeriod is how long a stopping host goes on accepting requests.
	LameDuckPeriod time.Duration
	// DrainTimeout bounds the wait for requests in progress.
	DrainTimeout time.Duration
	// StreamIdleTimeout is how long an engine's stream may send nothing.
	StreamIdleTimeout time.Duration
	// WriteTimeout is the time in which a caller must take one chunk.
	WriteTimeout time.Duration
	// BodyLimit bounds a request's body.
	BodyLimit mp.Bytes
}

// DefaultSettings returns the settings that suit most hosts.
func DefaultSettings() Settings {
	return Settings{
		Listen:            "127.0.0.1:8080",
		OperatorListen:    "127.0.0.1:8081",
		LameDuckPeriod:    2 * time.Second,
		DrainTimeout:      15 * time.Minute,
		StreamIdleTimeout: 3 * time.Second,
		WriteTimeout:      15 * time.Second,
		BodyLimit:         4 * mp.Mebibyte,
	}
}

// Check returns what is wrong with the settings, in one error.
func (se Settings) Check() error {
	var faults []string
	add := func(name string, value any, want string) {
		faults = append(faults, fmt.Sprintf("setting %s is %q; want %s", name, fmt.Sprint(value), want))
	}
	if se.Host == "" {
		add("host", se.Host, "the name of this entry host")
	}
	if se.DataCentre == "" {
		add("data-centre", se.DataCentre, "the data centre of this host, as the fleet names it")
	}
	checkAddress := func(name, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			add(name, value, "an IP number with a port, such as 127.0.0.1:8080")
		}
	}
	checkAddress("listen", se.Listen)
	checkAddress("operator-listen", se.OperatorListen)
	checkAddress("platform", se.Platform)
	if (se.TLSCert == "") != (se.TLSKey == "") {
		add("tls-cert, tls-key", se.TLSCert+", "+se.TLSKey, "both files or neither")
	}
	checkPositive := func(name string, value time.Duration) {
		if value <= 0 {
			add(name, value, "a time span above zero, such as 2s")
		}
	}
	checkPositive("drain-timeout", se.DrainTimeout)
	checkPositive("silence", se.StreamIdleTimeout)
	checkPositive("write-timeout", se.WriteTimeout)
	if se.LameDuckPeriod < 0 {
		add("lame-duck", se.LameDuckPeriod, "a time span, such as 2s or 0s")
	}
	if se.BodyLimit <= 0 {
		add("body-limit", se.BodyLimit, "a number of bytes above zero")
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(faults, "\n"))
}
