package bench

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/peer"
)

func hostName(ix int) mp.HostID {
	return mp.HostID(fmt.Sprintf("utrecht-1-h%03d", ix))
}

// measureMessages encodes every kind of message and fits its size.
func measureMessages(_ context.Context, re *Result) error {
	counts := []int{0, 10, 100, 1000}
	measurements := []struct {
		name, unit string
		build      func(count int) any
	}{
		{ListSizeByHost, "hosts", listWithHosts},
		{ListSizeByServer, "backend servers", listWithServers},
		{ProbeSize, "updates", probe},
		{UseSize, "classes", use},
		{FractionSize, "classes", fraction},
		{EngineStateSize, "cache events", engineState},
	}
	for _, me := range measurements {
		var points []Point
		for _, count := range counts {
			size, err := sizeOf(me.build(count))
			if err != nil {
				return errors.Annotate(err, me.name)
			}
			points = append(points, Point{X: float64(count), Y: size})
		}
		re.addSlope(me.name, me.unit, "bytes", points)
	}
	return measureSingles(re)
}

// message is a peer message under its method.
type message struct {
	method peer.Method
	params any
}

func sizeOf(value any) (float64, error) {
	if me, ok := value.(message); ok {
		data, err := peer.Encode(me.method, 1, me.params)
		return float64(len(data)), errors.Trace(err)
	}
	data, err := json.Marshal(value)
	return float64(len(data)), errors.Trace(err)
}

func listWithHosts(count int) any {
	list := mp.HostList{Hosts: []mp.ListedHost{}, Servers: []mp.ListedServer{}}
	for ix := range count {
		list.Hosts = append(list.Hosts, mp.ListedHost{Name: hostName(ix), Address: "10.100.100.100:7000", DataCentre: "utrecht-1", State: mp.ServerLive})
	}
	return list
}

func listWithServers(count int) any {
	list := mp.HostList{Hosts: []mp.ListedHost{}, Servers: []mp.ListedServer{}}
	for ix := range count {
		list.Servers = append(list.Servers, mp.ListedServer{Name: fmt.Sprintf("utrecht-1-e%03d", ix), State: mp.ServerLive})
	}
	return list
}

func probe(count int) any {
	params := peer.Probe{From: hostName(1), Incarnation: 1_700_000_000, Revision: 1_000_000}
	for ix := range count {
		params.Updates = append(params.Updates, peer.MemberUpdate{Host: hostName(ix), Incarnation: 1_700_000_000, State: peer.MemberSuspect})
	}
	return message{method: peer.MethodProbe, params: params}
}

func use(count int) any {
	params := peer.Use{From: hostName(1), Interval: 800_000_000, Classes: []peer.ClassUse{}}
	for ix := range count {
		params.Classes = append(params.Classes, peer.ClassUse{Organisation: organisationName(ix), Class: className(1), Offered: 12_345, Admitted: 12_345})
	}
	return message{method: peer.MethodUse, params: params}
}

func fraction(count int) any {
	params := peer.Fraction{Interval: 800_000_000, Classes: []peer.ClassFraction{}}
	for ix := range count {
		params.Classes = append(params.Classes, peer.ClassFraction{Organisation: organisationName(ix), Class: className(1), Fraction: 0.8125})
	}
	return message{method: peer.MethodFraction, params: params}
}

func engineState(count int) any {
	params := peer.EngineState{Engine: "utrecht-1-e100", Load: mp.EngineLoad{Running: 200, Waiting: 20, Fencing: 1234}}
	for ix := range count {
		params.Cache = append(params.Cache, mp.CacheEvent{Sequence: uint64(1_000_000 + ix), PrefixID: 1 << 63, Tokens: 2048})
	}
	return message{method: peer.MethodEngineState, params: params}
}

// measureSingles measures the messages of one size, and the codec.
func measureSingles(re *Result) error {
	key := uuid.NewString()
	value := mp.Value{Key: config.ContractKey(organisationName(1)), Revision: 1_000_000, Value: contract(1)}
	singles := []struct {
		name  string
		value any
	}{
		{ChangeSize, mp.Changes{Revision: 1_000_000, Changes: []mp.Change{{Key: value.Key, Revision: value.Revision}}}},
		{ConfigChangeSize, message{method: peer.MethodConfig, params: peer.ConfigChange{Revision: 1_000_000, After: 999_999, Values: []mp.Value{value}}}},
		{PlaceSize, message{method: peer.MethodPlace, params: peer.Place{Key: key, Organisation: organisationName(1), Service: "orders", Request: mp.NewRequestID()}}},
		{SettleSize, message{method: peer.MethodSettle, params: peer.Settle{Key: key, Request: mp.NewRequestID(), Status: 201, Answer: json.RawMessage(`{"number":1,"path":"/confirm"}`)}}},
	}
	for _, si := range singles {
		size, err := sizeOf(si.value)
		if err != nil {
			return errors.Annotate(err, si.name)
		}
		re.addFigure(si.name, size, "bytes")
	}
	return measureCodec(re)
}

// measureCodec measures writing and reading a message by its length.
func measureCodec(re *Result) error {
	const calls = 2000
	var points []Point
	for _, count := range []int{1, 8, 20, 40} {
		me := use(count).(message)
		data, err := peer.Encode(me.method, 1, me.params)
		if err != nil {
			return errors.Trace(err)
		}
		var failed error
		nanoseconds := medianOf(func() float64 {
			return timeOf(calls, func(int) {
				if err := roundTrip(me); err != nil {
					failed = err
				}
			})
		})
		if failed != nil {
			return errors.Trace(failed)
		}
		points = append(points, Point{X: float64(len(data)), Y: nanoseconds})
	}
	re.addSlope(CodecTime, "bytes", "ns", points)
	return nil
}

func roundTrip(me message) error {
	data, err := peer.Encode(me.method, 1, me.params)
	if err != nil {
		return errors.Trace(err)
	}
	var envelope struct {
		Method peer.Method     `json:"method"`
		Params json.RawMessage `json:"params"`
	}
	if err := json.Unmarshal(data, &envelope); err != nil {
		return errors.Trace(err)
	}
	var params peer.Use
	return errors.Trace(json.Unmarshal(envelope.Params, &params))
}
