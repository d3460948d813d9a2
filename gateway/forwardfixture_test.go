package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/gateway"
	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/peer"
	"github.com/mangopaddle/mangopaddle/platform/fakeserver"
)

// forwardPort is the port for forwarded requests, at the IP address of each host.
const forwardPort = "6900"

// forwardAddressOf returns the address for forwarded requests of the host at a gossip address.
func forwardAddressOf(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return net.JoinHostPort(ip, forwardPort)
}

// forwardPlay is a host that is partitioned from the backend servers while it has hosts to
// forward requests to.
type forwardPlay struct {
	*fixture
	hosts atomic.Pointer[[]peer.Address]
}

func newForwardPlay(t *testing.T, app []*fakeserver.Server) *forwardPlay {
	t.Helper()
	fp := &forwardPlay{}
	change := func(se *gateway.Settings) { se.ForwardAddress = forwardAddressOf(se.PeerAddress) }
	fp.fixture = newFixtureWith(t, change, app, nil, gateway.WithForwardPeers(fp.forwardPeers))
	return fp
}

func (fp *forwardPlay) forwardPeers() []peer.Address {
	if hosts := fp.hosts.Load(); hosts != nil {
		return *hosts
	}
	return nil
}

// partition partitions the host. It forwards to the addresses, in their order.
func (fp *forwardPlay) partition(hosts ...string) {
	var addresses []peer.Address
	for _, ho := range hosts {
		addresses = append(addresses, peer.Address(ho))
	}
	fp.hosts.Store(&addresses)
}

// startHost starts another host of the deployment and returns it with a function that ends it.
func (fp *forwardPlay) startHost(opts ...gateway.Option) (*fixture, func()) {
	fp.t.Helper()
	other := *fp.fixture
	other.settings = fp.peerSettings()
	other.settings.ForwardAddress = forwardAddressOf(other.settings.PeerAddress)
	stop := other.startStoppable(opts...)
	return &other, stop
}

// startPartitioned is newForwardPlay with one other host, to which requests are forwarded.
func startPartitioned(t *testing.T, app ...*fakeserver.Server) (*forwardPlay, *fixture) {
	t.Helper()
	fp := newForwardPlay(t, app)
	other, _ := fp.startHost()
	fp.partition(other.settings.PeerAddress)
	return fp, other
}

// startFakeHost starts a server in place of another host, and returns its gossip address and the
// number of its requests.
func startFakeHost(t *testing.T, handler http.HandlerFunc) (string, *atomic.Int64) {
	t.Helper()
	address := loopback.Address()
	listener, err := net.Listen("tcp", forwardAddressOf(address))
	require.NoError(t, err)
	requests := &atomic.Int64{}
	server := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, rq.Body)
		rw.Header().Set("Request-Id", rq.Header.Get("Request-Id"))
		handler(rw, rq)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return address, requests
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuseAs responds as a host that refuses a request.
func refuseAs(status int, kind string, headers ...string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Forward-Attempts", "0")
		rw.Header().Set("Forward-Kind", kind)
		for _, line := range headers {
			name, value, _ := strings.Cut(line, ": ")
			rw.Header().Set(name, value)
		}
		http.Error(rw, kind+": text", status)
	}
}

func requireNoForwardHeaders(t *testing.T, header http.Header) {
	t.Helper()
	for name := range header {
		require.False(t, strings.HasPrefix(name, "Forward-"), name)
	}
}

// sendAsHost sends a request to the listener for hosts from the IP address of a gossip address.
func sendAsHost(t *testing.T, from, to string, headers ...string) (*http.Response, error) {
	t.Helper()
	ip, _, err := net.SplitHostPort(from)
	require.NoError(t, err)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: testTimeout}
	nc, err := dialer.Dial("tcp", forwardAddressOf(to))
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = nc.Close() })
	lines := append([]string{"GET " + idempotentPath + " HTTP/1.1", "Host: " + host, "Request-Id: r-hop", "Authorization: Bearer " + key}, headers...)
	_, _ = io.WriteString(nc, strings.Join(lines, "\r\n")+"\r\n\r\n") // a stranger's connection may be reset
	return http.ReadResponse(bufio.NewReader(nc), nil)
}
