package config

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// Settings are the settings of an entry host for the router's own API. They are read
// from flags, environment variables and a settings file.
type Settings struct {
	// Host is the identifier of the host.
	Host mp.HostID
	// DataCentre is the data centre of the host.
	DataCentre mp.DataCentreID
	// Listen is the listen address for callers.
	Listen string
	// OperatorListen is the listen address for operators.
	OperatorListen string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// TLSCert and TLSKey are the paths of the certificate and the key for the
	// callers' listener; both are empty for plain HTTP.
	TLSCert string
	TLSKey  string
	// LameDuckPeriod is how long a stopping host continues to accept requests after
	// it reports that it is not ready.
	LameDuckPeriod time.Duration
	// DrainTimeout is the maximum wait for requests in flight when the host stops.
	DrainTimeout time.Duration
	// StreamIdleTimeout is how long an engine may send nothing on a stream before the
	// stream is resumed.
	StreamIdleTimeout time.Duration
	// WriteTimeout is the timeout of a write of one chunk to a caller.
	WriteTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes mp.Bytes
	// MemoryMB is the memory limit of the process in mebibytes; zero for none.
	MemoryMB int64
}

// DefaultSettings returns the default settings. Host, DataCentre and StoreAddress have
// no default.
func DefaultSettings() Settings {
	return Settings{
		Listen:            "127.0.0.1:8080",
		OperatorListen:    "127.0.0.1:8081",
		LameDuckPeriod:    2 * time.Second,
		DrainTimeout:      15 * time.Minute,
		StreamIdleTimeout: 3 * time.Second,
		WriteTimeout:      15 * time.Second,
		MaxBodyBytes:      4 * mp.Mebibyte,
	}
}

// Check validates the settings and returns all problems in one error.
func (se Settings) Check() error {
	var problems []string
	add := func(name string, value any, want string) {
		problems = append(problems, fmt.Sprintf("setting %s is %q; want %s", name, fmt.Sprint(value), want))
	}
	if se.Host == "" {
		add("host", se.Host, "the name of this entry host")
	}
	if se.DataCentre == "" {
		add("data-centre", se.DataCentre, "the data centre of this host, as the fleet names it")
	}
	checkAddress := func(name, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			add(name, value, "an IP address with a port, such as 127.0.0.1:8080")
		}
	}
	checkAddress("listen", se.Listen)
	checkAddress("operator-listen", se.OperatorListen)
	checkAddress("platform", se.StoreAddress)
	if (se.TLSCert == "") != (se.TLSKey == "") {
		add("tls-cert, tls-key", se.TLSCert+", "+se.TLSKey, "both files or neither")
	}
	checkPositive := func(name string, value time.Duration) {
		if value <= 0 {
			add(name, value, "a duration above zero, such as 2s")
		}
	}
	checkPositive("drain-timeout", se.DrainTimeout)
	checkPositive("silence", se.StreamIdleTimeout)
	checkPositive("write-timeout", se.WriteTimeout)
	if se.LameDuckPeriod < 0 {
		add("lame-duck", se.LameDuckPeriod, "a duration that is not negative, such as 2s or 0s")
	}
	if se.MaxBodyBytes <= 0 {
		add("body-limit", se.MaxBodyBytes, "a number of bytes above zero")
	}
	if se.MemoryMB < 0 {
		add("memory-mb", se.MemoryMB, "a number of mebibytes, or 0 for no limit")
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(problems, "\n"))
}
