package soak_test

import (
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/loopback"
	"github.com/mangopaddle/mangopaddle/soak"
)

// TestFaultInjectionWithFixedSeeds guards against requests that are lost, executed more
// often than allowed or answered wrongly while faults are active, and against hosts that
// do not recover. A seed that finds a bug is added here, with a note of what it found.
func TestFaultInjectionWithFixedSeeds(t *testing.T) {
	binary := buildBinary(t)
	for _, seed := range []uint64{1, 2} {
		report, err := soak.Run(t.Context(), soak.Plan{
			Binary: binary, Directory: t.TempDir(), Seed: seed, FaultDuration: 3 * time.Second, Hosts: 2, Callers: 6,
		})
		require.NoError(t, err)
		require.Positive(t, report.CompleteResponses)
		require.Empty(t, report.Violations, "seed %d, faults %v", seed, report.Faults)
	}
}

// TestSilentServersBreakNoStream guards against streams that are given up while their
// servers are only silent for a moment.
func TestSilentServersBreakNoStream(t *testing.T) {
	report, err := soak.Run(t.Context(), soak.Plan{
		Binary: buildBinary(t), Directory: t.TempDir(), Seed: 1, Kinds: []string{"service silent"},
		FaultDuration: 6 * time.Second, Hosts: 2, Callers: 24,
	})
	require.NoError(t, err)
	require.Positive(t, report.CompleteResponses)
	require.Empty(t, report.Violations)
}

// TestRestoredStoreHidesNoLeavingServer guards against requests to servers that leave after
// the store has come back from an older copy.
func TestRestoredStoreHidesNoLeavingServer(t *testing.T) {
	report, err := soak.Run(t.Context(), soak.Plan{
		Binary: buildBinary(t), Directory: t.TempDir(), Seed: 1, Kinds: []string{"store restored"},
		FaultDuration: 4 * time.Second, Hosts: 2, Callers: 12,
	})
	require.NoError(t, err)
	require.Positive(t, report.CompleteResponses)
	require.Empty(t, report.Violations)
}

// buildBinary builds the program under test and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "mangopaddle")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../cmd/mangopaddle").CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

// startEchoServer starts a server that sends back all data that it receives, and returns
// its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", loopback.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				_, _ = io.Copy(nc, nc)
				_ = nc.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// TestProxyModes guards against a proxy that loses the data it withheld, or that does not
// drop or reset connections: soak runs would then pass without these faults.
func TestProxyModes(t *testing.T) {
	pr, stop, err := soak.NewProxy(loopback.Address(), startEchoServer(t))
	require.NoError(t, err)
	t.Cleanup(stop)
	nc, err := net.Dial("tcp", pr.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	exchange := func() (string, error) {
		if _, err := nc.Write([]byte("ping")); err != nil {
			return "", err
		}
		received := make([]byte, 4)
		_, err := io.ReadFull(nc, received)
		return string(received), err
	}
	received, err := exchange()
	require.NoError(t, err)
	require.Equal(t, "ping", received)
	for _, mode := range []soak.ProxyMode{soak.Blackhole, soak.ClientToServerOnly} {
		pr.SetMode(mode)
		go pr.SetMode(soak.PassThrough) // delivers the withheld data
		received, err = exchange()
		require.NoError(t, err)
		require.Equal(t, "ping", received)
	}
	pr.DropConnections()
	_, err = exchange()
	require.Error(t, err, "the connection is reset when the client next sends")
	nc, err = net.Dial("tcp", pr.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_, err = exchange()
	require.NoError(t, err, "a new connection works")
	pr.SetMode(soak.Resetting)
	_, err = exchange()
	require.Error(t, err)
	require.ErrorIs(t, dialAndRead(pr.Address()), syscall.ECONNRESET, "new connections are reset too")
}

// dialAndRead opens a connection and reads from it. It returns the error of either: a
// reset may arrive before the dial has read the result of the connect.
func dialAndRead(address string) error {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	_, err = nc.Read(make([]byte, 1))
	return err
}
