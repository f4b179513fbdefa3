package connector_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a preference for upstreams whose connections are in use, expired or closed.
func TestHasIdle(t *testing.T) {
	tests := map[string]struct {
		response string
		want     bool
	}{
		"kept":                      {goodResponse, true},
		"closed by the response":    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood", false},
		"with an idle timeout of 0": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 4\r\n\r\ngood", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for readRequest(r) {
					_, _ = io.WriteString(c, tc.response)
				}
			})
			c, req := newConnector(t), request(u)
			before := c.HasIdle(req.Upstream)
			if _, err := exchange(t, c, req); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]bool{false, tc.want}, []bool{before, c.HasIdle(req.Upstream)}); diff != "" {
				t.Errorf("idle connection before and after (-want +got):\n%s", diff)
			}
			c.CloseIdle(req.Upstream)
			if c.HasIdle(req.Upstream) {
				t.Error("an idle connection after all were closed")
			}
		})
	}
}
