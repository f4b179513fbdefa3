// Package sequoiasill defines the domain types of the serving system, such as
// requests, organisations, upstreams, instances, moves and verdicts. It performs
// no I/O and has no dependencies.
package sequoiasill

import "slices"

// Config is one validated generation of the configuration. It is immutable.
type Config struct {
	Generation    uint64
	Organisations []Organisation
	Services      []Service
	Pools         []Pool
	Moves         []Move
}

// WithGeneration returns a copy of c with the given generation.
func (c Config) WithGeneration(g uint64) Config {
	c.Generation = g
	return c
}

// Organisation looks up an organisation by name.
func (c Config) Organisation(name string) (Organisation, bool) {
	return find(c.Organisations, func(o Organisation) bool { return o.Name == name })
}

// OrganisationByKey looks up an organisation by bearer key.
func (c Config) OrganisationByKey(key string) (Organisation, bool) {
	hash := HashKey(key)
	return find(c.Organisations, func(o Organisation) bool { return o.HasKeyHash(hash) })
}

// Service looks up a service by name.
func (c Config) Service(name string) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// Pool looks up a pool by name.
func (c Config) Pool(name string) (Pool, bool) {
	return find(c.Pools, func(p Pool) bool { return p.Name == name })
}

// Move looks up a move by name.
func (c Config) Move(name string) (Move, bool) {
	return find(c.Moves, func(m Move) bool { return m.Name == name })
}

func find[T any](list []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		var zero T
		return zero, false
	}
	return list[i], true
}
