package tcp

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// probeTime is how long a probe watches the connection that it has opened. The system of a
	// process that ends may accept one before it closes the port, which resets the connection.
	probeTime = 20 * time.Millisecond
	// maxProbes is the number of connections that a probe opens if the server closes each: a
	// server that has too many does so too.
	maxProbes = 3
)

// Probe finds out whether a server accepts connections. It returns one that the server leaves
// open, and nil if it closes each. It returns an error if it can't connect; if the process of
// the server has ended while its host runs, that is ECONNREFUSED.
func Probe(ctx context.Context, dialer *net.Dialer, address string) (net.Conn, error) {
	for range maxProbes {
		nc, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case errors.Is(err, syscall.ECONNRESET):
			continue
		case err != nil:
			return nil, errors.Trace(err)
		case staysOpen(nc):
			return nc, nil
		}
		_ = nc.Close()
	}
	return nil, nil
}

// staysOpen reports whether the peer leaves a new connection open for probeTime, and sends
// nothing.
func staysOpen(nc net.Conn) bool {
	_ = nc.SetReadDeadline(time.Now().Add(probeTime)) // fails if the connection is closed
	_, err := nc.Read(make([]byte, 1))
	_ = nc.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}
