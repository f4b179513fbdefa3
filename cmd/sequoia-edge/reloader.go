package main

import (
	"bytes"
	"os"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill/platform/loader"
)

// target applies new settings and returns the names of the changed ones that need a
// restart.
type target interface {
	Reload(s loader.Settings) (needRestart []string)
}

// reloader applies the settings file after a change. It ignores invalid settings.
type reloader struct {
	path        string
	target      target
	log         hclog.Logger
	lastContent []byte // content of the file at the last check
}

// newReloader returns a reloader that treats the current content as unchanged.
func newReloader(path string) *reloader {
	r := &reloader{path: path}
	r.changed()
	return r
}

// changed reports whether the file differs from its content at the last check. An
// unreadable file counts as unchanged, as it may be about to be replaced.
func (r *reloader) changed() bool {
	b, err := os.ReadFile(r.path)
	if err != nil || bytes.Equal(b, r.lastContent) {
		return false
	}
	r.lastContent = b
	return true
}

func (r *reloader) reload() {
	s, problems, err := loader.Load(r.path)
	if err != nil || len(problems) > 0 {
		r.log.Warn("settings are faulty; the earlier ones stay in force", "faults", problems, "error", err)
		return
	}
	r.log.Info("settings in force", "atNextStart", r.target.Reload(s))
}
