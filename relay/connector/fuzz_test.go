package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/relay/connector"
)

// maxFirstResponse limits the first response in bytes, so that it arrives in one piece. Data
// that arrives while the connection is in use again cannot be detected in this package; the
// sender detects it by the request ID in the response.
const maxFirstResponse = 16 << 10

// FuzzResponse lets an upstream respond to the first request with arbitrary bytes, and to each
// later one with a body of its own. No byte of the first response may be part of a later one.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		goodResponse, goodResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", "HTTP/1.1 200 OK\r\n\r\nunframed",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + goodResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\ngood", "HTTP/1.1 204 No Content\r\n\r\nx", "torn",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, first []byte) {
		first = first[:min(len(first), maxFirstResponse)]
		u := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
			for request := 0; readRequest(r); request++ {
				if n == 0 && request == 0 {
					_, _ = c.Write(first)
					continue
				}
				body := fmt.Sprintf("answer %d of connection %d", request, n)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		})
		opts := connector.DefaultOptions()
		c := connector.New(opts, sequoiasill.NewSystemClock())
		defer c.Close()
		for i := range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			x, err := c.Do(ctx, request(u))
			if err != nil {
				cancel()
				continue
			}
			body, err := io.ReadAll(x.Response.Body)
			x.Close(err == nil)
			cancel()
			if i > 0 && err == nil && x.Response.StatusCode == http.StatusOK && !strings.HasPrefix(string(body), "answer ") {
				t.Errorf("request %d got %q", i, body)
			}
		}
	})
}
