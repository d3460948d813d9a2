// Package tlsfiles loads a certificate and its key from files and loads them
// again when the files change.
package tlsfiles

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// checkInterval is how often the files are looked at.
const checkInterval = time.Second

// Reloader is a certificate kept in files.
type Reloader struct {
	clock    clockwork.Clock
	certFile string
	keyFile  string

	mu      sync.Mutex
	current *tls.Certificate
	stamp   stamp
	checked time.Time
}

// stamp tells versions of the files apart.
type stamp struct {
	cert, key time.Time
}

// Option changes the files under construction.
type Option func(*Reloader)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(fi *Reloader) { fi.clock = clock }
}

// New loads the files. It fails if they hold no usable pair.
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

// Config returns a configuration for a listener that always serves the newest
// certificate.
func (fi *Reloader) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: fi.certificate}
}

// certificate returns the current certificate. While changed files cannot be
// loaded, the last good pair stays.
func (fi *Reloader) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if now := fi.clock.Now(); now.Sub(fi.checked) >= checkInterval {
		fi.checked = now
		if changed, err := fi.stampOf(); err == nil && changed != fi.stamp {
			_ = fi.load()
		}
	}
	return fi.current, nil
}

func (fi *Reloader) load() error {
	changed, err := fi.stampOf()
	if err != nil {
		return errors.Trace(err)
	}
	pair, err := tls.LoadX509KeyPair(fi.certFile, fi.keyFile)
	if err != nil {
		return errors.Annotatef(err, "certificate %q with key %q", fi.certFile, fi.keyFile)
	}
	fi.current, fi.stamp, fi.checked = &pair, changed, fi.clock.Now()
	return nil
}

func (fi *Reloader) stampOf() (stamp, error) {
	cert, err := os.Stat(fi.certFile)
	if err != nil {
		return stamp{}, errors.Trace(err)
	}
	key, err := os.Stat(fi.keyFile)
	if err != nil {
		return stamp{}, errors.Trace(err)
	}
	return stamp{cert: cert.ModTime(), key: key.ModTime()}, nil
}
