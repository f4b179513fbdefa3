package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill/standin/loopback"
)

// validSettings returns settings for an address of their own; no process listens on their platform
// addresses.
func validSettings(t *testing.T) string {
	t.Helper()
	ip, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return settingsFor(ip, "127.9.9.9:1", "")
}

// settingsFor returns settings for an address and a platform, with the lines of the limits.
func settingsFor(ip, platform, limits string) string {
	return fmt.Sprintf(`
nodeName = "e1"
zone = "a"
ip = %q
internalPortRange = [%d,%d]
[listen]
frontend = %q
ready = %q
[limits]
%s
[bounds]
graceS = 3
retryWindowS = 10
quotaWindowS = 8
usageWindowS = 5
[platform]
address = %q
[cloudApi]
address = %q
`, ip, loopback.FirstPort+2, loopback.FirstPort+3, loopback.Port(ip, 0), loopback.Port(ip, 1), limits, platform, platform)
}

// grace is the grace period in the settings.
const grace = 3 * time.Second

func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sequoia-edge")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// Signals that arrive during startup are handled as they are later. A SIGTERM before
// the handler was installed ended the process with "signal: terminated" instead of a
// graceful shutdown, and a SIGHUP would end it too.
func TestSignalsWhileStarting(t *testing.T) {
	binary := build(t)
	for name, signals := range map[string][]syscall.Signal{
		"terminate":            {syscall.SIGTERM},
		"reload and terminate": {syscall.SIGHUP, syscall.SIGTERM},
		"terminate twice":      {syscall.SIGTERM, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			settings := validSettings(t)
			fifo := filepath.Join(t.TempDir(), "settings")
			if err := syscall.Mkfifo(fifo, 0o600); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			cmd := exec.CommandContext(ctx, binary, "--settings", fifo)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			// Opening for writing returns once the process reads its settings.
			f, err := os.OpenFile(fifo, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range signals {
				if err := cmd.Process.Signal(s); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(50 * time.Millisecond)
			if _, err := f.WriteString(settings); err != nil {
				t.Fatal(err)
			}
			// Replaces the pipe by a file, which a reload can read, before the pipe is closed.
			if err := os.Remove(fifo); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(fifo, []byte(settings), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := f.Close(); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			if err := cmd.Wait(); err != nil {
				t.Errorf("ended with %v", err)
			}
			if took := time.Since(began); took > grace {
				t.Errorf("ended after %s of %s", took, grace)
			}
		})
	}
}

func TestFaultySettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte(`zone = "a"`), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(build(t), "--settings", path).CombinedOutput()
	var exit *exec.ExitError
	if err == nil {
		t.Fatalf("started: %s", out)
	}
	if !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Errorf("ended with %v, code 2 is wanted:\n%s", err, out)
	}
}
