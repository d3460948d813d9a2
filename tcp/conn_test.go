package tcp_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangopaddle/mangopaddle/tcp"
)

// uploadBytes is more than the buffers of a connection take.
const uploadBytes = 64 << 20

// connect returns both sides of a connection.
func connect(t *testing.T) (*tcp.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	nc, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	peer, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return tcp.New(nc), peer.(*net.TCPConn)
}

// reset ends the peer's side of a connection with a reset.
func reset(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
}

// readAll reads until the end of a connection.
func readAll(t *testing.T, co *tcp.Conn) (string, error) {
	t.Helper()
	require.NoError(t, co.SetReadDeadline(time.Now().Add(20*time.Second)))
	data, err := io.ReadAll(co)
	return string(data), err
}

// TestResetThatAWriteGetsIsNoEnd guards against a reset of which the reader doesn't hear
// because a write got its error: by both ways to write, while the reader waits or before.
func TestResetThatAWriteGetsIsNoEnd(t *testing.T) {
	writes := map[string]func(*tcp.Conn) error{
		"write": func(co *tcp.Conn) error {
			_, err := co.Write(make([]byte, uploadBytes))
			return err
		},
		"read from": func(co *tcp.Conn) error {
			_, err := co.ReadFrom(strings.NewReader(strings.Repeat("x", uploadBytes)))
			return err
		},
	}
	for name, write := range writes {
		t.Run(name, func(t *testing.T) {
			co, peer := connect(t)
			written := make(chan error, 1)
			go func() { written <- write(co) }()
			_, err := peer.Read(make([]byte, 1))
			require.NoError(t, err)
			reset(t, peer)
			_, err = readAll(t, co)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			require.Error(t, <-written)
		})
		t.Run(name+" before the read", func(t *testing.T) {
			co, peer := connect(t)
			written := make(chan error, 1)
			go func() { written <- write(co) }()
			_, err := peer.Write([]byte("part"))
			require.NoError(t, err)
			_, err = io.ReadFull(co, make([]byte, len("part")))
			require.NoError(t, err)
			reset(t, peer)
			require.ErrorIs(t, <-written, syscall.ECONNRESET)
			_, err = readAll(t, co)
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// TestEndDuringAWriteIsAnEnd guards against a peer that has sent everything, reads on, and
// counts as broken.
func TestEndDuringAWriteIsAnEnd(t *testing.T) {
	co, peer := connect(t)
	written := make(chan error, 1)
	go func() {
		_, err := co.Write(make([]byte, uploadBytes))
		written <- err
	}()
	go func() {
		_, _ = peer.Write([]byte("whole"))
		_ = peer.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, peer)
	}()
	data, err := readAll(t, co)
	require.NoError(t, err)
	require.Equal(t, "whole", data)
	require.NoError(t, <-written)
}
