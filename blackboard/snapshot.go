package blackboard

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync/atomic"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// KeyHash is the hash of a bearer key.
type KeyHash [sha256.Size]byte

// Snapshot is an immutable view of the board for requests.
type Snapshot struct {
	Revision   mp.Revision
	DataCentre mp.DataCentreID
	Models     []config.Model
	LiveHosts  int
	Stopping   bool

	fleet     *config.Fleet
	contracts map[keyPrefix][]grant
	engines   map[mp.EngineID]*config.Engine
	services  map[mp.ServiceName]*Service
}

// keyPrefix is the part of a key's hash that finds its contract. The rest is
// compared in constant time.
type keyPrefix [8]byte

type grant struct {
	hash     KeyHash
	contract *config.Contract
}

// Service is a plain service with the replicas that may get new work, the
// nearest first.
type Service struct {
	*config.Service
	Available []config.Replica
}

// NewSnapshot returns the snapshot of a board. The board's configuration must
// be set.
func NewSnapshot(bo *Board) *Snapshot {
	set := bo.Config
	sn := &Snapshot{
		Revision:   set.Revision,
		DataCentre: bo.DataCentre,
		Models:     set.Fleet.Models,
		LiveHosts:  bo.LiveHosts,
		Stopping:   bo.Stopping,
		fleet:      &set.Fleet,
		contracts:  make(map[keyPrefix][]grant, len(set.Contracts)),
		engines:    make(map[mp.EngineID]*config.Engine, len(set.Fleet.Engines)),
		services:   make(map[mp.ServiceName]*Service, len(set.Fleet.Services)),
	}
	for _, co := range set.Contracts {
		sn.addKeys(co)
	}
	for ix := range set.Fleet.Engines {
		en := &set.Fleet.Engines[ix]
		sn.engines[en.Name] = en
	}
	for ix := range set.Fleet.Services {
		se := &set.Fleet.Services[ix]
		sn.services[se.Name] = &Service{Service: se, Available: openReplicas(bo, se)}
	}
	return sn
}

func (sn *Snapshot) addKeys(co *config.Contract) {
	for _, key := range co.Keys {
		var hash KeyHash
		if _, err := hex.Decode(hash[:], []byte(key.SHA256)); err != nil {
			continue // the schema admits hexadecimal digits only
		}
		prefix := prefixOf(hash)
		sn.contracts[prefix] = append(sn.contracts[prefix], grant{hash: hash, contract: co})
	}
}

func prefixOf(hash KeyHash) keyPrefix {
	var prefix keyPrefix
	copy(prefix[:], hash[:])
	return prefix
}

// openReplicas returns the replicas that are not leaving, the nearest first.
func openReplicas(bo *Board, se *config.Service) []config.Replica {
	fleet := &bo.Config.Fleet
	region := fleet.RegionOf(bo.DataCentre)
	var near, regional, remote []config.Replica
	for _, re := range se.Replicas {
		switch {
		case re.State == config.StateLeaving || bo.LeavingServers[string(re.Name)]:
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

// ContractByKey returns the contract of a bearer key.
func (sn *Snapshot) ContractByKey(key string) (*config.Contract, bool) {
	hash := KeyHash(sha256.Sum256([]byte(key)))
	for _, gr := range sn.contracts[prefixOf(hash)] {
		if subtle.ConstantTimeCompare(gr.hash[:], hash[:]) == 1 {
			return gr.contract, true
		}
	}
	return nil, false
}

// Engine returns an engine by its name.
func (sn *Snapshot) Engine(id mp.EngineID) (*config.Engine, bool) {
	en, ok := sn.engines[id]
	return en, ok
}

// Engines returns every engine, in the order of the fleet.
func (sn *Snapshot) Engines() []config.Engine {
	return sn.fleet.Engines
}

// Service returns a plain service by its name.
func (sn *Snapshot) Service(name mp.ServiceName) (*Service, bool) {
	se, ok := sn.services[name]
	return se, ok
}

// Model returns a model by its name.
func (sn *Snapshot) Model(id mp.ModelID) (config.Model, bool) {
	for _, mo := range sn.Models {
		if mo.Name == id {
			return mo, true
		}
	}
	return config.Model{}, false
}

// View is where requests find the newest snapshot.
type View struct {
	current atomic.Pointer[Snapshot]
}

// NewView returns a view without a snapshot.
func NewView() *View {
	return &View{}
}

// Load returns the newest snapshot; nil before the first configuration.
func (vi *View) Load() *Snapshot {
	return vi.current.Load()
}

// Store replaces the snapshot.
func (vi *View) Store(sn *Snapshot) {
	vi.current.Store(sn)
}
