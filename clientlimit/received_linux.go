package clientlimit

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receivedBytes returns how many bytes the peer of a TCP connection has acknowledged. It
// reports whether that is known.
func receivedBytes(nc net.Conn) (uint64, bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return 0, false
	}
	return info.Bytes_acked, true
}
