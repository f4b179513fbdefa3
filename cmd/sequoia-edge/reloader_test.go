package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/platform/loader"
)

// recordingTarget records the grace times of the settings that it receives.
type recordingTarget struct{ graces []sequoiasill.Millis }

func (t *recordingTarget) Reload(s loader.Settings) []string {
	t.graces = append(t.graces, s.Bounds.Grace)
	return nil
}

func TestReload(t *testing.T) {
	settings := validSettings(t)
	second := sequoiasill.Second
	changed := strings.Replace(settings, "graceS = 3", "graceS = 7", 1)
	tests := map[string]struct {
		file string // content that replaces the first one, empty to remove the file
		hup  bool
		want []sequoiasill.Millis
	}{
		"a change without a signal":  {changed, false, []sequoiasill.Millis{7 * second}},
		"a change with a signal":     {changed, true, []sequoiasill.Millis{7 * second}},
		"a signal without a change":  {settings, true, []sequoiasill.Millis{3 * second}},
		"neither":                    {settings, false, nil},
		"faulty settings":            {"zone = 3", true, nil},
		"a file that is gone":        {"", false, nil},
		"a setting out of its range": {strings.Replace(settings, "graceS = 3", "graceS = 0", 1), false, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "settings")
			if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
				t.Fatal(err)
			}
			target := &recordingTarget{}
			signals := make(chan os.Signal)
			done := make(chan struct{})
			r := newReloader(path)
			r.target, r.log = target, hclog.NewNullLogger()
			go func() {
				defer close(done)
				wait(signals, r)
			}()
			replace(t, path, tc.file)
			if tc.hup {
				signals <- syscall.SIGHUP
			}
			time.Sleep(pollInterval + pollInterval/2)
			signals <- syscall.SIGTERM
			<-done
			if diff := cmp.Diff(tc.want, target.graces); diff != "" {
				t.Errorf("applied grace times (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against stops that take the grace period of earlier settings: the file may change shortly before
// the signal.
func TestSettingsChangeBeforeTermination(t *testing.T) {
	path, settings := filepath.Join(t.TempDir(), "settings"), validSettings(t)
	replace(t, path, settings)
	target := &recordingTarget{}
	signals := make(chan os.Signal, 1)
	r := newReloader(path)
	r.target, r.log = target, hclog.NewNullLogger()
	replace(t, path, strings.Replace(settings, "graceS = 3", "graceS = 2", 1))
	signals <- syscall.SIGTERM
	wait(signals, r)
	if diff := cmp.Diff([]sequoiasill.Millis{2 * sequoiasill.Second}, target.graces); diff != "" {
		t.Errorf("applied grace times (-want +got):\n%s", diff)
	}
}

// replace atomically replaces the content of a file, or removes the file if text is
// empty.
func replace(t *testing.T, path, text string) {
	t.Helper()
	if text == "" {
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		return
	}
	next := path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, path); err != nil {
		t.Fatal(err)
	}
}
