package soaker_test

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/auditor"
	"sequoiasill.dev/sequoiasill/standin/soaker"
)

// TestShortSoak plays the seeds that once failed, and one more, briefly.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "sequoia-edge")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/sequoia-edge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for name, o := range seeds(t) {
		t.Run(name, func(t *testing.T) {
			o.Binary, o.Dir = binary, t.TempDir()
			o.Span, o.Entries, o.Replicas, o.Engines, o.Callers, o.Rate = 4*time.Second, 3, 3, 3, 8, 80
			o.Repeats = auditor.Bound{Ratio: 0.2, Slack: 58, Window: 10 * sequoiasill.Second}
			broken, counts, err := soaker.Run(o)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range broken {
				t.Error(b)
			}
			if counts.Good == 0 {
				t.Error("no call was served")
			}
		})
	}
}

// seeds reads the seeds to play.
func seeds(t *testing.T) map[string]soaker.Options {
	t.Helper()
	f, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	out := map[string]soaker.Options{"1 mixed": {Seed: 1}}
	s := bufio.NewScanner(f)
	for s.Scan() {
		fields := strings.Fields(s.Text())
		if len(fields) < 3 || fields[0] == "#" {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			t.Fatalf("seed %q: %v", fields[0], err)
		}
		out[fields[0]+" "+fields[1]] = soaker.Options{Seed: seed, Planned: fields[1] == "planned", Storm: fields[1] == "storm"}
	}
	if err := s.Err(); err != nil {
		t.Fatal(err)
	}
	return out
}
