package gateway

import (
	"io"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"github.com/mangopaddle/mangopaddle/backend"
	"github.com/mangopaddle/mangopaddle/placement"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/routing"
)

const (
	// maxBufferedBytes is the largest response body that is buffered before it is
	// relayed to the caller.
	maxBufferedBytes = 256 << 10
	// maxResponseBytes is the largest response body that is relayed. A server may send
	// bytes that are no response, without end.
	maxResponseBytes = 64 << 20
	// initialBufferBytes is the size of a buffer for a response body of unknown length.
	initialBufferBytes = 4 << 10
)

// relay sends the backend server's response to the caller. A misdirected,
// rejected or unsigned response fails the attempt, and so does one to a stream that has
// begun if it is not the rest of the stream.
func (ga *Gateway) relay(re *request, ch placement.Choice, ex *backend.Exchange, recordFirstEvent func(), headers platform.ResponseHeaders) result {
	status := ex.Response.StatusCode
	if ch.Server.IsHost {
		if failed := ga.hostFailure(re, ch, ex, headers); failed != nil {
			return *failed
		}
	}
	switch {
	case headers.Misdirected:
		return result{outcome: placement.Misdirected, err: errors.Errorf("another server has address %s", ch.Server.Address)}
	case headers.NotExecuted:
		_, _ = io.Copy(io.Discard, io.LimitReader(ex.Response.Body, maxBufferedBytes))
		if !re.hedge.acquire() {
			return takenOver()
		}
		ex.FinishRefused(string(re.headers.ID), headers.IdleTimeout)
		return result{outcome: placement.Rejected, err: errors.Errorf("the server did not run the request (status %d)", status)}
	case !headers.Signed:
		return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Errorf("answer with status %d without a signature", status)}
	case re.stream != nil && !re.stream.isContinuedBy(ex.Response):
		return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Errorf("the server answered a resumed stream with status %d, type %q, encoding %q",
			status, ex.Response.Header.Get("Content-Type"), ex.Response.Header.Get("Content-Encoding"))}
	case status == http.StatusOK && re.route.Kind == routing.Stream:
		return ga.relayStream(re, ch, ex, recordFirstEvent, headers)
	default:
		return ga.relayBuffered(re, ch, ex, recordFirstEvent, headers)
	}
}

// relayBuffered reads the whole response before it relays it, so that a request
// whose response is cut off can be retried.
func (ga *Gateway) relayBuffered(re *request, ch placement.Choice, ex *backend.Exchange, recordFirstEvent func(), headers platform.ResponseHeaders) result {
	body, whole, err := re.buffer(ex.Response.Body)
	if whole && err == nil {
		err = ga.checkEnd(re, ch, ex, headers)
	}
	if err != nil {
		return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Annotate(err, "body of the answer")}
	}
	if !re.hedge.acquire() {
		return takenOver()
	}
	if !whole {
		re.hedge.goOn()
		return ga.relayUnbuffered(re, ch, ex, body, headers)
	}
	recordFirstEvent()
	ga.recordProgress(re, true)
	response := &bufferedResponse{
		status: ex.Response.StatusCode,
		header: platform.StripHopByHop(ex.Response.Header),
		body:   body,
		server: ch.Server.ID,
	}
	ex.Finish(headers.IdleTimeout)
	if response.status >= http.StatusInternalServerError && !ch.Server.IsHost {
		re.lastFailure = response
		return result{outcome: placement.Failed, mayHaveRun: true, err: errors.Errorf("the server answered with status %d", response.status)}
	}
	re.hedge.goOn()
	ga.writeResponse(re, response)
	return result{done: true, outcome: placement.Succeeded, mayHaveRun: true}
}

// buffer reads a response body. It reports whether it is whole, and otherwise returns the
// part that may be held: up to maxBufferedBytes, and less if the host has no room.
func (re *request) buffer(body io.Reader) ([]byte, bool, error) {
	buffer := make([]byte, 0, initialBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			size := min(2*cap(buffer), maxBufferedBytes)
			if len(buffer) >= maxBufferedBytes || !re.held.Hold(size) {
				return buffer, false, nil
			}
			buffer = slices.Grow(buffer, size-len(buffer))
		}
		count, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		switch {
		case err == io.EOF:
			return buffer, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// relayUnbuffered relays a response that is too long to be held; head is the part that has
// been read.
func (ga *Gateway) relayUnbuffered(re *request, ch placement.Choice, ex *backend.Exchange, head []byte, headers platform.ResponseHeaders) result {
	for name, values := range platform.StripHopByHop(ex.Response.Header) {
		re.rw.Header()[name] = values
	}
	re.setHostResponse(ch.Server.ID)
	re.rw.WriteHeader(ex.Response.StatusCode)
	_, err := re.rw.Write(head)
	if err == nil {
		_, err = io.Copy(re.rw, io.LimitReader(ex.Response.Body, maxResponseBytes))
	}
	if err == nil && !ex.AtEnd() {
		err = errors.Errorf("body over %d bytes", maxResponseBytes)
	}
	if err == nil {
		err = ga.checkEnd(re, ch, ex, headers)
	}
	ga.recordResponse(re, ch.Server.ID, ex.Response.StatusCode, err)
	if err != nil {
		panic(http.ErrAbortHandler) // aborts the connection, so that the response does not look complete
	}
	return result{done: true, outcome: placement.Succeeded, mayHaveRun: true}
}

// takenOver returns the result of an attempt whose request another server goes on with.
func takenOver() result {
	return result{outcome: placement.Cancelled, mayHaveRun: true, err: errTakenOver}
}
