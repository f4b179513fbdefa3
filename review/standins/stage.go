package main

import (
	"errors"
	"os"
	"sync"
	"time"
)

// stage holds the entries and the stand-ins of one run.
type stage struct {
	trouble  bool
	dir      string
	keep     bool
	record   *record
	platform *platform
	entries  []*entry
	request  *requesters
	runs     *runs

	mu       sync.Mutex
	replicas []*replica
	once     sync.Once
}

func newStage(recordPath, program, keep string, trouble bool) (*stage, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	s := &stage{trouble: trouble, record: rec, runs: &runs{}, dir: keep, keep: keep != ""}
	if !s.keep {
		if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
			return nil, err
		}
	}
	if s.platform, err = newPlatform(rec); err != nil {
		return nil, err
	}
	if s.entries, err = newEntries(s.dir, program, s.platform, rec); err != nil {
		return nil, err
	}
	s.request = newRequesters(s.entries, rec)
	return s, nil
}

// close ends all processes and writes the record.
func (s *stage) close() {
	s.once.Do(func() {
		for _, e := range s.entries {
			e.kill()
		}
		s.record.flush()
		if !s.keep {
			_ = os.RemoveAll(s.dir)
		}
	})
}

// addReplica starts a replica.
func (s *stage) addReplica(service, zone, version string, b behaviour) (*replica, error) {
	r, err := startReplica(s.platform, s.runs, s.record, s.request.sentAt, service, zone, version, b)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas = append(s.replicas, r)
	return r, nil
}

// addReplicas starts one replica a zone.
func (s *stage) addReplicas(service, version string, b behaviour) ([]*replica, error) {
	var out []*replica
	for _, zone := range zones {
		r, err := s.addReplica(service, zone, version, b)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

const (
	service = "kiosk-api"
	key     = "3d3zji9n73hh2b9wu3fe"
	tenant  = "huka270"
)

// route returns a route of the configuration.
func route(name, prefix, kind string, timeoutMs, targetMs, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs, "priority": 2,
		"service": service, "maxAttempts": attempts, "anonymous": false,
	}
	if kind == "streaming" {
		r["resumable"], r["targetItlMs"] = false, 400
	}
	return r
}

// start writes the first configuration, starts the entries and waits until all are ready.
func (s *stage) start(routes ...map[string]any) error {
	s.platform.put("config", "main", map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": tenant, "apiKeys": []string{key}, "priority": 1}},
	})
	for _, e := range s.entries {
		if err := e.start(); err != nil {
			return err
		}
		go e.watchReadiness()
	}
	if !s.wait(20*time.Second, func() bool {
		for _, e := range s.entries {
			if !e.isUp() {
				return false
			}
		}
		return true
	}) {
		return errors.New("the entries are not ready")
	}
	for _, e := range s.entries {
		if err := e.notFirstStart(); err != nil {
			return err
		}
	}
	return nil
}

// wait waits until a condition holds, and reports whether it does.
func (s *stage) wait(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
