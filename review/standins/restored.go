package main

import (
	"errors"
	"fmt"
	"time"
)

// restoredStore lets the duties move from one machine to another, and then all machines and the store lose
// power; the store comes back from a copy from before the hand-over. Two machines then must not use one
// fencing token.
func restoredStore(s *stage) (bool, error) {
	s.platform.hasEra = true
	s.entries = s.entries[:2]
	s.request.entries = s.entries
	if _, err := s.addReplicas(service, "v1", behaviour{work: 15 * time.Millisecond}); err != nil {
		return false, err
	}
	const prefix = "/pule252/"
	if err := s.start(route("cut-charge", prefix, "unsafe", 600, 100, 1)); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.request.load(prefix+"2f", key, 20, 600*time.Millisecond, stop)
	if !s.wait(30*time.Second, func() bool { return len(s.platform.dutyCalls()) > 0 }) {
		return false, errors.New("no duty was done")
	}
	first := s.holder()
	s.record.say("%s does the duties", first.name)
	handOver := time.Now()
	first.kill()
	if !s.wait(30*time.Second, func() bool { return s.holder() != first }) {
		return false, errors.New("no other machine took the duties over")
	}
	second := s.holder()
	s.record.say("%s does the duties %s later", second.name, time.Since(handOver).Round(time.Millisecond))
	second.kill()
	s.platform.setDown(true)
	time.Sleep(time.Second)
	if s.trouble {
		s.platform.restore(handOver)
	}
	s.platform.setDown(false)
	if err := first.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := second.start(); err != nil {
		return false, err
	}
	before := len(s.platform.dutyCalls())
	s.wait(30*time.Second, func() bool { return len(s.platform.dutyCalls()) >= before+2 })
	return s.sharedToken(), nil
}

// holder returns the entry that made the last call of a duty.
func (s *stage) holder() *entry {
	calls := s.platform.dutyCalls()
	for _, e := range s.entries {
		if len(calls) > 0 && e.name == calls[len(calls)-1].holder {
			return e
		}
	}
	return nil
}

// sharedToken reports whether two holders sent the same token for one duty and subject.
func (s *stage) sharedToken() bool {
	holders := make(map[string]string)
	broken := false
	for _, c := range s.platform.dutyCalls() {
		k := fmt.Sprintf("%s, token %d", c.subject, c.token)
		if holders[k] != "" && holders[k] != c.holder {
			s.record.say("%s: sent by %s and by %s", k, holders[k], c.holder)
			broken = true
		}
		holders[k] = c.holder
	}
	s.record.say("calls of duties: %v", holders)
	return broken
}
