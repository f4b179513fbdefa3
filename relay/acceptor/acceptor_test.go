package acceptor

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Bytes that come in after the decision to close are dropped, and a connection on
// which a request stands is not closed (seen as LOST on trouble-2: net/http takes a
// kept connection for idle until it has read a whole header).
func TestCloseOnlyIdleConnections(t *testing.T) {
	tests := map[string]struct {
		sent string
		want bool
	}{
		"nothing sent":            {"", true},
		"the start of a request":  {"POST /a", false},
		"a request without a end": {"POST /a/x HTTP/1.1\r\nHost: kiosk.example\r\n", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			c := &callerConn{Conn: near, state: http.StateIdle}
			if tc.sent != "" {
				go func() { _, _ = io.WriteString(far, tc.sent) }()
				if _, err := io.ReadFull(c, make([]byte, len(tc.sent))); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(tc.want, c.closeIdle()); diff != "" {
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
