package main

import (
	"bytes"
	"os"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill/platform/loader"
)

// target takes settings and returns the names of those that it can only take when it
// starts.
type target interface {
	Reload(s loader.Settings) (later []string)
}

// reloader puts a settings file that has changed in force. Faulty settings change
// nothing.
type reloader struct {
	path   string
	target target
	log    hclog.Logger
	last   []byte // content of the file as it was last seen
}

// newReloader returns a reloader that has seen the file as it is.
func newReloader(path string) *reloader {
	r := &reloader{path: path}
	r.changed()
	return r
}

// changed reports whether the file differs from what it was the last time. One that
// cannot be read has not changed: it may be about to be replaced.
func (r *reloader) changed() bool {
	b, err := os.ReadFile(r.path)
	if err != nil || bytes.Equal(b, r.last) {
		return false
	}
	r.last = b
	return true
}

func (r *reloader) reload() {
	s, faults, err := loader.Load(r.path)
	if err != nil || len(faults) > 0 {
		r.log.Warn("settings are faulty; the earlier ones stay in force", "faults", faults, "error", err)
		return
	}
	r.log.Info("settings in force", "atNextStart", r.target.Reload(s))
}
