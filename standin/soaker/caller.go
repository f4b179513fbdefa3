package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// callerSpan is how long a caller waits for an answer.
const callerSpan = 3 * time.Second

// caller sends calls one after the other over a connection that it keeps until
// the entry is gone.
type caller struct {
	world  *World
	name   string
	rand   *rand.Rand
	client *http.Client
	entry  *entry
	sent   int
}

func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if c.entry == nil || c.rand.IntN(20) == 0 {
			c.choose()
		}
		if c.entry == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.call()
		time.Sleep(time.Duration(c.rand.IntN(60)) * time.Millisecond)
	}
}

// choose takes another entry that says that it is ready, as the platform does.
func (c *caller) choose() {
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
	}}
	c.entry = c.world.readyEntry(c.rand.IntN(len(c.world.entries)))
}

func (c *caller) call() {
	k := kind(c.rand.IntN(len(kinds)))
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	key := c.world.key()
	j := c.world.judge
	j.send(id, k, key)
	ctx, cancel := context.WithTimeout(context.Background(), callerSpan+time.Second)
	defer cancel()
	req, err := c.request(ctx, id, key, kinds[k]+id, "body")
	if err != nil {
		j.broken("request not made: %v", err)
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		j.answered(id, 0, err)
		c.entry = nil
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err == nil && resp.StatusCode == http.StatusOK {
		c.check(id, k, string(body))
	}
	j.answered(id, resp.StatusCode, err)
	if err != nil {
		c.entry = nil
	}
}

// request makes a request of a call, which is sent once under its id.
func (c *caller) request(ctx context.Context, id, key, path, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry.callers()+path, strings.NewReader(body))
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

// sendOnce sends one request over a connection of its own. Nothing is owed for it.
func (c *caller) sendOnce(path, body string) {
	j, key := c.world.judge, c.world.key()
	j.send(c.name, once, key)
	ctx, cancel := context.WithTimeout(context.Background(), callerSpan)
	defer cancel()
	req, err := c.request(ctx, c.name, key, path, body)
	if err != nil {
		j.broken("request not made: %v", err)
		return
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		j.answered(c.name, 0, err)
		return
	}
	_ = resp.Body.Close()
	j.answered(c.name, resp.StatusCode, nil)
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
