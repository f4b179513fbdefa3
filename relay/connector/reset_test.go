package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

// uploadBytes is the size of a request body that no socket buffer holds.
const uploadBytes = 8 << 20

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against MIXED: a reset that ends the write of the request was not reported to the reader of the response.
func TestResponseDuringUpload(t *testing.T) {
	const unframed, chunked = "HTTP/1.1 200 OK\r\n\r\ngood", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"
	const (
		// endAfter is the time between the response and the end of its connection. By then only the write waits for it.
		endAfter = 50 * time.Millisecond
		// leftFor is how long an upload is left unread, and maxWait is how long the end of a response may take meanwhile.
		leftFor, maxWait = 3 * time.Second, time.Second
	)
	tests := map[string]struct {
		response string
		end      func(c net.Conn, r *bufio.Reader)
		want     error
	}{
		"without framing, reset":               {unframed, func(c net.Conn, _ *bufio.Reader) { reset(c) }, syscall.ECONNRESET},
		"without framing, closed without read": {unframed, func(c net.Conn, _ *bufio.Reader) { _ = c.Close() }, syscall.ECONNRESET},
		"without framing, whole, upload read": {unframed, func(c net.Conn, r *bufio.Reader) {
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r)
		}, nil},
		"without framing, whole, upload left": {unframed, func(c net.Conn, _ *bufio.Reader) {
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(leftFor)
		}, nil},
		"without framing, whole, reset later": {unframed, func(c net.Conn, _ *bufio.Reader) {
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(endAfter)
			reset(c)
		}, nil},
		"with a length, reset": {goodResponse, func(c net.Conn, _ *bufio.Reader) { reset(c) }, nil},
		"in chunks, reset":     {chunked, func(c net.Conn, _ *bufio.Reader) { reset(c) }, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			u := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, tc.response)
				_, _ = io.CopyN(io.Discard, req.Body, uploadBytes/100)
				time.AfterFunc(2*endAfter, func() { close(ended) })
				time.Sleep(endAfter)
				tc.end(c, r)
			})
			r := request(u)
			r.Body = make([]byte, uploadBytes)
			x, err := newConnector(t).Do(context.Background(), r)
			if err != nil {
				t.Fatal(err)
			}
			<-ended
			began := time.Now()
			body, err := io.ReadAll(x.Response.Body)
			x.Close(err == nil)
			if diff := cmp.Diff("good", string(body)); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if !errors.Is(err, tc.want) {
				t.Errorf("error is %v, %v is wanted", err, tc.want)
			}
			if took := time.Since(began); took > maxWait {
				t.Errorf("the rest of the response was read after %s", took)
			}
		})
	}
}
