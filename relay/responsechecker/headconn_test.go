package responsechecker_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/relay/responsechecker"
	"sequoiasill.dev/sequoiasill/standin/responder"
)

// scriptedConn is a connection on which responses are received.
type scriptedConn struct {
	net.Conn
	responses io.Reader
}

func (c scriptedConn) Read(b []byte) (int, error) { return c.responses.Read(b) }

func (c scriptedConn) Write(b []byte) (int, error) { return len(b), nil }

// receive sends a request and returns what can be read afterwards. Responses arrive in one piece or byte by byte.
func receive(t *testing.T, responses string, byByte bool) (string, error) {
	t.Helper()
	var r io.Reader = strings.NewReader(responses)
	if byByte {
		r = iotest.OneByteReader(r)
	}
	c := responsechecker.NewHeadConn(scriptedConn{responses: r})
	for range 2 { // a head and its body may be written apart
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(c)
	return string(got), err
}

func TestHeadConn(t *testing.T) {
	invalid := responder.InvalidHeads()
	invalid["chunks of HTTP/1.0"] = "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n"
	for _, byByte := range []bool{false, true} {
		for name, head := range invalid {
			got, err := receive(t, head+"\r\nbody", byByte)
			if !errors.Is(err, responsechecker.ErrInvalidHead) || strings.HasPrefix(got, head+"\r\n") {
				t.Errorf("%s, byte by byte %t: error %v, received %q", name, byByte, err, got)
			}
		}
		for name, head := range responder.UnusualHeads() {
			// Bytes of a body are passed on, whatever they look like.
			response := head + "\r\nHTTP/1.1 000 Trouble\r\n\r\n"
			got, err := receive(t, response, byByte)
			if diff := cmp.Diff(response, got); diff != "" || err != nil {
				t.Errorf("%s, byte by byte %t: error %v, received (-want +got):\n%s", name, byByte, err, diff)
			}
		}
	}
}

// The head of each response on a connection is checked.
func TestHeadConnThatIsReused(t *testing.T) {
	const sound, invalid = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 000 Trouble\r\n\r\n"
	c := responsechecker.NewHeadConn(scriptedConn{responses: io.MultiReader(strings.NewReader(sound), strings.NewReader(invalid))})
	for i, want := range []error{nil, responsechecker.ErrInvalidHead} {
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, len(sound))); !errors.Is(err, want) {
			t.Errorf("response %d: error %v, %v is wanted", i, err, want)
		}
	}
}
