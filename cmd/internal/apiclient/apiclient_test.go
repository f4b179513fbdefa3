package apiclient

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill/standin/responder"
)

// newClient returns a client of an entry that calls respond for each request.
func newClient(t *testing.T, respond func(c *net.TCPConn, req *http.Request)) *Client {
	t.Helper()
	r, err := responder.New(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return New("key", func() []string { return []string{r.Address()} })
}

// Guards against checks that take part of a response for the whole one.
func TestResponseResetDuringUpload(t *testing.T) {
	const uploadBytes = 8 << 20 // more than socket buffers hold
	client := newClient(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	for range 50 {
		if r, err := client.Call(http.MethodPost, "/", make([]byte, uploadBytes), nil); err == nil {
			t.Errorf("response is complete: %d, %q", r.Status, r.Body)
		}
	}
}

// Guards against checks that take a response with an invalid head for a sound one.
func TestHeads(t *testing.T) {
	call := func(head string) error {
		client := newClient(t, func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, head+"Content-Length: 4\r\n\r\ngood")
		})
		_, err := client.Call(http.MethodPost, "/", nil, nil)
		return err
	}
	for name, head := range responder.InvalidHeads() {
		if call(head) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	for name, head := range responder.UnusualHeads() {
		if err := call(head); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
