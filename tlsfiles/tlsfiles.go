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
	return func(fi *Reloader) { fi.clock = clock }
}

// New loads the files. It returns an error if they cannot be read or do not contain a
// matching certificate and key.
func New(certFile, keyFile string, opts ...Option) (*Reloader, error) {
	fi := &Reloader{clock: clockwork.NewRealClock(), certFile: certFile, keyFile: keyFile}
	for _, opt := range opts {
		opt(fi)
	}
	if err := fi.load(); err != nil {
		return nil, errors.Trace(err)
	}
	return fi, nil
}

// Config returns a server configuration that always presents the current certificate,
// with TLS 1.2 as the minimum version.
func (fi *Reloader) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: fi.certificate}
}

// certificate returns the current certificate. If changed files cannot be loaded, it
// keeps the last valid pair.
func (fi *Reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if now := fi.clock.Now(); now.Sub(fi.checkedAt) >= checkInterval {
		fi.checkedAt = now
		if changed, err := fi.readModTimes(); err == nil && changed != fi.modTimes {
			_ = fi.load()
		}
	}
	return fi.current, nil
}

// load reads the files and replaces the current certificate.
func (fi *Reloader) load() error {
	changed, err := fi.readModTimes()
	if err != nil {
		return errors.Trace(err)
	}
	pair, err := tls.LoadX509KeyPair(fi.certFile, fi.keyFile)
	if err != nil {
		return errors.Annotatef(err, "certificate %q with key %q", fi.certFile, fi.keyFile)
	}
	fi.current, fi.modTimes, fi.checkedAt = &pair, changed, fi.clock.Now()
	return nil
}

func (fi *Reloader) readModTimes() (modTimes, error) {
	cert, err := os.Stat(fi.certFile)
	if err != nil {
		return modTimes{}, errors.Trace(err)
	}
	key, err := os.Stat(fi.keyFile)
	if err != nil {
		return modTimes{}, errors.Trace(err)
	}
	return modTimes{cert: cert.ModTime(), key: key.ModTime()}, nil
}
