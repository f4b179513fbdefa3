package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill"
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
