package parser

import (
	"regexp"

	"sequoiasill.dev/sequoiasill"
)

// The structure of a declaration file.
type document struct {
	Organisations []wireOrganisation `yaml:"organisations"`
	Pools         []wirePool         `yaml:"pools"`
	Services      []wireService      `yaml:"services"`
	Moves         []wireMove         `yaml:"moves"`
}

type wireOrganisation struct {
	Name      located[string]   `yaml:"name"`
	Weight    located[int]      `yaml:"weight"`
	KeyHashes []located[string] `yaml:"keyHashes"`
	Services  []located[string] `yaml:"services"`
}

type wirePool struct {
	Name    located[string] `yaml:"name"`
	Kind    located[string] `yaml:"kind"`
	Fencing bool            `yaml:"fencing"`
	Slots   located[int]    `yaml:"slots"`
}

type wireService struct {
	Name    located[string] `yaml:"name"`
	Kind    located[string] `yaml:"kind"`
	Pool    located[string] `yaml:"pool"`
	Version located[string] `yaml:"version"`
	Routes  []wireRoute     `yaml:"routes"`
}

type wireRoute struct {
	Path               located[string] `yaml:"path"`
	Idempotent         bool            `yaml:"idempotent"`
	CallerNeverRepeats bool            `yaml:"callerNeverRepeats"`
	Timeout            located[string] `yaml:"timeout"`
}

type wireMove struct {
	Name     located[string] `yaml:"name"`
	Service  located[string] `yaml:"service"`
	From     located[string] `yaml:"from"`
	To       located[string] `yaml:"to"`
	Start    located[string] `yaml:"start"`
	Deadline located[string] `yaml:"deadline"`
}

// Limits of declared numbers.
const (
	maxWeight    = 1000
	maxSlots     = 4096
	defaultSlots = 16
)

// defaultRouteTimeout is the timeout of routes that declare none.
const defaultRouteTimeout = 30 * sequoiasill.Second

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// compiler validates declarations and builds the configuration.
type compiler struct {
	now        sequoiasill.Millis
	file       string
	cfg        sequoiasill.Config
	declaredIn map[string]string // maps "kind/name" to the declaring file
	checks     []deferredCheck
	problems   []Problem
}

// deferredCheck validates a reference after all files are collected, since its
// target may be declared in a later file.
type deferredCheck struct {
	file string
	run  func()
}

func newCompiler(now sequoiasill.Millis) *compiler {
	return &compiler{now: now, declaredIn: make(map[string]string)}
}

func (c *compiler) compile() sequoiasill.Config {
	for _, check := range c.checks {
		c.file = check.file
		check.run()
	}
	return c.cfg
}

func (c *compiler) deferCheck(run func()) {
	c.checks = append(c.checks, deferredCheck{file: c.file, run: run})
}

func (c *compiler) collect(d document) {
	for _, o := range d.Organisations {
		c.addOrganisation(o)
	}
	for _, p := range d.Pools {
		c.addPool(p)
	}
	for _, s := range d.Services {
		c.addService(s)
	}
	for _, m := range d.Moves {
		c.addMove(m)
	}
}

// declare validates a name and records it; within a kind, names must be unique.
func (c *compiler) declare(kind string, name located[string]) {
	if !namePattern.MatchString(name.Value) {
		c.addProblem(name, "%s name %q must be lower case letters, digits, dots and hyphens", kind, name.Value)
		return
	}
	if file, taken := c.declaredIn[kind+"/"+name.Value]; taken {
		c.addProblem(name, "%s %q is declared twice, first in %s", kind, name.Value, file)
		return
	}
	c.declaredIn[kind+"/"+name.Value] = c.file
}

func (c *compiler) addOrganisation(w wireOrganisation) {
	c.declare("organisation", w.Name)
	o := sequoiasill.Organisation{Name: w.Name.Value, Weight: w.Weight.Value}
	if w.Weight.line == 0 {
		o.Weight = 1
	} else if o.Weight < 1 || o.Weight > maxWeight {
		c.addProblem(w.Weight, "weight %d is not between 1 and %d", o.Weight, maxWeight)
	}
	for _, h := range w.KeyHashes {
		if !hashPattern.MatchString(h.Value) {
			c.addProblem(h, "key hash is not a SHA-256 in lower case hexadecimal")
		}
		o.KeyHashes = append(o.KeyHashes, h.Value)
	}
	for _, s := range w.Services {
		o.Services = append(o.Services, s.Value)
		c.deferCheck(func() {
			if _, ok := c.cfg.Service(s.Value); !ok {
				c.addProblem(s, "organisation %q names service %q, which is not declared", o.Name, s.Value)
			}
		})
	}
	c.cfg.Organisations = append(c.cfg.Organisations, o)
}

func (c *compiler) parseKind(k located[string], owner located[string]) sequoiasill.Kind {
	switch kind := sequoiasill.Kind(k.Value); kind {
	case sequoiasill.Model, sequoiasill.Plain:
		return kind
	}
	if k.line == 0 {
		c.addProblem(owner, "%q has no kind; it must be model or plain", owner.Value)
	} else {
		c.addProblem(k, "kind %q is neither model nor plain", k.Value)
	}
	return ""
}

func (c *compiler) addPool(w wirePool) {
	c.declare("pool", w.Name)
	p := sequoiasill.Pool{Name: w.Name.Value, Kind: c.parseKind(w.Kind, w.Name), Fencing: w.Fencing, Slots: w.Slots.Value}
	if w.Slots.line == 0 {
		p.Slots = defaultSlots
	} else if p.Slots < 1 || p.Slots > maxSlots {
		c.addProblem(w.Slots, "slots %d is not between 1 and %d", p.Slots, maxSlots)
	}
	c.cfg.Pools = append(c.cfg.Pools, p)
}

func (c *compiler) addService(w wireService) {
	c.declare("service", w.Name)
	s := sequoiasill.Service{Name: w.Name.Value, Kind: c.parseKind(w.Kind, w.Name), Pool: w.Pool.Value, Version: w.Version.Value}
	if s.Version == "" {
		c.addProblem(w.Name, "service %q has no version", s.Name)
	}
	at := positioned(w.Pool)
	if w.Pool.line == 0 {
		at = w.Name
	}
	c.deferCheck(func() {
		p, ok := c.cfg.Pool(s.Pool)
		switch {
		case !ok:
			c.addProblem(at, "service %q names pool %q, which is not declared", s.Name, s.Pool)
		case s.Kind != "" && p.Kind != "" && p.Kind != s.Kind:
			c.addProblem(at, "service %q is %s but pool %q is %s", s.Name, s.Kind, p.Name, p.Kind)
		}
	})
	for _, r := range w.Routes {
		s.Routes = append(s.Routes, c.parseRoute(r))
	}
	c.cfg.Services = append(c.cfg.Services, s)
}

func (c *compiler) parseRoute(w wireRoute) sequoiasill.Route {
	r := sequoiasill.Route{
		Path: w.Path.Value, Idempotent: w.Idempotent, CallerNeverRepeats: w.CallerNeverRepeats, Timeout: defaultRouteTimeout,
	}
	if r.Path == "" || r.Path[0] != '/' {
		c.addProblem(w.Path, "path %q must start with a slash", r.Path)
	}
	if w.Timeout.line > 0 {
		timeout, err := parseDuration(w.Timeout.Value)
		if err != nil {
			c.addProblem(w.Timeout, "timeout: %v", err)
		}
		r.Timeout = timeout
	}
	return r
}

func (c *compiler) addMove(w wireMove) {
	c.declare("move", w.Name)
	m := sequoiasill.Move{Name: w.Name.Value, Service: w.Service.Value, From: w.From.Value, To: w.To.Value, Start: c.now}
	if w.Start.line > 0 {
		m.Start = c.parseTime("start", w.Start)
	}
	m.Deadline = c.parseTime("deadline", w.Deadline)
	switch {
	case w.Deadline.line == 0:
		c.addProblem(w.Name, "move %q has no deadline", m.Name)
	case m.Deadline != 0 && m.Deadline <= c.now:
		c.addProblem(w.Deadline, "deadline %s has passed", w.Deadline.Value)
	case m.Deadline != 0 && m.Deadline <= m.Start:
		c.addProblem(w.Deadline, "deadline %s is not after the start", w.Deadline.Value)
	}
	if m.From == "" || m.To == "" || m.From == m.To {
		c.addProblem(w.Name, "move %q needs two different versions, from and to", m.Name)
	}
	c.deferCheck(func() { c.checkMove(w, m) })
	c.cfg.Moves = append(c.cfg.Moves, m)
}

func (c *compiler) checkMove(w wireMove, m sequoiasill.Move) {
	s, ok := c.cfg.Service(m.Service)
	if !ok {
		c.addProblem(w.Service, "move %q names service %q, which is not declared", m.Name, m.Service)
		return
	}
	if s.Version != m.From {
		c.addProblem(w.From, "move %q starts from %q but service %q runs %q", m.Name, m.From, s.Name, s.Version)
	}
	for _, other := range c.cfg.Moves {
		if other.Service == m.Service && other.Name < m.Name {
			c.addProblem(w.Name, "moves %q and %q both shift service %q", other.Name, m.Name, m.Service)
		}
	}
}

func (c *compiler) parseTime(key string, value located[string]) sequoiasill.Millis {
	if value.line == 0 {
		return 0
	}
	t, err := ParseTime(value.Value)
	if err != nil {
		c.addProblem(value, "%s: %v", key, err)
	}
	return t
}
