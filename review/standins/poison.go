package main

import (
	"time"
)

// contact is the time after which a machine without disruption is in touch (contactMs).
const contact = 3 * time.Second

// maxRetries is the number of retries of a request after its third crash that the rule allows.
const maxRetries = 3

// restartDelay is the time after which a crashed replica is back.
const restartDelay = 3 * time.Second

// keepReplicas starts a new replica some seconds after one has crashed.
func (s *stage) keepReplicas(b behaviour, stop <-chan struct{}) {
	seen := make(map[string]bool)
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
		list := append([]*replica(nil), s.replicas...)
		s.mu.Unlock()
		for _, r := range list {
			r.mu.Lock()
			crashed := r.stopped && !seen[r.id]
			r.mu.Unlock()
			if crashed {
				seen[r.id] = true
				time.AfterFunc(restartDelay, func() { _, _ = s.addReplica(r.service, r.zone, r.version, b) })
			}
		}
	}
}

// poisoned sends a request that crashes each replica that begins to run it again and again, and counts how
// often it reaches a replica after its third crash.
func poisoned(s *stage, b behaviour, r map[string]any, prefix string, interval time.Duration, times int) (bool, error) {
	const name = "poison"
	if s.trouble {
		b.poison = prefix + name
	}
	if _, err := s.addReplicas(service, "v1", b); err != nil {
		return false, err
	}
	if err := s.start(r); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.keepReplicas(b, stop)
	go s.request.load(prefix+"2f", key, 100, 3*time.Second, stop)
	time.Sleep(2 * time.Second)
	for i := range times {
		if i > 0 {
			time.Sleep(interval)
		}
		a := s.request.send(prefix+name, key, "the same order", 3*time.Second)
		s.record.say("%d. sending: status %d, whole %t", i+1, a.status, a.whole)
	}
	time.Sleep(time.Second)
	var crashes, later int
	var third time.Time
	for _, x := range s.runs.all() {
		if !x.crashed {
			continue
		}
		crashes++
		if crashes == 3 {
			third = x.at
		}
		if crashes > 3 && x.sentAt.After(third.Add(contact)) {
			later++
		}
	}
	s.record.say("the request crashed %d replicas; it reached replicas in %d retries sent later than %s after its third crash, %d are allowed", crashes, later, contact, maxRetries)
	s.record.say("answers to it and to other requests, by path and status (0: no whole answer): %s", s.request.summary())
	return later > maxRetries, nil
}

// slowPoison sends the request every 16 seconds.
func slowPoison(s *stage) (bool, error) {
	const prefix = "/pule252/"
	return poisoned(s, behaviour{work: 30 * time.Millisecond}, route("cut-charge", prefix, "unsafe", 600, 100, 1), prefix, 16*time.Second, 7)
}

// poisonStream sends a streaming request that crashes replicas after its first event every 5 seconds.
func poisonStream(s *stage) (bool, error) {
	const prefix = "/lohu930/"
	b := behaviour{work: 15 * time.Millisecond, events: 5, eventsBeforeCrash: 1}
	return poisoned(s, b, route("profile-match", prefix, "streaming", 15000, 1000, 1), prefix, 5*time.Second, 10)
}
