// Package applier writes configurations to the platform's store and reads them.
// A configuration is accepted by a single conditional write of the head object.
package applier

import (
	"fmt"
	"slices"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

// Store is the part of the object API that this package uses.
type Store interface {
	Get(name string) (storer.Object, error)
	Put(name string, value []byte, version uint64) (uint64, error)
}

// Conflict is the error returned when another configuration was accepted first.
type Conflict struct {
	Expected uint64
	Found    uint64
}

// Error returns a message with both generations.
func (c *Conflict) Error() string {
	return fmt.Sprintf("generation %d was accepted meanwhile, this change was made against %d", c.Found, c.Expected)
}

// Result is the result of Apply.
type Result struct {
	Generation uint64
	Changed    bool
}

// Apply stores cfg as the generation after base, or after the current generation
// if base is zero. If cfg equals the current configuration, nothing is written.
// After an error other than a Conflict, cfg may or may not have been accepted.
func Apply(store Store, cfg sequoiasill.Config, base uint64) (Result, error) {
	parts, err := encoder.Encode(cfg)
	if err != nil {
		return Result{}, err
	}
	head, version, err := readHead(store)
	if err != nil {
		return Result{}, err
	}
	names := make([]string, 0, len(parts))
	for _, p := range parts {
		names = append(names, p.Name)
	}
	if slices.Equal(head.Parts, names) {
		return Result{Generation: head.Generation}, nil
	}
	if base != 0 && head.Generation != base {
		return Result{}, &Conflict{Expected: base, Found: head.Generation}
	}
	if err := putParts(store, parts, head.Parts); err != nil {
		return Result{}, err
	}
	next := encoder.Head{Generation: head.Generation + 1, Parts: names}
	return putHead(store, next, version)
}

// putParts writes the parts that don't exist yet.
func putParts(store Store, parts []encoder.Part, existing []string) error {
	for _, p := range parts {
		if slices.Contains(existing, p.Name) {
			continue
		}
		_, err := store.Put(p.Name, p.Value, 0)
		if err == nil || errors.Is(err, storer.ErrConflict) {
			continue
		}
		if o, readErr := store.Get(p.Name); readErr != nil || string(o.Value) != string(p.Value) {
			return errors.Annotate(err, "write part")
		}
	}
	return nil
}

// putHead writes the head object. If the write fails, it reads the object back to
// find out whether the write took effect, as only the response may have been lost.
func putHead(store Store, next encoder.Head, version uint64) (Result, error) {
	value, err := encoder.EncodeHead(next)
	if err != nil {
		return Result{}, err
	}
	_, err = store.Put(encoder.HeadName, value, version)
	if err == nil {
		return Result{Generation: next.Generation, Changed: true}, nil
	}
	found, _, readErr := readHead(store)
	if readErr != nil {
		return Result{}, errors.Annotate(err, "write head, outcome unknown")
	}
	if found.Generation == next.Generation && slices.Equal(found.Parts, next.Parts) {
		return Result{Generation: next.Generation, Changed: true}, nil
	}
	if errors.Is(err, storer.ErrConflict) {
		return Result{}, &Conflict{Expected: next.Generation - 1, Found: found.Generation}
	}
	return Result{}, errors.Annotate(err, "write head")
}

func readHead(store Store) (encoder.Head, uint64, error) {
	o, err := store.Get(encoder.HeadName)
	if errors.Is(err, storer.ErrNotFound) {
		return encoder.Head{}, 0, nil
	}
	if err != nil {
		return encoder.Head{}, 0, errors.Annotate(err, "read head")
	}
	h, err := encoder.DecodeHead(o.Value)
	return h, o.Version, err
}

// Load returns the accepted configuration, or one with generation zero if none
// has been accepted.
func Load(store Store) (sequoiasill.Config, error) {
	head, parts, _, err := Read(store, func(string) bool { return false })
	if err != nil {
		return sequoiasill.Config{}, err
	}
	return encoder.Decode(head.Generation, parts)
}

// Read returns the head object, its parts for which known returns false, and the
// object version of the head.
func Read(store Store, known func(name string) bool) (encoder.Head, []encoder.Part, uint64, error) {
	head, version, err := readHead(store)
	if err != nil {
		return encoder.Head{}, nil, 0, err
	}
	var parts []encoder.Part
	for _, name := range head.Parts {
		if known(name) {
			continue
		}
		o, err := store.Get(name)
		if err != nil {
			return encoder.Head{}, nil, 0, errors.Annotate(err, "read part")
		}
		parts = append(parts, encoder.Part{Name: name, Value: o.Value})
	}
	return head, parts, version, nil
}
