//go:build callerinput

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill/standin/loopback"
	"sequoiasill.dev/sequoiasill/standin/store"
)

// The tests of this file start a real entry with the memory of the smallest instance, send it what
// callers must not send, and check what does not depend on the machine's speed: the process lives, its
// peak resident memory and its descriptors are within a bound, and an ordinary request is answered while
// the crowd's connections are still open. They run one at a time, apart from other load:
//
//	go test -tags callerinput -p 1 -run TestCallerInput ./cmd/sequoia-edge
const (
	// instanceMB is limits.memoryMb of the smallest instance.
	instanceMB = 144
	// maxResidentKB bounds the peak resident memory. The rest of the instance, 48 MB, is for what an entry of
	// a large deployment holds apart from callers' input; the entry of this test, without that, peaks at
	// 18 MB when nothing is sent.
	maxResidentKB = (instanceMB - 48) << 10
	// smallestMaxFds is limits.maxFds of the smallest instance, and reservedFds the part that is not for
	// sockets.
	smallestMaxFds = 3075
	reservedFds    = 200
	// crowdTimeout ends writes to a process that reads no more.
	crowdTimeout = 2 * time.Minute
)

// entryProcess is a running entry with a store and one upstream.
type entryProcess struct {
	ip     string
	pid    int
	exited chan struct{}
	log    string
}

// startEntry starts an entry and waits until it is ready.
func startEntry(t *testing.T, binary string, maxFds int) *entryProcess {
	t.Helper()
	upstream, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/a/held" {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Signature", "s")
		_, _ = io.WriteString(w, "served")
	})}
	go func() { _ = server.Serve(upstream) }()
	t.Cleanup(func() { close(release); _ = server.Close() })
	platform, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := store.New(platform, 1, hclog.NewNullLogger())
	t.Cleanup(s.Close)
	s.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "a", "host": "kiosk.example", "pathPrefix": "/a/", "routeKind": "safe", "timeoutMs": 120_000, "service": "plain", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "plain", "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 60_000, "idleTimeoutMs": 60_000},
	})
	s.Put("servers", "i-1", map[string]any{
		"service": "plain", "address": upstream.Addr().String(), "zone": "a", "version": "v1", "slots": 1000, "state": "ready", "sequence": 1,
	})
	ip, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	settings := filepath.Join(dir, "settings")
	limits := fmt.Sprintf("memoryMb = %d\nmaxFds = %d", instanceMB, maxFds)
	if err := os.WriteFile(settings, []byte(settingsFor(ip, platform.Addr().String(), limits)), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(binary, "--settings", settings)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	e := &entryProcess{ip: ip, pid: cmd.Process.Pid, exited: make(chan struct{}), log: out.Name()}
	go func() {
		_ = cmd.Wait()
		close(e.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-e.exited
	})
	for end := time.Now().Add(crowdTimeout); !e.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the entry is not ready:\n%s", e.logTail())
		}
	}
	return e
}

func (e *entryProcess) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + loopback.Port(e.ip, 1) + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entryProcess) alive() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

func (e *entryProcess) logTail() string {
	b, _ := os.ReadFile(e.log)
	return string(b[max(0, len(b)-3000):])
}

// procFile returns the fields of a file of the process in /proc, nil once it has ended.
func (e *entryProcess) procFile(name string) []string {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", e.pid, name))
	if err != nil {
		return nil
	}
	return strings.Fields(string(b))
}

// peakResidentKB returns the peak of the resident memory.
func (e *entryProcess) peakResidentKB() int {
	fields := e.procFile("status")
	for i, f := range fields {
		if f == "VmHWM:" {
			n, _ := strconv.Atoi(fields[i+1])
			return n
		}
	}
	return 0
}

// descriptors returns the number of open descriptors.
func (e *entryProcess) descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.pid))
	return len(list)
}

// processorTicks returns the processor time of the process, in units of the kernel.
func (e *entryProcess) processorTicks() int {
	fields := e.procFile("stat")
	if len(fields) < 15 {
		return 0
	}
	user, _ := strconv.Atoi(fields[13])
	system, _ := strconv.Atoi(fields[14])
	return user + system
}

// settle waits until the process has processed what was sent: it uses hardly any processor time.
func (e *entryProcess) settle(t *testing.T) {
	t.Helper()
	const idleTicks = 5
	for end := time.Now().Add(crowdTimeout); e.alive(); {
		before := e.processorTicks()
		time.Sleep(500 * time.Millisecond)
		if e.processorTicks()-before <= idleTicks {
			return
		}
		if time.Now().After(end) {
			t.Error("the process does not come to rest")
			return
		}
	}
}

// requestOnce sends an ordinary request on a new connection.
func (e *entryProcess) requestOnce(n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), crowdTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+loopback.Port(e.ip, 0)+"/a/x", strings.NewReader("a body"))
	if err != nil {
		return err
	}
	req.Host = "kiosk.example"
	req.Header.Set("Request-Id", fmt.Sprintf("ordinary-%d", n))
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(b) != "served") {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return err
}

// request sends an ordinary request, again if it is not served, as callers do.
func (e *entryProcess) request() error {
	var err error
	for n := range 10 {
		if err = e.requestOnce(n); err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

// kind is a kind of input that a part of a crowd sends.
type kind struct {
	conns int
	port  int // the first or the second of the entry's address: callers, readiness checks
	send  func(w io.Writer, n int) error
}

// run sends the input on all connections, and leaves them open. It returns when each has sent all or
// was closed.
func (k kind) run(t *testing.T, e *entryProcess, wg *sync.WaitGroup) {
	for n := range k.conns {
		wg.Go(func() {
			c, err := net.Dial("tcp", loopback.Port(e.ip, k.port))
			if err != nil {
				return // refused connections are a defence
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetWriteDeadline(time.Now().Add(crowdTimeout))
			// What comes back is discarded, so that the process is never kept from writing.
			go func() { _, _ = io.Copy(io.Discard, c) }()
			_ = k.send(c, n)
		})
	}
}

const (
	megabyte  = 1 << 20
	bodyBytes = 4 << 20 // maxBodyBytes of the configuration
)

func head(path, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: kiosk.example\r\nRequest-Id: r0\r\n%s\r\n", path, fields)
}

func sendAll(parts ...string) func(w io.Writer, n int) error {
	return func(w io.Writer, n int) error {
		for _, p := range parts {
			if _, err := io.WriteString(w, strings.ReplaceAll(p, "Request-Id: r0\r", fmt.Sprintf("Request-Id: r%d\r", n))); err != nil {
				return err
			}
		}
		return nil
	}
}

func repeated(times int, part string) []string {
	out := make([]string, times)
	for i := range out {
		out[i] = part
	}
	return out
}

// shortLines returns header lines of a total size, as short as different names can be.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// kinds are the inputs of the page of requirements, by name.
func kinds() map[string]kind {
	const chunk = 4096
	chunkOf4096 := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	wholeBody := strings.Repeat("x", bodyBytes)
	length := fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	byteChunks := strings.Repeat("1\r\nx\r\n", 10_000)
	return map[string]kind{
		"heads of 1 MB of short lines":       {conns: 60, send: sendAll(head("/a/x", shortLines(megabyte-8192)))},
		"bodies in chunks, not ended":        {conns: 60, send: sendAll(append([]string{head("/a/x", "Transfer-Encoding: chunked\r\n")}, repeated(bodyBytes/chunk-1, chunkOf4096)...)...)},
		"bodies without their last byte":     {conns: 60, send: sendAll(head("/a/x", length), wholeBody[1:])},
		"whole bodies again and again":       {conns: 60, send: sendAll(repeated(8, head("/a/x", length)+wholeBody)...)},
		"endless heads of short lines":       {conns: 60, send: sendAll(append([]string{strings.TrimSuffix(head("/a/x", ""), "\r\n")}, repeated(1000, shortLines(4096))...)...)},
		"legal heads, body without an end":   {conns: 400, send: sendAll(head("/a/x", shortLines(15_000)+"Content-Length: 1000\r\n"), "x")},
		"chunks of one byte":                 {conns: 60, send: sendAll(append([]string{head("/a/x", "Transfer-Encoding: chunked\r\n")}, repeated(200, byteChunks)...)...)},
		"one endless header line":            {conns: 200, send: sendAll(append([]string{strings.TrimSuffix(head("/a/x", ""), "\r\n") + "X: "}, repeated(1000, strings.Repeat("x", 1000))...)...)},
		"endless empty lines":                {conns: 60, send: sendAll(repeated(2000, strings.Repeat("\r\n", 1000))...)},
		"endless trailers of short lines":    {conns: 60, send: sendAll(append([]string{head("/a/x", "Transfer-Encoding: chunked\r\nTrailer: a\r\n"), "1\r\nx\r\n0\r\n"}, repeated(1000, shortLines(4096))...)...)},
		"whole bodies held at an upstream":   {conns: 60, send: sendAll(head("/a/held", length), wholeBody)},
		"heads of 1 MB to readiness checks":  {conns: 60, port: 1, send: sendAll(head("/a/x", shortLines(megabyte-8192)))},
		"heads without an end to the checks": {conns: 60, port: 1, send: sendAll(append([]string{strings.TrimSuffix(head("/a/x", ""), "\r\n")}, repeated(1000, shortLines(4096))...)...)},
	}
}

// mixture returns a part of each kind of a crowd.
func mixture() []kind {
	var out []kind
	for _, k := range kinds() {
		k.conns /= 5
		out = append(out, k)
	}
	return out
}

// Guards against callers whose input ends the process for lack of memory, or takes the descriptors that
// connections to upstreams, other entries and the store need.
func TestCallerInput(t *testing.T) {
	binary := build(t)
	type test struct {
		crowd  []kind
		maxFds int
	}
	silent := func(w io.Writer, _ int) error { return nil }
	tests := map[string]test{
		"a mixture":                     {mixture(), smallestMaxFds},
		"connections without a request": {[]kind{{conns: 700, send: silent}}, 500},
		"connections without a request to the readiness": {[]kind{{conns: 700, port: 1, send: silent}}, 500},
		"connections with a part of a request": {[]kind{{conns: 700, send: func(w io.Writer, n int) error {
			_, err := io.WriteString(w, "GET /a/x HTTP/1.1\r\nHost: kiosk.example\r\n")
			return err
		}}}, 500},
	}
	for name, k := range kinds() {
		tests[name] = test{[]kind{k}, smallestMaxFds}
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, binary, tc.maxFds)
			if err := e.request(); err != nil {
				t.Fatalf("an ordinary request before: %v\n%s", err, e.logTail())
			}
			before := e.peakResidentKB()
			var wg sync.WaitGroup
			for _, k := range tc.crowd {
				k.run(t, e, &wg)
			}
			sent := make(chan struct{})
			go func() {
				wg.Wait()
				close(sent)
			}()
			descriptors := 0
			for waiting := true; waiting; {
				select {
				case <-sent:
					waiting = false
				case <-time.After(10 * time.Millisecond):
				}
				descriptors = max(descriptors, e.descriptors())
			}
			e.settle(t)
			descriptors = max(descriptors, e.descriptors())
			peak := e.peakResidentKB()
			t.Logf("peak resident %d kB, %d kB before; %d descriptors", peak, before, descriptors)
			if !e.alive() {
				t.Fatalf("the process ended:\n%s", e.logTail())
			}
			if peak > maxResidentKB {
				t.Errorf("peak resident memory is %d kB, at most %d kB are wanted", peak, maxResidentKB)
			}
			if most := tc.maxFds - reservedFds; descriptors > most {
				t.Errorf("%d descriptors are open, at most %d are wanted", descriptors, most)
			}
			if err := e.request(); err != nil {
				t.Errorf("an ordinary request is not served: %v\n%s", err, e.logTail())
			}
			if !e.alive() {
				t.Fatalf("the process ended:\n%s", e.logTail())
			}
		})
	}
}
