package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/relay/connector"
)

// An upstream that runs is reached again, and the next request uses the connection.
func TestUpstreamOutlivesItsResponse(t *testing.T) {
	u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\ngood")
		}
	})
	c := newConnector(t)
	if _, err := exchange(t, c, request(u)); err != nil {
		t.Fatal(err)
	}
	if err := c.Outlived(context.Background(), "r0", u.address); err != nil {
		t.Fatal(err)
	}
	if _, err := exchange(t, c, request(u)); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(2, u.connections()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// closedPort returns a listener that answers one request and keeps its connection, which it then sends.
func closedPort(t *testing.T) (address string, accepted chan net.Conn, l net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted = make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		if readRequest(r) {
			_, _ = io.WriteString(c, goodResponse)
		}
		accepted <- c
	}()
	return l.Addr().String(), accepted, l
}

func TestUpstreamThatRefusesConnections(t *testing.T) {
	tests := map[string]struct {
		idleOpen bool // an idle connection to the upstream stays open
		want     error
	}{
		"its process has ended":                 {false, syscall.ECONNREFUSED},
		"an open connection shows that it runs": {true, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted, l := closedPort(t)
			c := newConnector(t)
			if _, err := exchange(t, c, connector.Request{Upstream: "r0", Address: address, Method: "GET", Target: "/"}); err != nil {
				t.Fatal(err)
			}
			open := <-accepted
			defer func() { _ = open.Close() }()
			_ = l.Close()
			if !tc.idleOpen {
				_ = open.Close()
			}
			if err := c.Outlived(context.Background(), "r0", address); !errors.Is(err, tc.want) || tc.want == nil && err != nil {
				t.Errorf("error is %v, %v is wanted", err, tc.want)
			}
		})
	}
}

// silentUpstream returns the address of a listener whose backlog is full, so that the kernel drops further
// connects until goOn is called.
func silentUpstream(t *testing.T) (address string, goOn func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	// A full backlog drops further connects.
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address = (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}).String()
	filler, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = filler.Close() })
	return address, func() {
		if err := syscall.Listen(fd, 8); err != nil {
			t.Error(err)
		}
	}
}

// An upstream that cannot be asked for longer than a sound one may be silent may have ended. The check
// ends with the call.
func TestUpstreamThatIsPartitionedMayHaveEnded(t *testing.T) {
	tests := map[string]struct {
		timeout, least, most time.Duration
	}{
		"the call has time left":   {10 * time.Second, 2 * time.Second, 4 * time.Second},
		"the call has little time": {300 * time.Millisecond, 250 * time.Millisecond, time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := silentUpstream(t)
			ctx, cancel := context.WithTimeout(context.Background(), tc.timeout)
			defer cancel()
			began := time.Now()
			if err := newConnector(t).Outlived(ctx, "r0", address); err == nil {
				t.Error("the upstream counts as running")
			}
			if took := time.Since(began); took < tc.least || took > tc.most {
				t.Errorf("the check took %s, %s to %s are wanted", took, tc.least, tc.most)
			}
		})
	}
}

// Guards against LOST: the responses of an upstream whose network was silent for a moment were told as broken off.
func TestUpstreamThatWasSilentOutlivesItsResponse(t *testing.T) {
	const silence = 1800 * time.Millisecond
	address, goOn := silentUpstream(t)
	began := time.Now()
	time.AfterFunc(silence, goOn)
	if err := newConnector(t).Outlived(context.Background(), "r0", address); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > silence+500*time.Millisecond {
		t.Errorf("the check took %s, the upstream was silent for %s", took, silence)
	}
}
