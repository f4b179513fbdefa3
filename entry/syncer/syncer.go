// Package syncer keeps an entry's copies of platform state up to date: the
// configuration, the instance list and the upstreams' load reports.
package syncer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

// Delta is the difference from an older generation to a newer one: the names of all
// parts of the newer one, and those parts that the older one lacks. A Delta of
// generation 0 is empty.
type Delta struct {
	Generation uint64
	Names      []string
	Parts      []encoder.Part
}

// Configs holds the current configuration, whose generation never decreases. It is
// safe for concurrent use.
type Configs struct {
	current atomic.Pointer[sequoiasill.Config]
	log     hclog.Logger

	mu               sync.Mutex
	onChange         []func(sequoiasill.Config)
	parts            []encoder.Part      // of the current generation, in order
	history          map[uint64][]string // names of the parts of recent generations
	highestAnnounced uint64              // highest accepted generation known to this entry
}

// maxHistory is the number of recent generations whose part names are kept for
// DeltaFrom.
const maxHistory = 64

// NewConfigs returns a Configs with the empty configuration, generation zero.
func NewConfigs(log hclog.Logger) *Configs {
	c := &Configs{log: log.Named("config"), history: make(map[uint64][]string)}
	c.current.Store(&sequoiasill.Config{})
	return c
}

// Current returns the current configuration.
func (c *Configs) Current() sequoiasill.Config { return *c.current.Load() }

// NoteGeneration records that a generation was accepted. An entry that starts is not ready
// until it has the highest generation recorded so.
func (c *Configs) NoteGeneration(generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestAnnounced = max(c.highestAnnounced, generation)
}

// Behind reports whether a higher generation than the current one is known to be
// accepted, or there is no configuration yet.
func (c *Configs) Behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Current().Generation < max(c.highestAnnounced, 1)
}

// OnChange registers a function that is called with each new configuration. Calls
// are serialised. OnChange must be called before the first change.
func (c *Configs) OnChange(f func(sequoiasill.Config)) { c.onChange = append(c.onChange, f) }

// Accept makes a generation the current one if it is higher, and reports whether
// it did. Parts that the delta lacks are taken from the current generation.
func (c *Configs) Accept(d Delta, source string) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Generation <= c.Current().Generation {
		return false, nil
	}
	parts, err := c.mergeParts(d)
	if err != nil {
		return false, err
	}
	cfg, err := encoder.Decode(d.Generation, parts)
	if err != nil {
		return false, err
	}
	c.parts = parts
	c.history[d.Generation] = d.Names
	if len(c.history) > maxHistory {
		oldest := d.Generation
		for g := range c.history {
			oldest = min(oldest, g)
		}
		delete(c.history, oldest)
	}
	c.highestAnnounced = max(c.highestAnnounced, d.Generation)
	c.current.Store(&cfg)
	for _, f := range c.onChange {
		f(cfg)
	}
	c.log.Info("configuration in force", "generation", cfg.Generation, "source", source)
	return true, nil
}

func (c *Configs) mergeParts(d Delta) ([]encoder.Part, error) {
	values := make(map[string][]byte, len(c.parts)+len(d.Parts))
	for _, p := range c.parts {
		values[p.Name] = p.Value
	}
	for _, p := range d.Parts {
		values[p.Name] = p.Value
	}
	parts := make([]encoder.Part, 0, len(d.Names))
	for _, name := range d.Names {
		value, ok := values[name]
		if !ok {
			return nil, errors.Errorf("generation %d: part %s is missing", d.Generation, name)
		}
		parts = append(parts, encoder.Part{Name: name, Value: value})
	}
	return parts, nil
}

// DeltaFrom returns the difference from a generation to the current one, or an empty
// Delta if the current one is not higher. If the generation is no longer in the
// history, the Delta contains all parts.
func (c *Configs) DeltaFrom(generation uint64) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Delta{Generation: c.Current().Generation}
	if d.Generation <= generation {
		return Delta{}
	}
	known := c.history[generation]
	for _, p := range c.parts {
		d.Names = append(d.Names, p.Name)
		if !slices.Contains(known, p.Name) {
			d.Parts = append(d.Parts, p)
		}
	}
	return d
}

// Reader reads the accepted configuration.
type Reader interface {
	// Read returns the configuration in the store, without the parts for which known
	// returns true, and the version of the head object.
	Read(known func(name string) bool) (Delta, uint64, error)
}

// Watcher waits for changes of stored objects.
type Watcher interface {
	Watch(prefix string, after uint64) ([]storer.Change, error)
}

// retryInterval is the delay after a failed call to the platform.
const retryInterval = 250 * time.Millisecond

// Watch watches the head object in the store and passes each newer generation to
// handle, until the returned function is called. While enabled returns false, the
// store is not read.
func (c *Configs) Watch(r Reader, w Watcher, enabled func() bool, handle func(Delta)) (stop func()) {
	done := make(chan struct{})
	go func() {
		var seen uint64
		for !closed(done) {
			if !enabled() {
				waitForRetry(done)
				continue
			}
			delta, version, err := r.Read(c.hasPart)
			if err != nil {
				c.log.Warn("configuration not read", "error", err)
				waitForRetry(done)
				continue
			}
			seen = max(seen, version)
			if delta.Generation > c.Current().Generation {
				handle(delta)
			}
			if _, err := w.Watch(encoder.HeadName, seen); err != nil {
				waitForRetry(done)
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

func (c *Configs) hasPart(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.parts, func(p encoder.Part) bool { return p.Name == name })
}

func closed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func waitForRetry(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(retryInterval):
	}
}
