package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/reserver"
)

// newBudget returns a budget without a log.
func newBudget(bytes int64, connections int) *Budget {
	return NewBudget(reserver.DefaultOptions(bytes, connections), sequoiasill.NewSystemClock(), &causes{}, hclog.NewNullLogger())
}

// CallerInputClosed implements BudgetMeter.
func (c *causes) CallerInputClosed(reason string) { c.CallerEnded(reason) }

// causes counts the ends by cause.
type causes struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *causes) CallerEnded(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[cause]++
}

func (c *causes) get() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int)
	for k, v := range c.counts {
		out[k] = v
	}
	return out
}

// pipeListener accepts connections of a channel.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A small response is written when the handler has returned.
func TestResponseThatCannotBeWrittenIsLogged(t *testing.T) {
	local, remote := net.Pipe()
	l := &pipeListener{conns: make(chan net.Conn, 1)}
	l.conns <- local
	var buf bytes.Buffer
	counts := &causes{}
	log := hclog.New(&hclog.LoggerOptions{Output: &buf, Level: hclog.Info, Mutex: &sync.Mutex{}})
	a := New(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = remote.Close()
		_, _ = io.WriteString(w, "response")
	}), func() sequoiasill.CallerLimits { return sequoiasill.CallerLimits{IdleTimeout: sequoiasill.Minute} }, func(r *http.Request) string { return r.Header.Get("Id") }, newBudget(100<<20, 1000), counts, log)
	_, _ = io.WriteString(remote, "GET / HTTP/1.1\r\nHost: kiosk.example\r\nId: r1\r\n\r\n")
	for end := time.Now().Add(5 * time.Second); len(counts.get()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	a.Drain()
	a.Shutdown(sequoiasill.Second)
	if diff := cmp.Diff(map[string]int{causeNotDelivered: 1}, counts.get()); diff != "" {
		t.Errorf("counted (-want +got):\n%s", diff)
	}
	if !strings.Contains(buf.String(), "request=r1") {
		t.Errorf("logged: %s", buf.String())
	}
}

// Guards against successes that net/http answers itself.
func TestEveryWholeRequestReachesHandler(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serve(t, l, func() sequoiasill.Millis { return 500 }, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	for name, request := range map[string]string{
		"options of the server": "OPTIONS * HTTP/1.1\r\nHost: kiosk.example\r\n\r\n",
		"a path":                getRequest,
		"HTTP/1.0":              "GET / HTTP/1.0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, request)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(http.StatusTeapot, resp.StatusCode); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}
