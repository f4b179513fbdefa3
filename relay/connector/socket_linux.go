package connector

import (
	"net"
	"syscall"

	"sequoiasill.dev/sequoiasill"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux (RFC 5482), which package syscall does not
// define.
const tcpUserTimeout = 0x12

// userTimeoutControl returns a Dialer.Control function that limits how long sent data may stay
// unacknowledged.
func userTimeoutControl(timeout sequoiasill.Millis) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		if err := c.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout))
		}); err != nil {
			return err
		}
		return sockErr
	}
}

// isHealthy reports whether an idle connection is open and has no data to read. Such data
// belongs to no request, and end of file means that the upstream has closed the connection.
func isHealthy(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
