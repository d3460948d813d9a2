// Package http1 refuses responses of HTTP/1.1 servers that net/http accepts although the
// protocol forbids them. Where such a response ends, and what of it is its body, is uncertain.
package http1

import (
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports a response that the protocol forbids. Callers may get its text, which
// calls a response an answer.
const ErrMalformed = errors.ConstError("malformed answer")

// protocolMajor is the first number of the versions that this module speaks.
const protocolMajor = 1

// The status codes of RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns ErrMalformed if a response is malformed. The server may have run the request;
// the connection must be closed, because what follows on it may be part of the response. A
// Scanner finds the faults that don't show in an http.Response.
func Check(response *http.Response) error {
	if response.ProtoMajor != protocolMajor {
		return errors.Annotatef(ErrMalformed, "version %s", response.Proto)
	}
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	return checkFieldNames(response.Header)
}

// checkStatus checks a status code. 101 responds to a request to change the protocol, which
// this module never sends.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Annotatef(ErrMalformed, "status %03d", status)
	}
	return nil
}

// checkFieldNames checks the names of the fields of a header. net/http takes one with a blank
// for a field of its own, so that one such as "Content-Length " is not heeded.
func checkFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Annotatef(ErrMalformed, "field %.40q", name)
		}
	}
	return nil
}

// EndsWithConnection reports whether a response has neither a length nor chunks, so that its
// end can't be told from that of a connection that was cut.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
