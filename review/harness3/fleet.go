package main

import (
	"fmt"
	"time"
)

// startReplicas starts one replica of a version of a plain service in each zone.
func (e *env) startReplicas(service, version, ip string, status func(path string) int) ([]*replica, error) {
	var out []*replica
	for i, zone := range zones {
		p := &replica{
			id: fmt.Sprintf("i-%s-%d", version, i+1), service: service, zone: zone, version: version, slots: 6, work: 30 * time.Millisecond,
			status: status, store: e.store, runs: e.runs, rec: e.rec,
		}
		if err := p.start(ip); err != nil {
			return nil, err
		}
		e.rec.printf("replica %s (version %s) started", p.id, version)
		out = append(out, p)
	}
	return out, nil
}

// drainTime is how long a draining replica goes on serving.
const drainTime = 2500 * time.Millisecond

// endAll stops replicas: at once, or after they have drained from a time on.
func endAll(list []*replica, after time.Duration) {
	if after > 0 {
		time.Sleep(after)
		for _, p := range list {
			p.draining.Store(true)
			p.register()
		}
		time.Sleep(drainTime)
	}
	for _, p := range list {
		p.end()
	}
}
