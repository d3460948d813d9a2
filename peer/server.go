package peer

import (
	"context"
	"encoding/json"
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

// accept serves incoming connections until the node is stopped.
func (no *Node) accept(ctx context.Context, listener net.Listener) {
	slots := make(chan struct{}, maxConnections)
	for {
		nc, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			no.logger.Error().Str("event", "peer_accept_failed").Err(err).Msg("cannot accept connection")
			no.sleep(ctx, fastGossipInterval)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		go func() {
			defer func() { <-slots }()
			no.serve(ctx, nc)
		}()
	}
}

func (no *Node) serve(ctx context.Context, nc net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, maxConnectionTime)
	defer cancel()
	pc := newIncomingConn(nc, serverStallTimeout, no.largeMessage)
	defer pc.release()
	conn := no.newRPCConn(ctx, pc)
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close()
	}
}

// newRPCConn starts to serve calls on a connection.
func (no *Node) newRPCConn(ctx context.Context, pc *peerConn) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(ctx, pc.objectStream(), no, jsonrpc2.SetLogger(protocolLog{no.logger}))
}

// Handle implements jsonrpc2.Handler.
func (no *Node) Handle(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch {
	case rq.Method == string(MethodExchange) && rq.Params != nil:
		no.handleExchange(ctx, conn, rq)
	case rq.Method == string(MethodConfiguration) && rq.Params != nil:
		no.handleTransfer(ctx, conn, rq)
	case (rq.Method == string(MethodOrigin) || rq.Method == string(methodEarlierOrigin)) && rq.Params != nil:
		no.handleOrigin(ctx, conn, rq)
	default:
		no.replyError(ctx, conn, rq, jsonrpc2.CodeMethodNotFound, "unknown method")
	}
}

// handleExchange merges the state of another host and responds with what that one lacks.
func (no *Node) handleExchange(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	var remote State
	if err := json.Unmarshal(*rq.Params, &remote); err != nil {
		no.replyError(ctx, conn, rq, jsonrpc2.CodeInvalidParams, "params can't be read")
		return
	}
	no.mergeState(no.clock.Now(), remote)
	no.reply(ctx, conn, rq, no.stateFor(remote))
}

func (no *Node) reply(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request, result any) {
	if err := conn.Reply(ctx, rq.ID, result); err != nil {
		no.logger.Debug().Str("event", "peer_reply_failed").Str("method", rq.Method).Err(err).Msg("cannot respond to another host")
	}
}

func (no *Node) replyError(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request, code int64, message string) {
	if err := conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: code, Message: message}); err != nil {
		no.logger.Debug().Str("event", "peer_reply_failed").Str("method", rq.Method).Err(err).Msg("cannot respond to another host")
	}
}
