package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/reserver"
)

// Guards against heads that are counted as shorter than what the server parses.
func TestHeadScanner(t *testing.T) {
	tests := map[string]struct {
		input string
		want  headScanner // without the state of the last line
	}{
		"a request":                    {"GET / HTTP/1.1\r\nA: b\r\n\r\n", headScanner{bytes: 24, lines: 2, ended: true}},
		"its body does not count":      {"GET / HTTP/1.1\r\nA: b\r\n\r\nx\r\ny\r\n", headScanner{bytes: 24, lines: 2, ended: true}},
		"line feeds only":              {"GET / HTTP/1.1\nA: b\n\n", headScanner{bytes: 21, lines: 2, ended: true}},
		"leading empty lines":          {"\r\n\nGET / HTTP/1.1\r\n", headScanner{bytes: 19, lines: 1, leading: 2}},
		"no end by carriage returns":   {"GET / HTTP/1.1\r\n\r\r\nA: b\r\n", headScanner{bytes: 25, lines: 3}},
		"no end by a line of a space":  {"GET / HTTP/1.1\r\n \r\nA: b\r\n", headScanner{bytes: 25, lines: 3}},
		"a carriage return in a value": {"GET / HTTP/1.1\r\nA: \rb\r\n", headScanner{bytes: 23, lines: 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var parts, whole headScanner
			whole.scan([]byte(tc.input))
			for i := range len(tc.input) {
				parts.scan([]byte(tc.input[i : i+1]))
			}
			opts := cmp.AllowUnexported(headScanner{})
			if diff := cmp.Diff(tc.want, whole, opts); diff != "" {
				t.Errorf("counted (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(whole, parts, opts); diff != "" {
				t.Errorf("byte by byte (-at once +got):\n%s", diff)
			}
		})
	}
}

// serveBudget starts an acceptor with a budget on a loopback address. Its handler reads the body.
func serveBudget(t *testing.T, b *Budget, limits sequoiasill.CallerLimits) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		input := InputOf(req)
		if req.ContentLength > 0 && !input.Reserve(req.ContentLength) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		input.Run()
		_, _ = io.WriteString(w, "served")
	}), func() sequoiasill.CallerLimits { return limits }, func(*http.Request) string { return "" }, b, &causes{}, hclog.NewNullLogger())
	t.Cleanup(func() {
		a.Drain()
		a.Shutdown(sequoiasill.Second)
	})
	return l.Addr().String()
}

func dialBudget(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text)
	return c, bufio.NewReader(c)
}

// status returns the status of the next response, 0 if the connection ends without one.
func status(r *bufio.Reader) int {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against heads that are read beyond the configured limit, and against requests within it that are
// rejected.
func TestHeadLimitsApplyWhileReading(t *testing.T) {
	const size = 16 << 10
	address := serveBudget(t, newBudget(100<<20, 100), sequoiasill.CallerLimits{HeaderBytes: size, HeaderTimeout: sequoiasill.Minute, IdleTimeout: sequoiasill.Minute})
	start := "GET / HTTP/1.1\r\nHost: kiosk.example\r\n"
	tests := map[string]struct {
		text string
		want int
	}{
		"ordinary":                    {getRequest, http.StatusOK},
		"one line of the limit":       {start + "X: " + strings.Repeat("x", size-len(start)-7) + "\r\n\r\n", http.StatusOK},
		"short lines up to the limit": {start + strings.Repeat("a:\r\n", (size-len(start)-2)/4) + "\r\n", http.StatusOK},
		"short lines without an end":  {start + strings.Repeat("a:\r\n", size/2), http.StatusRequestHeaderFieldsTooLarge},
		"shorter lines":               {start + strings.Repeat("a:\n", (size+sequoiasill.HeaderFraming)/3), http.StatusRequestHeaderFieldsTooLarge},
		"a line without an end":       {start + "X: " + strings.Repeat("x", 2*size), http.StatusRequestHeaderFieldsTooLarge},
		"a request line without end":  {"GET /" + strings.Repeat("x", 2*size), http.StatusRequestHeaderFieldsTooLarge},
		"empty lines":                 {strings.Repeat("\r\n", 4*size), http.StatusRequestHeaderFieldsTooLarge},
		"empty lines of old callers":  {strings.Replace(getRequest, "GET", "POST", 1) + "\r\n\r\n" + getRequest, http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, r := dialBudget(t, address, tc.text)
			if diff := cmp.Diff(tc.want, status(r)); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against memory that stays reserved when a connection ends, however it does.
func TestBudgetIsReleasedWithConnection(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: kiosk.example\r\nContent-Length: 100000\r\n\r\n"
	tests := map[string]struct {
		text  string
		close bool // by the caller
	}{
		"nothing sent":              {"", true},
		"part of a head":            {getRequest[:20], true},
		"an answered request":       {getRequest, true},
		"several answered requests": {getRequest + getRequest + getRequest, true},
		"part of a body":            {post + "x", true},
		"a whole body":              {post + strings.Repeat("x", 100_000), true},
		"a head beyond the limit":   {"GET /" + strings.Repeat("x", 100_000), false},
		"no request":                {"x\r\n\r\n", false},
		"header timeout":            {getRequest[:20], false},
		"idle timeout":              {getRequest, false},
		"framing beyond the limit":  {"POST / HTTP/1.1\r\nHost: kiosk.example\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;aaaaaaaaaa\r\nx\r\n", 60_000), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBudget(1<<20, 10)
			address := serveBudget(t, b, sequoiasill.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 100_000, HeaderTimeout: 100, IdleTimeout: 300})
			c, _ := dialBudget(t, address, tc.text)
			time.Sleep(50 * time.Millisecond)
			if tc.close {
				_ = c.Close()
			}
			await(t, func() bool { return b.Totals() == reserver.Totals{} })
		})
	}
}

// Guards against ordinary requests that are refused as other callers hold the memory, and against answers
// that promise something else than what happened.
func TestStalledCallersMakeRoom(t *testing.T) {
	const size = 280_000 // three of them fit into the budget of 1 MB
	stalled := fmt.Sprintf("POST / HTTP/1.1\r\nHost: kiosk.example\r\nContent-Length: %d\r\n\r\nx", size)
	b := newBudget(1<<20, 100)
	address := serveBudget(t, b, sequoiasill.CallerLimits{BodyBytes: size, HeaderTimeout: sequoiasill.Minute, IdleTimeout: sequoiasill.Minute})
	var readers []*bufio.Reader
	for range 3 {
		_, r := dialBudget(t, address, stalled)
		readers = append(readers, r)
		await(t, func() bool { return b.Totals().Held >= int64(len(readers)*size) })
	}
	// The large part of the budget is held and nobody has stalled yet.
	_, r := dialBudget(t, address, stalled)
	if diff := cmp.Diff(http.StatusServiceUnavailable, status(r)); diff != "" {
		t.Errorf("status of a large request (-want +got):\n%s", diff)
	}
	if _, r = dialBudget(t, address, getRequest); status(r) != http.StatusOK {
		t.Error("an ordinary request is not served")
	}
	time.Sleep(reserver.DefaultOptions(0, 0).StallTime.Duration())
	if _, r = dialBudget(t, address, stalled+strings.Repeat("x", size-1)); status(r) != http.StatusOK {
		t.Error("a large request is not served after the others have stalled")
	}
	if diff := cmp.Diff(0, status(readers[0])); diff != "" {
		t.Errorf("status of the caller that stalled longest (-want +got):\n%s", diff)
	}
}

// Guards against connections without a request that keep other callers out.
func TestNewCallersReplaceIdleConnections(t *testing.T) {
	const connections = 5
	b := newBudget(1<<20, connections)
	address := serveBudget(t, b, sequoiasill.CallerLimits{IdleTimeout: sequoiasill.Minute})
	for range 4 * connections {
		dialBudget(t, address, "")
	}
	if _, r := dialBudget(t, address, getRequest); status(r) != http.StatusOK {
		t.Error("an ordinary request is not served")
	}
	if n := b.Totals().Connections; n > connections {
		t.Errorf("%d connections are open, at most %d are wanted", n, connections)
	}
}
