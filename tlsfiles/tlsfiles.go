// Package tlsfiles loads a TLS certificate and its key from files and reloads them when
// the files change.
package tlsfiles

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// checkInterval is the minimum interval between checks for changed files.
const checkInterval = time.Second

// Reloader holds a certificate and reloads it when its files change.
type Reloader struct {
	clock    clockwork.Clock
	certFile string
	keyFile  string

	mu        sync.Mutex
	current   *tls.Certificate
	modTimes  modTimes
	checkedAt time.Time
}

// modTimes holds the modification times of the files, to detect changes.
type modTimes struct {
	cert, key time.Time
}

// Option configures a Reloader.
type Option func(*Reloader)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock clockwork.Clock) Option {
	return func(re *Reloader) { re.clock = clock }
}

// New loads the files. It returns an error if they cannot be read or do not contain a
// matching certificate and key.
func New(certFile, keyFile string, opts ...Option) (*Reloader, error) {
	re := &Reloader{clock: clockwork.NewRealClock(), certFile: certFile, keyFile: keyFile}
	for _, opt := range opts {
		opt(re)
	}
	if err := re.load(); err != nil {
		return nil, errors.Trace(err)
	}
	return re, nil
}

// Config returns a server configuration that always presents the current certificate,
// with TLS 1.2 as the minimum version.
func (re *Reloader) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: re.certificate}
}

// certificate returns the current certificate, after reloading changed files. It checks
// for changes at most once per checkInterval, and keeps the last valid pair if the files
// cannot be loaded.
func (re *Reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if now := re.clock.Now(); now.Sub(re.checkedAt) >= checkInterval {
		re.checkedAt = now
		if times, err := re.readModTimes(); err == nil && times != re.modTimes {
			_ = re.load()
		}
	}
	return re.current, nil
}

// load reads the files and replaces the current certificate.
func (re *Reloader) load() error {
	times, err := re.readModTimes()
	if err != nil {
		return errors.Trace(err)
	}
	pair, err := tls.LoadX509KeyPair(re.certFile, re.keyFile)
	if err != nil {
		return errors.Annotatef(err, "certificate %q with key %q", re.certFile, re.keyFile)
	}
	re.current, re.modTimes, re.checkedAt = &pair, times, re.clock.Now()
	return nil
}

func (re *Reloader) readModTimes() (modTimes, error) {
	cert, err := os.Stat(re.certFile)
	if err != nil {
		return modTimes{}, errors.Trace(err)
	}
	key, err := os.Stat(re.keyFile)
	if err != nil {
		return modTimes{}, errors.Trace(err)
	}
	return modTimes{cert: cert.ModTime(), key: key.ModTime()}, nil
}
