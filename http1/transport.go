package http1

import (
	"net/http"

	"github.com/juju/errors"
)

// Transport is an http.Transport that returns ErrMalformed in place of malformed responses.
// It does not close the connection of one that has no body.
type Transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (tr Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	response, err := tr.Transport.RoundTrip(rq)
	if err != nil {
		return nil, err // unchanged, as the contract of RoundTripper wants it
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.Trace(err)
	}
	return response, nil
}
