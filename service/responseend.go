package service

import (
	"context"
	"io"
	"net/http"
	"syscall"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/http1"
	"github.com/mangopaddle/mangopaddle/tcp"
)

// checkEnd checks a response that has neither a length nor chunks after its replica has closed
// the connection. The system of a replica that crashes closes connections in the same way as a
// replica that has written its whole response; but a crashed one refuses new connections.
// checkEnd then returns an error.
func (cl *Client) checkEnd(ctx context.Context, re config.Replica, response *http.Response) error {
	if !http1.EndsWithConnection(response) {
		return nil
	}
	nc, err := tcp.Probe(ctx, cl.dialer, re.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Annotatef(io.ErrUnexpectedEOF, "replica %q has ended", re.Name)
	}
	if nc != nil {
		_ = nc.Close()
	}
	return nil
}
