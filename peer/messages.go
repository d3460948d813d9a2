// Package peer defines the messages between the entry hosts of a deployment.
// They travel as JSON-RPC 2.0 over long-lived TCP connections.
package peer

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	mp "github.com/mangopaddle/mangopaddle"
)

// Method names a kind of message.
type Method string

// The methods.
const (
	MethodProbe       Method = "member.probe"
	MethodProbeFor    Method = "member.probe_for"
	MethodConfig      Method = "config.changed"
	MethodUse         Method = "share.use"
	MethodFraction    Method = "share.fraction"
	MethodUseTotal    Method = "share.total"
	MethodPlace       Method = "ledger.place"
	MethodSettle      Method = "ledger.settle"
	MethodEngineState Method = "engine.state"
)

// MemberState is what one host believes of another.
type MemberState string

// The states of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// MemberUpdate is a change of a member, carried on probes.
type MemberUpdate struct {
	Host        mp.HostID   `json:"host"`
	Incarnation uint64      `json:"incarnation"`
	State       MemberState `json:"state"`
}

// Probe asks whether a host is there.
type Probe struct {
	From        mp.HostID      `json:"from"`
	Incarnation uint64         `json:"incarnation"`
	Revision    mp.Revision    `json:"revision"`
	Updates     []MemberUpdate `json:"updates,omitempty"`
}

// ProbeFor asks a third host to probe another.
type ProbeFor struct {
	Probe
	Target mp.HostID `json:"target"`
}

// ConfigChange brings the changed values of a revision.
type ConfigChange struct {
	Revision mp.Revision `json:"revision"`
	After    mp.Revision `json:"after"`
	Values   []mp.Value  `json:"values"`
}

// ClassUse is what a host saw of one organisation's class in an interval, in
// tokens.
type ClassUse struct {
	Organisation mp.OrganisationID `json:"organisation"`
	Class        mp.ClassName      `json:"class"`
	Offered      mp.Tokens         `json:"offered"`
	Admitted     mp.Tokens         `json:"admitted"`
}

// Use reports the use of the active classes of one aggregator.
type Use struct {
	From     mp.HostID  `json:"from"`
	Interval uint64     `json:"interval"`
	Classes  []ClassUse `json:"classes"`
}

// ClassFraction is the part of a class's offered use that counts as within its
// share.
type ClassFraction struct {
	Organisation mp.OrganisationID `json:"organisation"`
	Class        mp.ClassName      `json:"class"`
	Fraction     float32           `json:"fraction"`
}

// Fraction answers a Use.
type Fraction struct {
	Interval uint64          `json:"interval"`
	Classes  []ClassFraction `json:"classes"`
}

// Place records the attempt of a call that may not be repeated.
type Place struct {
	Key          string            `json:"key"`
	Organisation mp.OrganisationID `json:"organisation"`
	Service      mp.ServiceName    `json:"service"`
	Request      mp.RequestID      `json:"request"`
}

// Settle records how a placed call ended.
type Settle struct {
	Key     string          `json:"key"`
	Request mp.RequestID    `json:"request"`
	Status  int             `json:"status"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

// EngineState is an engine's load and cache changes, from the host that watches
// it.
type EngineState struct {
	Engine mp.EngineID     `json:"engine"`
	Load   mp.EngineLoad   `json:"load"`
	Cache  []mp.CacheEvent `json:"cache,omitempty"`
}

// Encode returns a message as it travels: a JSON-RPC notification or, with an
// identifier, a request.
func Encode(method Method, id uint64, params any) ([]byte, error) {
	request := jsonrpc2.Request{Method: string(method), ID: jsonrpc2.ID{Num: id}, Notif: id == 0}
	if err := request.SetParams(params); err != nil {
		return nil, errors.Annotatef(err, "message %q", method)
	}
	data, err := request.MarshalJSON()
	return data, errors.Annotatef(err, "message %q", method)
}
