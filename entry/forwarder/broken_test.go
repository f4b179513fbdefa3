package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/standin/responder"
)

// Guards against MIXED: a response without framing is not complete if its connection is reset, whatever is left of the upload.
func TestResponseThatIsReset(t *testing.T) {
	for _, size := range []int{0, 12_000, 60_000, 8 << 20} {
		for _, after := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, after %s", size, after), func(t *testing.T) {
				l := respondOnce(t, func(_ net.Listener, c net.Conn) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
					time.Sleep(after)
					_ = c.(*net.TCPConn).SetLinger(0)
				})
				f := New(Options{DialTimeout: sequoiasill.Second, StallTimeout: sequoiasill.Second})
				r, attemptErr := f.Do(Call{Address: l.Addr().String(), Method: http.MethodPost, URI: "/", Body: make([]byte, size), RequestID: "1", Timeout: 5 * sequoiasill.Second})
				if attemptErr == nil {
					t.Fatalf("response is complete: %q", r.Body)
				}
				if !attemptErr.PossibleCrash() || attemptErr.Verdict != sequoiasill.MayHaveRun {
					t.Errorf("error is %v, verdict %s", attemptErr, attemptErr.Verdict)
				}
			})
		}
	}
}

// respondWith starts an upstream that writes a response to one request.
func respondWith(t *testing.T, response string) (f *Forwarder, address string) {
	t.Helper()
	l := respondOnce(t, func(_ net.Listener, c net.Conn) {
		_, _ = io.WriteString(c, response)
		_, _ = c.Read(make([]byte, 1)) // until the entry closes the connection
	})
	return New(Options{DialTimeout: sequoiasill.Second, StallTimeout: sequoiasill.Second}), l.Addr().String()
}

// Guards against MIXED: what follows an invalid head, or the body that it frames, is not the upstream's response.
func TestInvalidHeadIsRejected(t *testing.T) {
	const fields = StreamIDHeader + ": s\r\nContent-Length: 6\r\n\r\ndata:\n"
	tests := map[string]string{
		"a length with a blank": "HTTP/1.1 200 OK\r\n" + strings.Replace(fields, "Length: 6", "Length : 4", 1),
		"chunks with a blank":   "HTTP/1.1 200 OK\r\n" + strings.Replace(fields, "Content-Length: 6\r\n\r\n", "Transfer-Encoding : chunked\r\n\r\n6\r\n", 1) + "\r\n0\r\n\r\n",
	}
	tests["HTTP/1.0 with chunks"] = strings.NewReplacer("HTTP/1.1", "HTTP/1.0", "Encoding :", "Encoding:").Replace(tests["chunks with a blank"])
	for name, head := range responder.InvalidHeads() {
		tests[name] = head + fields
	}
	for name, response := range tests {
		t.Run("call, "+name, func(t *testing.T) {
			f, address := respondWith(t, response)
			r, attemptErr := f.Do(Call{Address: address, Method: http.MethodGet, URI: "/", RequestID: "1", Timeout: sequoiasill.Second})
			if attemptErr == nil {
				t.Fatalf("status %d, body %q", r.Status, r.Body)
			}
			if !attemptErr.PossibleCrash() || attemptErr.Verdict != sequoiasill.MayHaveRun {
				t.Errorf("error is %v, verdict %s", attemptErr, attemptErr.Verdict)
			}
		})
		t.Run("stream, "+name, func(t *testing.T) {
			f, address := respondWith(t, response)
			s, attemptErr := f.Open(StreamRequest{Address: address, Method: http.MethodPost, URI: "/", StreamID: "s"})
			if attemptErr == nil {
				s.Close()
				t.Fatal("the stream is open")
			}
			if !attemptErr.PossibleCrash() || attemptErr.Verdict != sequoiasill.MayHaveRun {
				t.Errorf("error is %v, verdict %s", attemptErr, attemptErr.Verdict)
			}
		})
	}
}

func TestUnusualHeadIsAccepted(t *testing.T) {
	for name, head := range responder.UnusualHeads() {
		for framing, body := range map[string]string{
			"with a length":           "Content-Length: 4\r\n\r\ngood",
			"in chunks with trailers": "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4\r\ngood\r\n0\r\nA: x\r\n\r\n",
		} {
			t.Run(name+", "+framing, func(t *testing.T) {
				f, address := respondWith(t, head+body)
				r, attemptErr := f.Do(Call{Address: address, Method: http.MethodGet, URI: "/", RequestID: "1", Timeout: sequoiasill.Second})
				if diff := cmp.Diff("good", string(r.Body)); diff != "" || attemptErr != nil {
					t.Errorf("error %v, body (-want +got):\n%s", attemptErr, diff)
				}
			})
		}
	}
}

// Guards against processes that a response without a body ends.
func TestResponseWithoutBody(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		response := fmt.Sprintf("HTTP/1.1 %d %s\r\n\r\n", status, http.StatusText(status))
		t.Run(fmt.Sprintf("call, %d", status), func(t *testing.T) {
			defer failOnPanic(t)
			f, address := respondWith(t, response)
			r, attemptErr := f.Do(Call{Address: address, Method: http.MethodGet, URI: "/", RequestID: "1", Timeout: sequoiasill.Second})
			if attemptErr != nil || r.Status != status || len(r.Body) > 0 {
				t.Errorf("error %v, status %d, body %q", attemptErr, r.Status, r.Body)
			}
		})
		t.Run(fmt.Sprintf("stream, %d", status), func(t *testing.T) {
			defer failOnPanic(t)
			f, address := respondWith(t, response)
			if _, attemptErr := f.Open(StreamRequest{Address: address, Method: http.MethodPost, URI: "/", StreamID: "s"}); attemptErr == nil || attemptErr.Status != status {
				t.Errorf("error %v, status %d is wanted", attemptErr, status)
			}
		})
	}
}

// failOnPanic fails a test that panics, and lets the others go on.
func failOnPanic(t *testing.T) {
	if e := recover(); e != nil {
		t.Errorf("ended by %v", e)
	}
}
