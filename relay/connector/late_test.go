package connector_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against crossed responses: a second copy of a response that comes late, while the next
// request on the connection waits, must not be taken for that one's response.
func TestLateCopyOfAnEarlierResponse(t *testing.T) {
	response := func(id, framing string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s", id, strings.ReplaceAll(framing, "BODY", "for "+id))
	}
	const length, chunks = "Content-Length: 5\r\n\r\nBODY", "Transfer-Encoding: chunked\r\n\r\n5\r\nBODY\r\n0\r\n\r\n"
	tests := map[string]struct {
		late    []string // responses before the one to the second request
		want    string
		conns   int
		failure bool
	}{
		"with a length":        {[]string{response("1", length)}, "for 2", 2, false},
		"in chunks":            {[]string{response("1", chunks)}, "for 2", 2, false},
		"two copies":           {[]string{response("1", length), response("1", length)}, "for 2", 2, false},
		"without end":          {strings.Split(strings.Repeat(response("1", length)+"\x00", 40), "\x00"), "", 1, true},
		"of an unknown sender": {[]string{response("9", length)}, "for 9", 2, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for i := 1; readRequest(r); i++ {
					if i == 2 {
						_, _ = io.WriteString(c, strings.Join(tc.late, ""))
					}
					_, _ = io.WriteString(c, response(fmt.Sprint(i), length))
				}
			})
			c := newConnector(t)
			var got string
			var err error
			for i := range 2 {
				r := request(u)
				r.ID, r.ResponseID = fmt.Sprint(i+1), func(r *http.Response) string { return r.Header.Get("X-Id") }
				got, err = exchange(t, c, r)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" || (err != nil) != tc.failure {
				t.Errorf("error %v, body (-want +got):\n%s", err, diff)
			}
			if tc.failure {
				return
			}
			// The connection is not used again.
			if _, err := exchange(t, c, request(u)); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.conns, u.connections()); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
		})
	}
}
