package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	mp "github.com/mangopaddle/mangopaddle"
)

// MethodOrigin is the method by which a host asks at which software version a stream began: its
// parameters are an OriginRequest and its result is an Origin. Hosts of an earlier release answer
// another method from lists that may be old, and don't know this one.
const MethodOrigin Method = "stream.find_origin"

// methodEarlierOrigin is the same method as hosts of an earlier release call it.
const methodEarlierOrigin Method = "stream.origin"

const (
	// minOriginKeepers is about the least number of hosts of a data centre that keep the origin
	// of a stream, if there are so many.
	minOriginKeepers = 8
	// maxOriginHosts is the number of hosts of each data centre that are asked for it.
	maxOriginHosts = 3
)

// originTimeout bounds a question after the origin of a stream. A caller waits meanwhile.
const originTimeout = 600 * time.Millisecond

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

// check returns a not-valid error if no host sends such a request.
func (rq OriginRequest) check() error {
	if rq.Service == "" || rq.MaxAge <= 0 {
		return errors.NotValidf("question after the origin of a stream of service %q in the last %v", rq.Service, rq.MaxAge.Std())
	}
	return nil
}

// AskOrigin asks the hosts that keep the origin of a stream, all at once, at which software
// version it began. It returns the first answer of a host that knows, and false if none does.
func (no *Node) AskOrigin(ctx context.Context, rq OriginRequest) (mp.SoftwareVersion, bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	no.mu.Lock()
	hosts := no.members.originHosts(no.clock.Now(), rq.Stream)
	no.mu.Unlock()
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
	if err := request.check(); err != nil {
		no.replyError(ctx, conn, rq, jsonrpc2.CodeInvalidParams, err.Error())
		return
	}
	no.reply(ctx, conn, rq, no.delegate.Origin(ctx, request))
}

// originGroups returns into how many groups the hosts of a data centre are divided, a power of
// two. Each group keeps the origins of a part of the streams.
func originGroups(hosts int) uint64 {
	groups := uint64(1)
	for groups*2*minOriginKeepers <= uint64(hosts) {
		groups *= 2
	}
	return groups
}

// keepOrigins returns the hosts of a group.
func keepOrigins(hosts []Address, group, groups uint64) []Address {
	var keepers []Address
	for _, host := range hosts {
		if xxhash.Sum64String(string(host))%groups == group {
			keepers = append(keepers, host)
		}
	}
	return keepers
}

// originGroup returns the group that keeps the origin of a stream.
func originGroup(stream mp.RequestID, groups uint64) uint64 {
	return xxhash.Sum64String(string(stream)) % groups
}

// originHosts returns random hosts of each data centre that keep the origin of a stream.
func (ml *MemberList) originHosts(now time.Time, stream mp.RequestID) []Address {
	var asked []Address
	for dc, hosts := range ml.byDataCentre(now) {
		count := len(hosts)
		if dc == ml.self.DataCentre {
			count++
		}
		groups := originGroups(count)
		keepers := keepOrigins(hosts, originGroup(stream, groups), groups)
		ml.random.Shuffle(len(keepers), func(a, b int) { keepers[a], keepers[b] = keepers[b], keepers[a] })
		asked = append(asked, keepers[:min(len(keepers), maxOriginHosts)]...)
	}
	return asked
}

// sendOrigins tells the hosts that keep them, and one host of each other data centre, which tells
// those there, where streams of this host began.
func (lb *LoadBroadcaster) sendOrigins(peers []Address) {
	contacts := lb.recipients.RemoteContacts()
	if len(peers)+len(contacts) == 0 {
		return
	}
	origins := lb.delegate.Origins(maxOriginBytes)
	if origins == nil {
		return
	}
	update := LoadUpdate{From: lb.self, Host: lb.host, Aggregate: true, Relay: true, Origins: origins}
	lb.write(update, contacts)
	lb.tellKeepers(update, peers)
}

// tellKeepers sends each origin to the hosts among the peers that keep it.
func (lb *LoadBroadcaster) tellKeepers(update LoadUpdate, peers []Address) {
	groups := originGroups(len(peers) + 1)
	parts := update.Origins.Split(func(stream mp.RequestID) uint64 { return originGroup(stream, groups) })
	update.Relay = false
	for group, part := range parts {
		update.Origins = part
		lb.write(update, keepOrigins(peers, group, groups))
	}
}

// receiveOrigins takes the origins that another host tells of. Those of another data centre it
// passes on.
func (lb *LoadBroadcaster) receiveOrigins(update LoadUpdate) {
	if update.Relay {
		lb.tellKeepers(update, lb.recipients.LocalPeers())
	}
	lb.delegate.ReceiveOrigins(update.Origins)
}
