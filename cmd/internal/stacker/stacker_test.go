package stacker

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/standin/engine"
)

// benchSpeed keeps the engine's part of the measured latency small.
var benchSpeed = engine.Speed{Step: time.Millisecond}

func benchStack(b *testing.B) *Stack {
	b.Helper()
	s, err := New(Options{
		Entries: 1, Engines: 1, EnginePool: "assistant", Slots: 64, Speed: benchSpeed, Seed: 1, Log: hclog.NewNullLogger(),
	})
	if err != nil {
		b.Fatalf("New: %v", err)
	}
	b.Cleanup(s.Close)
	_, err = s.Apply(sequoiasill.Config{
		Organisations: []sequoiasill.Organisation{{
			Name: "mall", Weight: 1, KeyHashes: []string{sequoiasill.HashKey("key")}, Services: []string{"assistant"},
		}},
		Pools:    []sequoiasill.Pool{{Name: "assistant", Kind: sequoiasill.Model, Slots: 64}},
		Services: []sequoiasill.Service{{Name: "assistant", Kind: sequoiasill.Model, Pool: "assistant", Version: "v1"}},
	})
	if err != nil {
		b.Fatalf("Apply: %v", err)
	}
	for {
		resp, err := http.Get("http://" + s.Entries[0].Address + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return s
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// BenchmarkFirstToken measures the time from the request to the first token, directly at
// the engine and through an entry.
func BenchmarkFirstToken(b *testing.B) {
	s := benchStack(b)
	for _, target := range []struct{ name, address string }{
		{"direct", s.Engines[0].Instance.Address}, {"entry", s.Entries[0].Address},
	} {
		b.Run(target.name, func(b *testing.B) {
			for b.Loop() {
				firstToken(b, target.address)
			}
		})
	}
}

func firstToken(b *testing.B, address string) {
	b.Helper()
	const body = `{"model":"assistant","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", address), strings.NewReader(body))
	if err != nil {
		b.Fatalf("request: %v", err)
	}
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Sequoia-Stream-Id", "s")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatalf("post: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") {
			break
		}
	}
	_, _ = io.Copy(io.Discard, resp.Body)
}
