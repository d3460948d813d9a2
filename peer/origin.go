package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	mp "github.com/mangopaddle/mangopaddle"
)

// MethodOrigin is the method by which a host asks at which software version a stream began: its
// parameters are an OriginRequest and its result is an Origin.
const MethodOrigin Method = "stream.origin"

// originTimeout bounds a question after the origin of a stream. A caller waits meanwhile.
const originTimeout = 400 * time.Millisecond

// OriginRequest asks at which software version of a service a stream began.
type OriginRequest struct {
	From Member `json:"from"`
	// Stream is the request that brought the first event; empty if the caller hasn't named it.
	Stream  mp.RequestID   `json:"stream,omitempty"`
	Service mp.ServiceName `json:"service"`
	// MaxAge is how long ago the stream can have begun.
	MaxAge mp.Duration `json:"max_age"`
}

// Origin is where a stream began. The software is empty if the host that was asked doesn't know.
type Origin struct {
	Software mp.SoftwareVersion `json:"software,omitempty"`
}

// AskOrigin asks hosts, all at once, at which software version a stream began. It returns the
// first answer of a host that knows, and false if none does.
func (no *Node) AskOrigin(ctx context.Context, hosts []Address, rq OriginRequest) (mp.SoftwareVersion, bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	rq.From = no.self
	origins := make(chan Origin, len(hosts))
	for _, host := range hosts {
		go func() {
			or, err := no.askOrigin(ctx, host, rq)
			if err != nil {
				no.logger.Debug().Str("event", "origin_not_asked").Str("peer", string(host)).Err(err).Msg("cannot ask another host for the origin of a stream")
			}
			origins <- or
		}()
	}
	for range hosts {
		if or := <-origins; or.Software != "" {
			return or.Software, true
		}
	}
	return "", false
}

// askOrigin asks one host.
func (no *Node) askOrigin(ctx context.Context, host Address, rq OriginRequest) (Origin, error) {
	var or Origin
	_, err := no.withConn(ctx, host, func(conn *jsonrpc2.Conn) error {
		return conn.Call(ctx, string(MethodOrigin), rq, &or)
	})
	return or, errors.Trace(err)
}

// handleOrigin tells another host at which software version a stream began.
func (no *Node) handleOrigin(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	var request OriginRequest
	if err := json.Unmarshal(*rq.Params, &request); err != nil {
		no.replyError(ctx, conn, rq, jsonrpc2.CodeInvalidParams, "params can't be read")
		return
	}
	no.reply(ctx, conn, rq, no.delegate.Origin(request))
}
