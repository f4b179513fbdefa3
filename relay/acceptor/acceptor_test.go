package acceptor

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A connection on which part of a request was read must not be closed as idle: net/http
// reports it as idle until it has read a complete header, and closing it loses the request.
// Data that arrives after the decision to close is discarded.
func TestCloseOnlyIdleConnections(t *testing.T) {
	tests := map[string]struct {
		sent string
		want bool
	}{
		"nothing sent":           {"", true},
		"the start of a request": {"POST /a", false},
		"an incomplete header":   {"POST /a/x HTTP/1.1\r\nHost: kiosk.example\r\n", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			local, remote := net.Pipe()
			defer func() { _ = remote.Close() }()
			c := &callerConn{Conn: local, state: http.StateIdle}
			if tc.sent != "" {
				go func() { _, _ = io.WriteString(remote, tc.sent) }()
				if _, err := io.ReadFull(c, make([]byte, len(tc.sent))); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(tc.want, c.closeIdle(causeIdleTimeout)); diff != "" {
				t.Errorf("closed (-want +got):\n%s", diff)
			}
			if tc.want {
				if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
					t.Errorf("read %d bytes, error %v, from a closed connection", n, err)
				}
			}
		})
	}
}
