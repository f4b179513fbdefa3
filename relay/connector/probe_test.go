package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/relay/connector"
)

// Guards against probes that are sent though they may not be, and against a header that is not passed
// on.
func TestProbeIf(t *testing.T) {
	u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nCold-Start-Ms: 1700\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := newConnector(t)
	var seen []string
	probe := func(allowed bool) error {
		return c.ProbeIf(context.Background(), "u", request(u).Address, "/healthz", func() bool { return allowed }, func(h http.Header) {
			seen = append(seen, h.Get("Cold-Start-Ms"))
		})
	}
	if err := probe(false); !errors.Is(err, connector.ErrWithheld) || len(seen) > 0 {
		t.Errorf("withheld probe: error %v, header %v", err, seen)
	}
	if err := probe(true); err != nil || len(seen) != 1 || seen[0] != "1700" {
		t.Errorf("probe: error %v, header %v", err, seen)
	}
}
