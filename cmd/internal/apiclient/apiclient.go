// Package apiclient is a client of the system that behaves as an ordinary client
// library: it follows redirects and reconnects to a stream of server-sent events
// with Last-Event-ID, as the standard describes. Its dialer takes the place of the
// platform's load balancer, which spreads connections over the entries that are
// ready.
package apiclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/relay/responsechecker"
)

// Client sends requests of one organisation. It is safe for concurrent use.
type Client struct {
	key         string
	entries     func() []string
	client      *http.Client
	connections atomic.Uint64
}

// balancerHost is the host of all request URLs; the dialer connects it to an entry.
const balancerHost = "sequoiasill.test"

// maxConnections is the maximum number of connections to the load balancer.
const maxConnections = 2048

// New returns a Client that authenticates with a bearer key. The function entries
// returns the addresses of the entries to which the load balancer would connect.
func New(key string, entries func() []string) *Client {
	c := &Client{key: key, entries: entries}
	c.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections, DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			address, err := c.nextEntry()
			if err != nil {
				return nil, err
			}
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return responsechecker.NewConn(conn), nil
		},
	}}
	return c
}

// nextEntry returns the address for the next connection, in round-robin order.
func (c *Client) nextEntry() (string, error) {
	addresses := c.entries()
	if len(addresses) == 0 {
		return "", errors.New("no entry is ready")
	}
	return addresses[c.connections.Add(1)%uint64(len(addresses))], nil
}

// Response is the response that a caller received.
type Response struct {
	Status           int
	Verdict          string
	RequestID        string
	RetryAfter       string
	Body             []byte
	Text             string          // generated text of a completion
	Events           int             // events received from a stream
	Reconnects       int             // reconnections of a stream
	TimeToFirstToken time.Duration   // time to the first token of a stream
	TokenIntervals   []time.Duration // intervals between the tokens of a stream
}

// CompletionRequest returns the body of a completion request.
func CompletionRequest(model, prompt string, tokens int, stream bool) []byte {
	b, err := json.Marshal(map[string]any{
		"model": model, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "system", "content": "You help attendants."}, {"role": "user", "content": prompt}},
	})
	if err != nil {
		return nil
	}
	return b
}

func (c *Client) request(method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+balancerHost+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := responsechecker.CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func responseFrom(resp *http.Response) Response {
	return Response{
		Status: resp.StatusCode, Verdict: resp.Header.Get("Sequoia-Verdict"),
		RequestID: resp.Header.Get("Sequoia-Request-Id"), RetryAfter: resp.Header.Get("Retry-After"),
	}
}

// maxResponseBytes bounds what is kept of a response.
const maxResponseBytes = 64 << 20

// Call sends a request, follows redirects and reads the whole response.
func (c *Client) Call(method, path string, body []byte, headers map[string]string) (Response, error) {
	resp, err := c.request(method, path, body, headers)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	out := responseFrom(resp)
	out.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return out, errors.Trace(err)
}

// Complete requests a completion that is not streamed.
func (c *Client) Complete(body []byte, headers map[string]string) (Response, error) {
	out, err := c.Call(http.MethodPost, "/v1/chat/completions", body, headers)
	if err != nil || out.Status != http.StatusOK {
		return out, err
	}
	var completion struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if err := json.Unmarshal(out.Body, &completion); err != nil || len(completion.Choices) == 0 {
		return out, errors.Errorf("completion %q: %v", out.Body, err)
	}
	out.Text = completion.Choices[0].Message.Content
	return out, nil
}

// maxReconnects is the maximum number of reconnections of one stream.
const maxReconnects = 20

// Stream requests a streamed completion and reads it to its end, with up to
// maxReconnects reconnections.
func (c *Client) Stream(body []byte, headers map[string]string) (Response, error) {
	s := stream{client: c, body: body, headers: headers, startedAt: time.Now(), retryDelay: 100 * time.Millisecond}
	for {
		done, err := s.connect()
		if done || err != nil && s.lastID == "" {
			return s.response, err
		}
		if s.response.Reconnects >= maxReconnects {
			return s.response, errors.Annotatef(err, "stream is incomplete after %d reconnections, last event %s", maxReconnects, s.lastID)
		}
		s.response.Reconnects++
		time.Sleep(s.retryDelay)
	}
}

// stream is the state of a stream across its connections.
type stream struct {
	client      *Client
	body        []byte
	headers     map[string]string
	startedAt   time.Time
	lastTokenAt time.Time
	lastID      string
	retryDelay  time.Duration
	text        strings.Builder
	response    Response
}

// connect opens a connection and reads events from it. It returns true if the
// response is finished and no reconnection is needed.
func (s *stream) connect() (bool, error) {
	headers := make(map[string]string, len(s.headers)+1)
	for k, v := range s.headers {
		headers[k] = v
	}
	if s.lastID != "" {
		headers["Last-Event-ID"] = s.lastID
	}
	resp, err := s.client.request(http.MethodPost, "/v1/chat/completions", s.body, headers)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	if s.lastID == "" {
		s.response = responseFrom(resp)
	}
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		if s.lastID != "" {
			return false, errors.Errorf("reconnection got status %d: %s", resp.StatusCode, b)
		}
		s.response.Body = b
		return true, nil
	}
	return s.read(resp.Body)
}

// read reads events from a connection. It returns true if the response is finished.
func (s *stream) read(r io.Reader) (bool, error) {
	lines := bufio.NewScanner(r)
	var id, data, kind string
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "" && data == "[DONE]":
			s.response.Text = s.text.String()
			return true, nil
		case line == "" && data != "":
			if kind == "error" {
				s.response.Body = []byte(data)
				return true, errors.Errorf("stream ended with %s", data)
			}
			if err := s.handleEvent(id, data); err != nil {
				return true, err
			}
			data = ""
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "event: "):
			kind = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case strings.HasPrefix(line, "retry: "):
			var millis int
			if _, err := fmt.Sscan(line[len("retry: "):], &millis); err == nil {
				s.retryDelay = time.Duration(millis) * time.Millisecond
			}
		}
	}
	return false, lines.Err()
}

func (s *stream) handleEvent(id, data string) error {
	var chunk struct {
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
		return errors.Errorf("event %q: %v", data, err)
	}
	now := time.Now()
	if s.response.Events == 0 {
		s.response.TimeToFirstToken = now.Sub(s.startedAt)
	} else {
		s.response.TokenIntervals = append(s.response.TokenIntervals, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.lastID = id
	s.response.Events++
	s.text.WriteString(chunk.Choices[0].Delta.Content)
	return nil
}
