package config

import (
	"sort"
	"strings"

	"github.com/go-json-experiment/json"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
)

// FleetKey is the key of the fleet in a configuration set.
const FleetKey mp.ConfigKey = "fleet"

// enginesPrefix is the key prefix of the engine lists.
const enginesPrefix = "engines/"

// contractPrefix is the key prefix of the contracts.
const contractPrefix = "contracts/"

// ContractKey returns the key of the organisation's contract.
func ContractKey(organisation mp.OrganisationID) mp.ConfigKey {
	return mp.ConfigKey(contractPrefix + string(organisation))
}

// Set is a configuration set: the fleet and all contracts. It is applied atomically.
type Set struct {
	Position  mp.Position `json:"position"`
	Fleet     Fleet       `json:"fleet"`
	Contracts []*Contract `json:"contracts"`

	origins []origin // of Fleet.Engines, in the same order
}

// origin is the position of an engine in the published values.
type origin struct {
	key   mp.ConfigKey
	index int
}

// Decoder decodes and validates configuration sets. It caches decoded values by
// revision, so that a change of one value decodes only that value. It is not safe for
// concurrent use.
type Decoder struct {
	schemas *schemas
	cache   map[mp.ConfigKey]decodedValue
}

// decodedValue is a decoded fleet, contract or engine list with defaults, or its faults.
type decodedValue struct {
	position mp.Position
	fleet    *Fleet
	contract *Contract
	engines  []Engine
	faults   Faults
}

// NewDecoder returns a decoder. It fails only if the built-in schemas are invalid.
func NewDecoder() (*Decoder, error) {
	compiled, err := newSchemas()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Decoder{schemas: compiled, cache: map[mp.ConfigKey]decodedValue{}}, nil
}

// Decode decodes the values into a set with defaults, and returns all faults. Faults
// that the schemas do not find are only looked for if all values match their schemas.
// The set is nil if a fault is not a warning. Values of revision zero are decoded every
// time.
func (de *Decoder) Decode(position mp.Position, values map[mp.ConfigKey]mp.PublishedValue) (*Set, Faults) {
	set := &Set{Position: position}
	var faults Faults
	if _, ok := values[FleetKey]; !ok {
		faults = append(faults, Fault{Key: FleetKey, Problem: "is missing; the set needs one fleet"})
	}
	for _, key := range sortedKeys(values) {
		dv := de.value(key, values[key])
		faults = append(faults, dv.faults...)
		set.add(key, dv)
	}
	de.evictMissing(values)
	if faults.HasErrors() {
		return nil, faults.sorted()
	}
	faults = append(faults, check(set)...)
	if faults.HasErrors() {
		return nil, faults.sorted()
	}
	return set, faults.sorted()
}

// add adds a decoded value to the set. It must not modify the value, which is cached
// and shared between sets.
func (se *Set) add(key mp.ConfigKey, dv decodedValue) {
	engines := dv.engines
	if dv.fleet != nil {
		listed := se.Fleet.Engines
		se.Fleet = *dv.fleet
		se.Fleet.Engines = listed
		engines = dv.fleet.Engines
	}
	for ix := range engines {
		se.Fleet.Engines = append(se.Fleet.Engines, engines[ix])
		se.origins = append(se.origins, origin{key: key, index: ix})
	}
	if dv.contract != nil {
		se.Contracts = append(se.Contracts, dv.contract)
	}
}

// value returns the cached value of a revision, or decodes it.
func (de *Decoder) value(key mp.ConfigKey, value mp.PublishedValue) decodedValue {
	known, ok := de.cache[key]
	if ok && !value.Position.IsZero() && known.position == value.Position {
		return known
	}
	dv := de.decodeValue(key, value.Value)
	dv.position = value.Position
	de.cache[key] = dv
	return dv
}

// evictMissing removes the keys from the cache that the values do not have.
func (de *Decoder) evictMissing(values map[mp.ConfigKey]mp.PublishedValue) {
	for key := range de.cache {
		if _, ok := values[key]; !ok {
			delete(de.cache, key)
		}
	}
}

func (de *Decoder) decodeValue(key mp.ConfigKey, value []byte) decodedValue {
	switch {
	case key == FleetKey:
		return de.decodeFleet(key, value)
	case strings.HasPrefix(string(key), contractPrefix):
		return de.decodeContract(key, value)
	case strings.HasPrefix(string(key), enginesPrefix):
		return de.decodeEngines(key, value)
	default:
		return decodedValue{faults: Faults{{Key: key, Problem: "is not a known key (want \"fleet\", \"engines/NAME\" or \"contracts/NAME\")"}}}
	}
}

func (de *Decoder) decodeFleet(key mp.ConfigKey, value []byte) decodedValue {
	if faults := de.schemas.faults(de.schemas.fleet, key, value); faults != nil {
		return decodedValue{faults: faults}
	}
	fl := &Fleet{}
	if faults := unmarshal(key, value, fl); faults != nil {
		return decodedValue{faults: faults}
	}
	fl.setDefaults()
	return decodedValue{fleet: fl}
}

func (de *Decoder) decodeEngines(key mp.ConfigKey, value []byte) decodedValue {
	if faults := de.schemas.faults(de.schemas.engines, key, value); faults != nil {
		return decodedValue{faults: faults}
	}
	list := &EngineList{}
	if faults := unmarshal(key, value, list); faults != nil {
		return decodedValue{faults: faults}
	}
	setEngineDefaults(list.Engines)
	return decodedValue{engines: list.Engines}
}

func (de *Decoder) decodeContract(key mp.ConfigKey, value []byte) decodedValue {
	if faults := de.schemas.faults(de.schemas.contract, key, value); faults != nil {
		return decodedValue{faults: faults}
	}
	co := &Contract{}
	if faults := unmarshal(key, value, co); faults != nil {
		return decodedValue{faults: faults}
	}
	if key != ContractKey(co.Organisation) {
		problem := "is " + quote(co.Organisation) + " but the key names another organisation"
		return decodedValue{faults: Faults{{Key: key, Path: "/organisation", Problem: problem}}}
	}
	co.setDefaults()
	return decodedValue{contract: co}
}

// unmarshal decodes a JSON value and rejects unknown fields.
func unmarshal(key mp.ConfigKey, value []byte, into any) Faults {
	if err := json.Unmarshal(value, into, json.RejectUnknownMembers(true)); err != nil {
		return Faults{{Key: key, Problem: err.Error()}}
	}
	return nil
}

func sortedKeys(values map[mp.ConfigKey]mp.PublishedValue) []mp.ConfigKey {
	keys := make([]mp.ConfigKey, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a] < keys[b] })
	return keys
}
