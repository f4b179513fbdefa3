package acceptor

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// arrivedWait is how long a connection without a descriptor is read for bytes that have arrived.
const arrivedWait = time.Millisecond

// readArrived reads what has arrived on a connection, whatever its read deadline. The error is
// os.ErrDeadlineExceeded if nothing has. A read with a deadline that has passed fails even if there are
// bytes to read.
func readArrived(c net.Conn, p []byte) (int, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		_ = c.SetReadDeadline(time.Now().Add(arrivedWait))
		return c.Read(p)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, readErr := 0, error(nil)
	if err := raw.Read(func(fd uintptr) bool {
		n, readErr = readNow(int(fd), p)
		return true
	}); err != nil {
		return 0, err
	}
	return n, readErr
}

// readNow reads from a non-blocking descriptor.
func readNow(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, os.ErrDeadlineExceeded
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}
