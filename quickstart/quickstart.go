// Package quickstart runs a complete deployment in one process: an entry host
// with fake engines for two models, a fake plain service and a fake of the
// platform's store. The quickstart command, tests and benchmarks use it.
package quickstart

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/fakeengine"
	"github.com/mangopaddle/mangopaddle/fakeservice"
	"github.com/mangopaddle/mangopaddle/host"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
)

// APIKey is the API key of the deployment's only organisation.
const APIKey = "quickstart-key"

// APIKeyHash returns the hexadecimal SHA-256 hash of APIKey, in the form
// that contracts store.
func APIKeyHash() string {
	hash := sha256.Sum256([]byte(APIKey))
	return hex.EncodeToString(hash[:])
}

// Names used in the deployment.
const (
	Organisation mp.OrganisationID = "quickstart"
	DataCentre   mp.DataCentreID   = "local-1"
	ModelSmall   mp.ModelID        = "model-small"
	ModelLarge   mp.ModelID        = "model-large"
	Orders       mp.ServiceName    = "orders"
	Interactive  mp.ClassName      = "interactive"
	Batch        mp.ClassName      = "batch"
)

const (
	enginesPerModel = 2
	anyLoopbackPort = "127.0.0.1:0"
)

// Deployment is a running deployment.
type Deployment struct {
	Host    *host.Host
	Engines map[mp.EngineID]*fakeengine.Engine
	Orders  *fakeservice.Service
	Store   *fakestore.Store
	// Fleet is the fleet configuration that Publish publishes.
	Fleet config.Fleet

	published     map[mp.ConfigKey]json.RawMessage // values of the last published revision
	settings      config.Settings
	logger        zerolog.Logger
	engineOptions []fakeengine.Option
	contract      *config.Contract
	cleanups      []func()
}

// Option configures a Deployment.
type Option func(*Deployment)

// WithSettings modifies the settings of the host.
func WithSettings(change func(*config.Settings)) Option {
	return func(de *Deployment) { change(&de.settings) }
}

// WithLogger sets the logger of the host; the default discards all lines.
func WithLogger(logger zerolog.Logger) Option {
	return func(de *Deployment) { de.logger = logger }
}

// WithEngineOptions adds options for the fake engines.
func WithEngineOptions(opts ...fakeengine.Option) Option {
	return func(de *Deployment) { de.engineOptions = append(de.engineOptions, opts...) }
}

// WithContract modifies the contract of the organisation.
func WithContract(change func(*config.Contract)) Option {
	return func(de *Deployment) { change(de.contract) }
}

// New starts a deployment and returns it with a function that stops it. It
// returns an error if a part cannot be started or the host is not ready within
// 10 s.
func New(opts ...Option) (*Deployment, func(), error) {
	de := &Deployment{
		Engines:   map[mp.EngineID]*fakeengine.Engine{},
		Orders:    fakeservice.New(),
		Store:     fakestore.New(),
		published: map[mp.ConfigKey]json.RawMessage{},
		settings:  config.DefaultSettings(),
		logger:    zerolog.Nop(),
		contract:  defaultContract(),
	}
	de.settings.Host = "quickstart-1"
	de.settings.DataCentre = DataCentre
	de.settings.Listen = anyLoopbackPort
	de.settings.OperatorListen = anyLoopbackPort
	de.settings.LameDuckPeriod = 0 // there is no load balancer that has to notice the shutdown
	for _, opt := range opts {
		opt(de)
	}
	if err := de.start(); err != nil {
		de.close()
		return nil, nil, errors.Trace(err)
	}
	return de, de.close, nil
}

func (de *Deployment) start() error {
	de.Fleet = config.Fleet{
		Regions: []config.Region{{Name: "local", DataCentres: []mp.DataCentreID{DataCentre}}},
		Models:  []config.Model{{Name: ModelSmall}, {Name: ModelLarge}},
	}
	for _, model := range []mp.ModelID{ModelSmall, ModelLarge} {
		for ix := range enginesPerModel {
			if err := de.addEngine(model, ix); err != nil {
				return errors.Trace(err)
			}
		}
	}
	if err := de.addOrdersService(); err != nil {
		return errors.Trace(err)
	}
	if err := de.Publish(); err != nil {
		return errors.Trace(err)
	}
	address, err := de.Serve(de.Store)
	if err != nil {
		return errors.Trace(err)
	}
	de.settings.StoreAddress = address
	ho, stop, err := host.New(de.settings, host.WithLogger(de.logger))
	if err != nil {
		return errors.Trace(err)
	}
	de.Host = ho
	de.cleanups = append(de.cleanups, stop)
	return de.awaitReady()
}

func (de *Deployment) addEngine(model mp.ModelID, number int) error {
	id := mp.EngineID(string(model) + "-" + string(rune('a'+number)))
	options := append([]fakeengine.Option{fakeengine.WithModels(model)}, de.engineOptions...)
	en, stop := fakeengine.New(options...)
	de.cleanups = append(de.cleanups, stop)
	address, err := de.Serve(en.Handler())
	if err != nil {
		return errors.Trace(err)
	}
	de.Engines[id] = en
	de.Fleet.Engines = append(de.Fleet.Engines, config.Engine{
		Name: id, Address: address, DataCentre: DataCentre, Models: []mp.ModelID{model},
	})
	return nil
}

func (de *Deployment) addOrdersService() error {
	address, err := de.Serve(de.Orders.Handler())
	if err != nil {
		return errors.Trace(err)
	}
	de.Fleet.Services = []config.Service{{
		Name:     Orders,
		Replicas: []config.Replica{{Name: "orders-1", Address: address, DataCentre: DataCentre}},
		Timeout:  mp.Duration(5 * time.Second),
	}}
	return nil
}

func defaultContract() *config.Contract {
	return &config.Contract{
		Organisation: Organisation,
		Keys:         []config.APIKey{{Name: "first", SHA256: APIKeyHash()}},
		DefaultClass: Interactive,
		Classes: []config.Class{
			{Name: Interactive, Tier: 0, Models: []mp.ModelID{config.AnyModel}, Services: []mp.ServiceName{Orders}, Share: config.Share{PromisedTokensPerSecond: 500}},
			{Name: Batch, Tier: 3, Models: []mp.ModelID{config.AnyModel}, MaxWait: mp.Duration(time.Minute), Share: config.Share{PromisedTokensPerSecond: 100}},
		},
	}
}

// Publish publishes the fleet and the contract as a new revision.
func (de *Deployment) Publish() error {
	fleet, err := json.Marshal(de.Fleet)
	if err != nil {
		return errors.Trace(err)
	}
	contract, err := json.Marshal(de.contract)
	if err != nil {
		return errors.Trace(err)
	}
	return de.PublishChanges(map[mp.ConfigKey][]byte{
		config.FleetKey:                  fleet,
		config.ContractKey(Organisation): contract,
	})
}

// PublishChanges publishes changed values as one revision; a nil value deletes
// its key.
func (de *Deployment) PublishChanges(changed map[mp.ConfigKey][]byte) error {
	for key, value := range changed {
		if value == nil {
			delete(de.published, key)
			continue
		}
		de.published[key] = value
	}
	set, err := platform.EncodeConfigSet(de.published)
	if err != nil {
		return errors.Trace(err)
	}
	de.Store.Put(string(platform.ConfigSetKey), set)
	return nil
}

// Serve runs an HTTP server on a free loopback port until the deployment stops,
// and returns its address.
func (de *Deployment) Serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	de.cleanups = append(de.cleanups, func() {
		_ = server.Close()
		<-done
	})
	return listener.Addr().String(), nil
}

const (
	readyPollInterval = 5 * time.Millisecond
	readyTimeout      = 10 * time.Second
)

func (de *Deployment) awaitReady() error {
	for waited := time.Duration(0); waited < readyTimeout; waited += readyPollInterval {
		if de.Host.Ready() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Timeoutf("host readiness")
}

func (de *Deployment) close() {
	for ix := len(de.cleanups) - 1; ix >= 0; ix-- {
		de.cleanups[ix]()
	}
	de.cleanups = nil
}
