package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callerSpan is how long a caller waits for an answer.
const callerSpan = 3 * time.Second

// caller sends calls at a pace that answers do not change, over connections that it
// keeps until the entry is gone.
type caller struct {
	world *World
	name  string
	rand  *rand.Rand
	pace  time.Duration // mean time between two calls
	sent  int
	calls sync.WaitGroup

	mu   sync.Mutex
	line *line // nil for none
}

// line is a caller's way to an entry.
type line struct {
	entry  *entry
	client *http.Client
}

func (c *caller) loop(ctx context.Context) {
	defer c.calls.Wait()
	for ctx.Err() == nil {
		l := c.current()
		if l == nil || c.rand.IntN(20) == 0 {
			l = c.choose()
		}
		if l == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		k := kind(c.rand.IntN(len(kinds)))
		c.sent++
		id := fmt.Sprintf("%s-%d", c.name, c.sent)
		c.calls.Add(1)
		go func() {
			defer c.calls.Done()
			c.call(l, id, k)
		}()
		time.Sleep(time.Duration(c.rand.ExpFloat64() * float64(c.pace)))
	}
}

func (c *caller) current() *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.line
}

// drop leaves a line that failed.
func (c *caller) drop(l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.line == l {
		c.line = nil
	}
}

// keptConnections is how many idle connections a caller keeps.
const keptConnections = 4

// choose takes another entry that says that it is ready, as the platform does.
func (c *caller) choose() *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.line != nil {
		c.line.client.CloseIdleConnections()
		c.line = nil
	}
	e := c.world.readyEntry(c.rand.IntN(len(c.world.entries)))
	if e == nil {
		return nil
	}
	c.line = &line{entry: e, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: keptConnections,
	}}}
	return c.line
}

func (c *caller) call(l *line, id string, k kind) {
	key := c.world.key()
	j := c.world.judge
	j.send(id, k, key, l.entry.number)
	ctx, cancel := context.WithTimeout(context.Background(), callerSpan+time.Second)
	defer cancel()
	req, err := request(ctx, l.entry, id, key, kinds[k]+id, "body")
	if err != nil {
		j.broken("request not made: %v", err)
		return
	}
	resp, err := l.client.Do(req)
	if err != nil {
		j.answered(id, 0, err)
		c.drop(l)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err == nil && resp.StatusCode == http.StatusOK {
		c.check(id, k, string(body))
	}
	j.answered(id, resp.StatusCode, err)
	if err != nil {
		c.drop(l)
	}
}

// request makes a request of a call to an entry, which is sent once under its id.
func request(ctx context.Context, e *entry, id, key, path, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerSpan.Milliseconds()))
	return req, nil
}

// sendOnce sends one request to an entry over a connection of its own. Nothing is owed
// for it.
func (w *World) sendOnce(e *entry, id string, k kind, path, body string) {
	j, key := w.judge, w.key()
	j.send(id, k, key, e.number)
	ctx, cancel := context.WithTimeout(context.Background(), callerSpan)
	defer cancel()
	req, err := request(ctx, e, id, key, path, body)
	if err != nil {
		j.broken("request not made: %v", err)
		return
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		j.answered(id, 0, err)
		return
	}
	_ = resp.Body.Close()
	j.answered(id, resp.StatusCode, nil)
}

// check compares a whole success with what the call must get.
func (c *caller) check(id string, k kind, body string) {
	want := "answer to " + id
	if k == long || k == resumable {
		var b strings.Builder
		for i := range pieces(id) {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, id)
		}
		want = b.String()
	}
	if body != want {
		c.world.judge.broken("call %s got %q as a whole answer; %q is right", id, body, want)
	}
}
