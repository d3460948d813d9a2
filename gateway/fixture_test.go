package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/gateway"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
	"github.com/mangopaddle/mangopaddle/testkit"
)

// testTimeout is how long a test waits for an expected condition.
const testTimeout = 20 * time.Second

// fixture is a gateway with a fake store and backend servers of two services.
type fixture struct {
	t        *testing.T
	store    *fakestore.Store
	settings gateway.Settings
	gateway  *gateway.Gateway
	version  int
	sequence uint64 // of the load updates that the test sends
	logs     *testkit.LogBuffer
	engines  map[string][]string // their IDs, by software version
}

const (
	key               = fakestore.APIKey
	host              = fakestore.Host
	idempotentPath    = fakestore.IdempotentPath
	nonIdempotentPath = fakestore.NonIdempotentPath
	resumablePath     = fakestore.ResumableStreamPath
	nonResumablePath  = fakestore.NonResumableStreamPath
)

// newFixture starts a gateway with a fake store that lists the servers of the two
// services.
func newFixture(t *testing.T, app, engines []*fakeserver.Server, opts ...gateway.Option) *fixture {
	t.Helper()
	return newFixtureWith(t, nil, app, engines, opts...)
}

// newFixtureWith is newFixture with changed settings.
func newFixtureWith(t *testing.T, change func(*gateway.Settings), app, engines []*fakeserver.Server, opts ...gateway.Option) *fixture {
	t.Helper()
	fx := &fixture{t: t, store: fakestore.New(), logs: &testkit.LogBuffer{}, engines: map[string][]string{}}
	storeServer := httptest.NewServer(fx.store)
	t.Cleanup(storeServer.Close)
	fx.settings = gateway.Settings{
		Host: "host-1", DataCentre: "dc-1", Region: "region-1", Regions: map[mp.DataCentreID]mp.RegionID{"dc-1": "region-1"},
		StoreAddress: strings.TrimPrefix(storeServer.URL, "http://"),
		StopTimeout:  mp.Duration(8 * time.Second), MaxConfigDelay: mp.Duration(3 * time.Second), MaxDrainDelay: mp.Duration(10 * time.Second),
		RetryRatio: 1, RetryWindow: mp.Duration(10 * time.Second), RetrySlack: 1000,
	}
	fx.setNewAddresses()
	if change != nil {
		change(&fx.settings)
	}
	for ix, se := range app {
		fx.putServer(fmt.Sprintf("app-%d", ix), "app", se.Address(), "ready")
	}
	for ix, se := range engines {
		fx.putServer(fmt.Sprintf("engine-%d", ix), "engines", se.Address(), "ready")
	}
	fx.store.PutConfiguration(1)
	fx.version = 1
	fx.start(opts...)
	return fx
}

// setNewAddresses gives the next gateway that starts addresses of its own.
func (fx *fixture) setNewAddresses() {
	se := &fx.settings
	se.CallerAddress, se.ReadinessAddress, se.PeerAddress = loopback.Address(), loopback.Address(), loopback.Address()
	se.MetricsAddress, se.LoadAddress = loopback.Address(), loopback.Address()
}

// peerSettings returns the settings of another host of the data centre, which has this one as
// its seed.
func (fx *fixture) peerSettings() gateway.Settings {
	fx.t.Helper()
	other := *fx
	other.setNewAddresses()
	other.settings.Host = mp.HostID("host-" + other.settings.PeerAddress)
	other.settings.LoadAddress = samePort(fx.t, other.settings.PeerAddress, fx.settings.LoadAddress)
	if fx.settings.ForwardAddress != "" {
		other.settings.ForwardAddress = samePort(fx.t, other.settings.PeerAddress, fx.settings.ForwardAddress)
	}
	other.settings.Seeds = []string{fx.settings.PeerAddress}
	return other.settings
}

// samePort returns the IP address of a host with the port of another address.
func samePort(t *testing.T, host, address string) string {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	return net.JoinHostPort(strings.Split(host, ":")[0], port)
}

func (fx *fixture) start(opts ...gateway.Option) { fx.startStoppable(opts...) }

// startStoppable starts a gateway and returns a function that ends it at once, as the end of the
// test does otherwise.
func (fx *fixture) startStoppable(opts ...gateway.Option) func() {
	fx.t.Helper()
	ga, stop, err := gateway.New(fx.settings, append(opts, gateway.WithLogger(zerolog.New(fx.logs)))...)
	require.NoError(fx.t, err)
	stop = sync.OnceFunc(stop)
	fx.t.Cleanup(stop)
	fx.gateway = ga
	fx.eventually(ga.Ready)
	return stop
}

// configure publishes a new configuration and waits until it is in force.
func (fx *fixture) configure(changes ...func(map[string]any)) {
	fx.version++
	fx.store.PutConfiguration(fx.version, changes...)
	fx.eventually(func() bool { return int(fx.gateway.ConfigVersion()) == fx.version })
}

// setResumableRoute sets a field of the resumable route, in a new configuration.
func (fx *fixture) setResumableRoute(name string, value any) {
	fx.configure(func(content map[string]any) {
		content["routes"].([]any)[2].(map[string]any)[name] = value
	})
}

func (fx *fixture) putServer(id, service, address, state string) {
	fx.store.PutServer(id, service, address, state)
}

func (fx *fixture) eventually(condition func() bool) {
	fx.t.Helper()
	require.Eventually(fx.t, condition, testTimeout, 5*time.Millisecond)
}

func startServer(t *testing.T, handler fakeserver.Handler, opts ...fakeserver.Option) *fakeserver.Server {
	t.Helper()
	se, stop, err := fakeserver.New(handler, opts...)
	require.NoError(t, err)
	t.Cleanup(stop)
	return se
}

func respondWith(body string) fakeserver.Handler {
	return func(co *fakeserver.Conn, rq fakeserver.Request) bool {
		co.Respond(rq, http.StatusOK, body)
		return true
	}
}

// clientResponse is a response as the caller receives it.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error // error of the request or of reading the body
}

// send sends one request on a new connection.
func (fx *fixture) send(ctx context.Context, method, path, id, body string, headers ...string) clientResponse {
	fx.t.Helper()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+fx.settings.CallerAddress+path, strings.NewReader(body))
	require.NoError(fx.t, err)
	rq.Host = host
	rq.Header.Set("Request-Id", id)
	rq.Header.Set("Authorization", "Bearer "+key)
	rq.Header.Set("Deadline-Ms", "10000")
	for _, line := range headers {
		name, value, _ := strings.Cut(line, ": ")
		rq.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(rq)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// get sends a request to the idempotent route.
func (fx *fixture) get(id string, headers ...string) clientResponse {
	return fx.send(context.Background(), http.MethodGet, idempotentPath, id, "", headers...)
}

func (fx *fixture) post(path, id, body string, headers ...string) clientResponse {
	return fx.send(context.Background(), http.MethodPost, path, id, body, headers...)
}

// dialRaw opens a connection for requests that the test writes itself.
func (fx *fixture) dialRaw() (net.Conn, *bufio.Reader) {
	fx.t.Helper()
	nc, err := net.Dial("tcp", fx.settings.CallerAddress)
	require.NoError(fx.t, err)
	fx.t.Cleanup(func() { _ = nc.Close() })
	return nc, bufio.NewReader(nc)
}

func requestCount(servers ...*fakeserver.Server) int {
	count := 0
	for _, se := range servers {
		count += len(se.Requests())
	}
	return count
}

// addSoftware starts an engine of each of some software versions.
func (fx *fixture) addSoftware(handler func(software string) fakeserver.Handler, versions ...string) {
	fx.t.Helper()
	for _, software := range versions {
		se := startServer(fx.t, handler(software))
		id := "engine-" + se.Address()
		fx.store.PutServerOf(software, id, "engines", se.Address())
		fx.engines[software] = append(fx.engines[software], id)
	}
}

// removeEngines removes the entries of the engines of a software version.
func (fx *fixture) removeEngines(software string) {
	for _, id := range fx.engines[software] {
		fx.store.DeleteServer(id)
	}
}
