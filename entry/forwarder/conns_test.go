package forwarder

import (
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

// Guards against calls that outlive a shutdown: those that are sent fail as such, later ones are never sent.
func TestEndCalls(t *testing.T) {
	tests := map[string]struct {
		singleUse bool
		sent      bool // before EndCalls
		want      sequoiasill.Verdict
	}{
		"sent":                 {sent: true, want: sequoiasill.MayHaveRun},
		"sent, single use":     {sent: true, singleUse: true, want: sequoiasill.MayHaveRun},
		"not sent":             {want: sequoiasill.NotRun},
		"not sent, single use": {singleUse: true, want: sequoiasill.NotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(Options{DialTimeout: sequoiasill.Second, StallTimeout: sequoiasill.Second})
			received := make(chan struct{})
			l := respondOnce(t, func(_ net.Listener, c net.Conn) {
				close(received)
				_, _ = c.Read(make([]byte, 1)) // until the entry closes the connection
			})
			if !tc.sent {
				f.EndCalls()
			}
			failed := make(chan *AttemptError, 1)
			go func() {
				_, attemptErr := f.Do(Call{
					Address: l.Addr().String(), Method: http.MethodGet, URI: "/", RequestID: "1", Timeout: sequoiasill.Minute, SingleUse: tc.singleUse,
				})
				failed <- attemptErr
			}()
			if tc.sent {
				<-received
				f.EndCalls()
			}
			got := <-failed
			if got == nil {
				t.Fatal("the call got a response")
			}
			if diff := cmp.Diff([]any{tc.want, !tc.sent}, []any{got.Verdict, got.DialFailed}); diff != "" {
				t.Errorf("verdict, whether the dial failed (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against hand-overs that a shutdown cuts: control requests outlive the calls.
func TestControlOutlivesEndCalls(t *testing.T) {
	l := respondOnce(t, func(_ net.Listener, c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"))
	})
	f := New(Options{DialTimeout: sequoiasill.Second, StallTimeout: sequoiasill.Second})
	f.EndCalls()
	if _, err := f.Control(http.MethodGet, l.Addr().String(), "/", nil, 5*sequoiasill.Second); err != nil {
		t.Error(err)
	}
}
