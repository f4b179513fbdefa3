package acceptor

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// A connection on which part of a request was read must not be closed as idle: net/http
// reports it as idle until it has read a complete header, and closing it loses the request.
func TestCloseOnlyIdleConnections(t *testing.T) {
	tests := map[string]struct {
		sent string
		want bool
	}{
		"nothing sent":           {"", true},
		"the start of a request": {"POST /a", false},
		"an incomplete header":   {"POST /a/x HTTP/1.1\r\nHost: kiosk.example\r\n", false},
	}
	ends := map[string]struct {
		idle  sequoiasill.Millis
		drain bool
	}{
		"idle timeout": {50, false},
		"drain":        {sequoiasill.Minute, true},
	}
	for name, tc := range tests {
		for end, e := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				local, remote := net.Pipe()
				defer func() { _ = remote.Close() }()
				l := &pipeListener{conns: make(chan net.Conn, 1)}
				l.conns <- local
				a := serve(t, l, func() sequoiasill.Millis { return e.idle }, func(http.ResponseWriter, *http.Request) {})
				exchangeOnPipe(t, remote)
				_, _ = io.WriteString(remote, tc.sent)
				if e.drain {
					a.Drain()
				}
				_ = remote.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				_, err := remote.Read(make([]byte, 1))
				if diff := cmp.Diff(tc.want, !errors.Is(err, os.ErrDeadlineExceeded)); diff != "" {
					t.Errorf("closed (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// exchangeOnPipe sends a request and reads its response.
func exchangeOnPipe(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, getRequest); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4096)
	if _, err := c.Read(buf); err != nil {
		t.Fatal(err)
	}
}
