package handlers_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/applier"
	"sequoiasill.dev/sequoiasill/entry/server"
	"sequoiasill.dev/sequoiasill/platform/caller"
	"sequoiasill.dev/sequoiasill/platform/storer"
	"sequoiasill.dev/sequoiasill/standin/platform"
)

// bodyLimit is small, so that a test can exceed it.
const bodyLimit = 2048

func testConfig() sequoiasill.Config {
	return sequoiasill.Config{
		Organisations: []sequoiasill.Organisation{{
			Name: "mall", Weight: 1, KeyHashes: []string{sequoiasill.HashKey("key")}, Services: []string{"assistant", "orders"},
		}},
		Pools: []sequoiasill.Pool{
			{Name: "assistant", Kind: sequoiasill.Model, Slots: 4},
			{Name: "orders", Kind: sequoiasill.Plain, Slots: 4},
		},
		Services: []sequoiasill.Service{
			{Name: "assistant", Kind: sequoiasill.Model, Pool: "assistant", Version: "v1"},
			{Name: "orders", Kind: sequoiasill.Plain, Pool: "orders", Version: "v1", Routes: []sequoiasill.Route{
				{Path: "/stock", Idempotent: true, Timeout: sequoiasill.Second},
				{Path: "/cut", Timeout: sequoiasill.Second},
			}},
			{Name: "secret", Kind: sequoiasill.Plain, Pool: "orders", Version: "v1"},
		},
	}
}

// startEntry starts an entry whose platform has no upstreams and returns its address.
func startEntry(t *testing.T) string {
	t.Helper()
	p := platform.New(sequoiasill.NewSystemClock(), 1, nil)
	listener := listen(t)
	go func() { _ = p.Serve(listener) }()
	store := storer.New(caller.New(listener.Addr().String(), sequoiasill.Second), sequoiasill.Second)
	if _, err := applier.Apply(store, testConfig(), 0); err != nil {
		t.Fatalf("apply: %v", err)
	}
	o := server.DefaultOptions()
	o.Name, o.Zone, o.Platform, o.BodyLimit = "entry-1", "zone-a", listener.Addr().String(), bodyLimit
	o.Listen, o.Operators, o.Peer = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	l, o, err := server.Listen(o)
	if err != nil {
		t.Fatalf("server.Listen: %v", err)
	}
	s, err := server.New(o, l, hclog.NewNullLogger())
	if err != nil {
		t.Fatalf("server.New: %v", err)
	}
	s.Start()
	t.Cleanup(func() {
		s.Stop()
		_ = p.Close()
	})
	address := "http://" + o.Listen
	for {
		resp, err := http.Get(address + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return address
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	return l
}

// outcome is the response to a rejected request, as the caller sees it.
type outcome struct {
	Status      int
	Verdict     string // in the header
	Code        string
	BodyVerdict string // verdict in the body
	RetryAfter  bool
}

func TestRefusals(t *testing.T) {
	address := startEntry(t)
	requestBody := `{"model":"assistant","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
	tests := map[string]struct {
		path, key, body string
		headers         map[string]string
		want            outcome
	}{
		"no key":            {path: "/v1/chat/completions", body: requestBody, want: outcome{Status: 401, Code: "unauthorised"}},
		"unknown key":       {path: "/v1/chat/completions", key: "other", body: requestBody, want: outcome{Status: 401, Code: "unauthorised"}},
		"not granted":       {path: "/services/secret/x", key: "key", want: outcome{Status: 403, Code: "notGranted"}},
		"model not granted": {path: "/v1/chat/completions", key: "key", body: strings.Replace(requestBody, "assistant", "secret", 1), want: outcome{Status: 403, Code: "notGranted"}},
		"kind differs":      {path: "/services/assistant/x", key: "key", want: outcome{Status: 404, Code: "notFound"}},
		"no such path":      {path: "/v2", key: "key", want: outcome{Status: 404, Code: "notFound"}},
		"too large":         {path: "/v1/chat/completions", key: "key", body: strings.Repeat("x", bodyLimit+1), want: outcome{Status: 413, Code: "tooLarge"}},
		"malformed":         {path: "/v1/chat/completions", key: "key", body: "{", want: outcome{Status: 400, Code: "malformed"}},
		"no messages":       {path: "/v1/chat/completions", key: "key", body: `{"model":"assistant"}`, want: outcome{Status: 400, Code: "malformed"}},
		"unknown class": {
			path: "/v1/chat/completions", key: "key", body: requestBody, headers: map[string]string{"Sequoia-Class": "slow"},
			want: outcome{Status: 400, Code: "malformed"},
		},
		"key required": {path: "/services/orders/cut", key: "key", want: outcome{Status: 400, Code: "keyRequired"}},
		"key too long": {
			path: "/services/orders/cut", key: "key", headers: map[string]string{"Idempotency-Key": strings.Repeat("k", 256)},
			want: outcome{Status: 400, Code: "malformed"},
		},
		"no engine":  {path: "/v1/chat/completions", key: "key", body: requestBody, want: outcome{Status: 503, Code: "noUpstream", RetryAfter: true}},
		"no service": {path: "/services/orders/stock", key: "key", want: outcome{Status: 503, Code: "noUpstream", RetryAfter: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.want.Verdict, tc.want.BodyVerdict = "notRun", "notRun"
			got := post(t, address+tc.path, tc.key, tc.body, tc.headers)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

func post(t *testing.T, url, key, body string, headers map[string]string) outcome {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatalf("request: %v", err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("post: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	var w struct {
		Error struct{ Verdict, Code, Message string }
	}
	if err := json.Unmarshal(response, &w); err != nil {
		t.Fatalf("response %q: %v", response, err)
	}
	if w.Error.Message == "" {
		t.Errorf("response %q has no message", response)
	}
	return outcome{
		Status: resp.StatusCode, Verdict: resp.Header.Get("Sequoia-Verdict"), Code: w.Error.Code,
		BodyVerdict: w.Error.Verdict, RetryAfter: resp.Header.Get("Retry-After") != "",
	}
}
