package connector_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/relay/connector"
	"sequoiasill.dev/sequoiasill/standin/responder"
)

// Guards against MIXED: what follows an invalid head, or the body that it frames, is not the upstream's response.
func TestInvalidHeadIsRejected(t *testing.T) {
	tests := map[string]string{
		"status +20":                              "HTTP/1.1 +20 Trouble\r\nContent-Length: 4\r\n\r\ngood",
		"status 000, then a response":             "HTTP/1.1 000 Trouble\r\n\r\n" + goodResponse,
		"status 000 with a body, then a response": "HTTP/1.1 000 Trouble\r\nContent-Length: 3\r\n\r\nbad" + goodResponse,
		"a length with a blank":                   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\ngood",
		"chunks with a blank":                     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"HTTP/1.0 with chunks":                    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"HTTP/1.0 with chunks and a length":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"an interim response with a bad name":     "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + goodResponse,
	}
	for name, head := range responder.InvalidHeads() {
		tests[name] = head + "Content-Length: 4\r\n\r\ngood"
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
				for readRequest(r) {
					if n == 0 {
						_, _ = io.WriteString(c, response)
						continue
					}
					_, _ = io.WriteString(c, goodResponse)
				}
			})
			c := newConnector(t)
			got, err := exchange(t, c, request(u))
			var failure *connector.Error
			if !errors.As(err, &failure) || failure.Verdict != sequoiasill.MayHaveRun {
				t.Errorf("error is %v, body %q", err, got)
			}
			// The connection is not used again.
			if got, err := exchange(t, c, request(u)); got != "good" || err != nil || u.connections() != 2 {
				t.Errorf("next response is %q, error %v, on connection %d", got, err, u.connections())
			}
		})
	}
}

func TestUnusualHeadIsAccepted(t *testing.T) {
	type test struct {
		response string
		status   int
		body     string
	}
	tests := map[string]test{
		"status 599": {"HTTP/1.1 599 Unknown\r\nContent-Length: 4\r\n\r\ngood", 599, "good"},
		"status 204": {"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		"status 304": {"HTTP/1.1 304 Not Modified\r\nEtag: x\r\n\r\n", 304, ""},
		"line feeds": {"HTTP/1.1 200 OK\nContent-Length: 4\n\ngood", 200, "good"},
		"trailers":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4\r\ngood\r\n0\r\nA: x\r\n\r\n", 200, "good"},
	}
	for name, head := range responder.UnusualHeads() {
		tests[name] = test{head + "Content-Length: 4\r\n\r\ngood", 200, "good"}
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for readRequest(r) {
					_, _ = io.WriteString(c, tc.response)
				}
			})
			c := newConnector(t)
			for range 2 {
				x, err := c.Do(t.Context(), request(u))
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(x.Response.Body)
				x.Close(err == nil)
				if diff := cmp.Diff([]any{tc.status, tc.body}, []any{x.Response.StatusCode, string(body)}); diff != "" || err != nil {
					t.Errorf("error %v, status and body (-want +got):\n%s", err, diff)
				}
			}
			if diff := cmp.Diff(1, u.connections()); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
		})
	}
}
