package caller

import (
	"context"
	"net/http"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/service"
)

// serveService proxies a call to a plain service.
func (se *Server) serveService(ex *exchange) error {
	contract, err := authenticate(ex)
	if err != nil {
		return err
	}
	class, err := requestedClass(ex, contract)
	if err != nil {
		return err
	}
	name := mp.ServiceName(ex.request.PathValue("name"))
	target, ok := ex.snapshot.Service(name)
	if !ok {
		return mp.NewError(mp.KindServiceNotFound, "service %q does not exist", name)
	}
	if !class.AllowsService(name) {
		return mp.NewError(mp.KindClassNotAllowed, "class %q may not call service %q", class.Name, name)
	}
	body, err := se.readBody(ex)
	if err != nil {
		return err
	}
	recorder := se.meter.StartRequest(contract.Organisation, class)
	response, err := se.services.Do(serviceContext(ex, target), target, newServiceCall(ex, body))
	if err != nil {
		recorder.RecordFailed(mp.KindOf(err))
		return err
	}
	recorder.RecordServiceResponse(se.clock.Since(ex.arrival))
	return writeServiceResponse(ex, response)
}

// serviceContext returns the context for a call. A call to a service that is
// not idempotent continues after its caller disconnects, so that the outcome
// does not depend on the connection.
func serviceContext(ex *exchange, target *blackboard.Service) context.Context {
	ctx := ex.request.Context()
	if target.Idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// forwardedRequestHeaders lists the caller's headers that are passed to a
// service.
var forwardedRequestHeaders = []string{"Accept", "Accept-Language", "Content-Type", mp.HeaderIdempotencyKey}

func newServiceCall(ex *exchange, body []byte) service.Call {
	header := http.Header{}
	for _, name := range forwardedRequestHeaders {
		if values := ex.request.Header.Values(name); len(values) > 0 {
			header[http.CanonicalHeaderKey(name)] = values
		}
	}
	header.Set(mp.HeaderRequestID, string(ex.id))
	path := "/" + ex.request.PathValue("path")
	if query := ex.request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	return service.Call{Method: ex.request.Method, Path: path, Header: header, Body: body}
}

// forwardedResponseHeaders lists the service's headers that are passed to the
// caller.
var forwardedResponseHeaders = []string{"Content-Type", "Location", "Etag", "Cache-Control", "Retry-After"}

func writeServiceResponse(ex *exchange, response *service.Response) error {
	for _, name := range forwardedResponseHeaders {
		if value := response.Header.Get(name); value != "" {
			ex.writer.Header().Set(name, value)
		}
	}
	ex.responseStarted = true
	ex.writer.WriteHeader(response.Status)
	if _, err := ex.writer.Write(response.Body); err != nil {
		return mp.WrapError(err, mp.KindCallerGone, "the caller disconnected before the end of the answer")
	}
	return nil
}
