package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// callerTimeout is how long a caller waits for a response.
const callerTimeout = 3 * time.Second

// caller is an open-loop load generator: its send rate does not depend on the responses. It
// reuses its connections to an entry until a call fails or it switches to another entry.
type caller struct {
	harness      *Harness
	name         string
	rand         *rand.Rand
	meanInterval time.Duration // between two calls
	callsSent    int
	inFlight     sync.WaitGroup

	mu   sync.Mutex
	conn *connection // nil for none
}

// connection is an entry with the client that a caller uses for it.
type connection struct {
	entry  *entry
	client *http.Client
}

func (c *caller) sendCalls(ctx context.Context) {
	defer c.inFlight.Wait()
	for ctx.Err() == nil {
		conn := c.currentConn()
		if conn == nil || c.rand.IntN(20) == 0 {
			conn = c.connect()
		}
		if conn == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		k := callKind(c.rand.IntN(len(routePaths)))
		c.callsSent++
		id := fmt.Sprintf("%s-%d", c.name, c.callsSent)
		if c.rand.IntN(lateShare) == 0 {
			id += lateSuffix
		}
		c.inFlight.Add(1)
		go func() {
			defer c.inFlight.Done()
			c.call(conn, id, k)
		}()
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(c.meanInterval)))
	}
}

func (c *caller) currentConn() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// dropConn drops a connection that has failed.
func (c *caller) dropConn(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

// maxIdleConns is the number of idle connections that a caller keeps.
const maxIdleConns = 4

// connect switches to a random ready entry, as the platform's load balancing does.
func (c *caller) connect() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.client.CloseIdleConnections()
		c.conn = nil
	}
	e := c.harness.readyEntry(c.rand.IntN(len(c.harness.entries)))
	if e == nil {
		return nil
	}
	c.conn = &connection{entry: e, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns,
	}}}
	return c.conn
}

func (c *caller) call(conn *connection, id string, k callKind) {
	key := c.harness.currentKey()
	checker := c.harness.checker
	checker.recordSend(id, k, key, conn.entry.number)
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(w httptrace.WroteRequestInfo) {
		if w.Err == nil {
			checker.recordWritten(id)
		}
	}})
	req, err := newRequest(ctx, conn.entry, id, key, routePaths[k]+id, "body")
	if err != nil {
		checker.addViolation("request not made: %v", err)
		return
	}
	if k.service() == streamService {
		prompt := newPrompt(id, rand.IntN(promptGroups), rand.IntN(1000), c.harness.currentDeadlyPart(), c.harness.opts.OmittedSignal == OmitDeadlyPart)
		req.Header.Set(headerPrompt, prompt)
		if deadlyPartOf(prompt) == "" {
			defer checker.observeSound(id, c.harness.currentDeadlyPart)()
		}
	}
	if isLate(id) {
		late := newLateBody("body")
		req.Body = io.NopCloser(late)
		defer func() { checker.checkLateResult(id, late.wholeFor()) }()
	}
	resp, err := conn.client.Do(req)
	if err != nil {
		checker.recordResult(id, 0, err)
		c.dropConn(conn)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err == nil && resp.StatusCode == http.StatusOK {
		c.checkBody(id, k, string(body))
	}
	checker.recordResult(id, resp.StatusCode, err)
	if err != nil {
		c.dropConn(conn)
	}
}

// newRequest returns the request of a call to an entry. The client must not resend it, so
// GetBody is unset.
func newRequest(ctx context.Context, e *entry, id, key, path, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.frontendAddr()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	return req, nil
}

// sendOnce sends one request to an entry over a new connection. The request need not succeed.
func (h *Harness) sendOnce(e *entry, id string, k callKind, path, body string) {
	checker, key := h.checker, h.currentKey()
	checker.recordSend(id, k, key, e.number)
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := newRequest(ctx, e, id, key, path, body)
	if err != nil {
		checker.addViolation("request not made: %v", err)
		return
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		checker.recordResult(id, 0, err)
		return
	}
	_ = resp.Body.Close()
	checker.recordResult(id, resp.StatusCode, nil)
}

// checkBody compares the body of a complete successful response with the expected one.
func (c *caller) checkBody(id string, k callKind, body string) {
	want := "answer to " + id
	if k == onceStream || k == resumableStream {
		var b strings.Builder
		for i := range eventCount(id) {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, id)
		}
		want = b.String()
	}
	if body != want {
		c.harness.checker.addCallViolation(id, "got %q as a whole answer; %q is right", body, want)
	}
}
