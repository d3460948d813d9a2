package blackboard

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync/atomic"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// APIKeyHash is the SHA-256 hash of an API key.
type APIKeyHash [sha256.Size]byte

// Snapshot is an immutable copy of the parts of the board that requests need.
type Snapshot struct {
	// Position is the position of the configuration set.
	Position mp.Position
	// DataCentre is the data centre of this host.
	DataCentre mp.DataCentreID
	// Models are the models that callers can request.
	Models []config.Model
	// LiveHosts is the number of live entry hosts in the data centre.
	LiveHosts int
	// Stopping reports that this host is about to refuse new requests.
	Stopping bool

	fleet     *config.Fleet
	contracts map[hashPrefix][]keyEntry
	engines   map[mp.EngineID]*config.Engine
	services  map[mp.ServiceName]*Service
}

// hashPrefix is the prefix of an API key's hash by which contracts are looked up. The
// whole hash is then compared in constant time, against timing attacks.
type hashPrefix [8]byte

// keyEntry is the hash of an API key with its contract.
type keyEntry struct {
	hash     APIKeyHash
	contract *config.Contract
}

// Service is a plain service with its available replicas.
type Service struct {
	*config.Service
	// Available are the replicas that may get new requests, nearest first.
	Available []config.Replica
}

// NewSnapshot returns a snapshot of a board, whose configuration must not be nil.
func NewSnapshot(bo *Board) *Snapshot {
	set := bo.Config
	sn := &Snapshot{
		Position:   set.Position,
		DataCentre: bo.DataCentre,
		Models:     set.Fleet.Models,
		LiveHosts:  bo.LiveHosts,
		Stopping:   bo.Stopping,
		fleet:      &set.Fleet,
		contracts:  make(map[hashPrefix][]keyEntry, len(set.Contracts)),
		engines:    make(map[mp.EngineID]*config.Engine, len(set.Fleet.Engines)),
		services:   make(map[mp.ServiceName]*Service, len(set.Fleet.Services)),
	}
	for _, co := range set.Contracts {
		sn.indexKeys(co)
	}
	for ix := range set.Fleet.Engines {
		en := &set.Fleet.Engines[ix]
		sn.engines[en.Name] = en
	}
	for ix := range set.Fleet.Services {
		se := &set.Fleet.Services[ix]
		sn.services[se.Name] = &Service{Service: se, Available: availableReplicas(bo, se)}
	}
	return sn
}

func (sn *Snapshot) indexKeys(co *config.Contract) {
	for _, key := range co.Keys {
		var hash APIKeyHash
		if _, err := hex.Decode(hash[:], []byte(key.SHA256)); err != nil {
			continue // the schema allows only hexadecimal digits
		}
		prefix := prefixOf(hash)
		sn.contracts[prefix] = append(sn.contracts[prefix], keyEntry{hash: hash, contract: co})
	}
}

func prefixOf(hash APIKeyHash) hashPrefix {
	var prefix hashPrefix
	copy(prefix[:], hash[:])
	return prefix
}

// availableReplicas returns the replicas that are not draining: first those of the
// data centre, then those of its region, then all others.
func availableReplicas(bo *Board, se *config.Service) []config.Replica {
	fleet := &bo.Config.Fleet
	region := fleet.RegionOf(bo.DataCentre)
	var near, regional, remote []config.Replica
	for _, re := range se.Replicas {
		switch {
		case re.State == config.StateDraining || bo.DrainingServers[string(re.Name)]:
		case re.DataCentre == bo.DataCentre:
			near = append(near, re)
		case fleet.RegionOf(re.DataCentre) == region:
			regional = append(regional, re)
		default:
			remote = append(remote, re)
		}
	}
	return append(append(near, regional...), remote...)
}

// ContractByAPIKey returns the contract with an API key; false if there is none.
func (sn *Snapshot) ContractByAPIKey(key string) (*config.Contract, bool) {
	hash := APIKeyHash(sha256.Sum256([]byte(key)))
	for _, ke := range sn.contracts[prefixOf(hash)] {
		if subtle.ConstantTimeCompare(ke.hash[:], hash[:]) == 1 {
			return ke.contract, true
		}
	}
	return nil, false
}

// Engine returns the engine with a name; false if there is none.
func (sn *Snapshot) Engine(id mp.EngineID) (*config.Engine, bool) {
	en, ok := sn.engines[id]
	return en, ok
}

// Engines returns all engines in the order of the configuration.
func (sn *Snapshot) Engines() []config.Engine {
	return sn.fleet.Engines
}

// Service returns the plain service with a name; false if there is none.
func (sn *Snapshot) Service(name mp.ServiceName) (*Service, bool) {
	se, ok := sn.services[name]
	return se, ok
}

// Model returns the model with a name; false if there is none.
func (sn *Snapshot) Model(id mp.ModelID) (config.Model, bool) {
	for _, mo := range sn.Models {
		if mo.Name == id {
			return mo, true
		}
	}
	return config.Model{}, false
}

// View holds the newest snapshot. It is safe for concurrent use.
type View struct {
	current atomic.Pointer[Snapshot]
}

// NewView returns an empty view.
func NewView() *View {
	return &View{}
}

// Load returns the newest snapshot; nil before the first one.
func (vi *View) Load() *Snapshot {
	return vi.current.Load()
}

// Store replaces the snapshot.
func (vi *View) Store(sn *Snapshot) {
	vi.current.Store(sn)
}
