package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxTransfers is the number of configurations that a host sends at once. Others that
	// ask get none and soon ask a host that has got it: the link of a single one would be
	// shared by all hosts of the data centre, and all would get it late.
	maxTransfers = 4
	// maxTransferTime bounds a transfer as a whole. It leaves time for a configuration
	// of a megabyte, not compressible, on a link of 2 Mbit/s.
	maxTransferTime = 8 * time.Second
)

// TriggerTransfer requests the configuration of a host that is known to have a newer one.
// It does not block, and drops the request if another one is pending.
func (no *Node) TriggerTransfer(remote Address) {
	select {
	case no.newerConfigurations <- remote:
	default:
	}
}

// runTransfers fetches configurations, one at a time. Exchanges go on meanwhile: servers
// that leave must not wait for a large configuration.
func (no *Node) runTransfers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case remote := <-no.newerConfigurations:
			started := no.clock.Now()
			traffic, err := no.transfer(ctx, remote)
			no.recordResult(remote, traffic, no.clock.Since(started), err)
		}
	}
}

// transfer fetches the configuration of a host and merges it, if it is newer. It returns
// what it sent and received.
func (no *Node) transfer(ctx context.Context, remote Address) (Traffic, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	var received Configuration
	traffic, err := no.withConn(ctx, remote, func(conn *jsonrpc2.Conn) error {
		request := ConfigurationRequest{From: no.self, Version: no.delegate.Configuration().Version}
		return conn.Call(ctx, string(MethodConfiguration), request, &received)
	})
	if err != nil {
		return traffic, errors.Trace(err)
	}
	if received.Version > 0 {
		no.delegate.MergeConfiguration(received)
	}
	return traffic, nil
}

// handleTransfer sends the configuration to a host that has an older one, unless too many
// are being sent.
func (no *Node) handleTransfer(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	var request ConfigurationRequest
	if err := json.Unmarshal(*rq.Params, &request); err != nil {
		no.replyError(ctx, conn, rq, jsonrpc2.CodeInvalidParams, "params can't be read")
		return
	}
	select {
	case no.transfers <- struct{}{}:
		defer func() { <-no.transfers }()
	default:
		no.reply(ctx, conn, rq, Configuration{})
		return
	}
	local := no.delegate.Configuration()
	if request.Version >= local.Version {
		local = Configuration{}
	}
	no.reply(ctx, conn, rq, local)
}
