package main

import (
	"sync"
	"time"
)

const (
	streamPrefix = "/pufi791/"
	// streamBudget is the time budget of a stream.
	streamBudget = 15 * time.Second
	// silenceAt is when the replicas fall silent, counted from SIGTERM, and silenceTime how long they are.
	silenceAt   = 1300 * time.Millisecond
	silenceTime = 1300 * time.Millisecond
	// settleTime is the time before a SIGTERM in which the entries serve in calm.
	settleTime = 11 * time.Second
	rounds     = 4
)

// silentStop stops the entries in turn. During each stop all replicas are silent for a moment and go on.
// No stream may be cut for it before the last sixth of the grace period.
func silentStop(s *stage) (bool, error) {
	quiet := &silence{}
	b := behaviour{work: 240 * time.Millisecond, first: 300 * time.Millisecond, events: 20, silence: quiet, slots: 64}
	if _, err := s.addReplicas(service, "v1", b); err != nil {
		return false, err
	}
	r := route("attendant-query", streamPrefix, "streaming", 15000, 600, 2)
	r["resumable"] = true
	if err := s.start(r); err != nil {
		return false, err
	}
	broken := false
	for i := range rounds {
		if s.silentRound(s.entries[i%len(s.entries)], quiet) {
			broken = true
			break
		}
	}
	s.record.say("answers by path and status (0: no whole answer): %s", s.request.summary())
	return broken, nil
}

// silentRound stops one entry, which gets few requests while the others get more, and reports whether it cut
// a stream.
func (s *stage) silentRound(stopped *entry, quiet *silence) bool {
	var mu sync.Mutex
	var answers []answer
	var sending sync.WaitGroup
	stop := make(chan struct{})
	for _, e := range s.entries {
		interval := 250 * time.Millisecond
		if e != stopped {
			interval = 60 * time.Millisecond
		}
		go func() {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				if !e.isUp() {
					continue
				}
				sending.Add(1)
				go func() {
					defer sending.Done()
					a := s.request.sendTo(e, streamPrefix+"2f", key, "question", streamBudget)
					if e == stopped {
						mu.Lock()
						defer mu.Unlock()
						answers = append(answers, a)
					}
				}()
			}
		}()
	}
	time.Sleep(settleTime)
	term := time.Now()
	if s.trouble {
		time.AfterFunc(silenceAt, func() {
			quiet.begin(silenceTime)
			s.record.add("replicas are silent", "for", silenceTime)
		})
	}
	stopped.terminate()
	close(stop)
	sending.Wait()
	if err := stopped.start(); err != nil {
		s.record.say("entry not started: %v", err)
	}
	cut := 0
	for _, a := range answers {
		ended := a.began.Add(a.took)
		if a.status == 200 && !a.whole && a.began.Before(term.Add(3*time.Second)) && ended.After(term) && ended.Before(term.Add(grace*5/6)) {
			cut++
			s.record.say("%s cut stream %s %s after SIGTERM, %s after it was sent", stopped.name, a.id, ended.Sub(term).Round(time.Millisecond), a.took.Round(time.Millisecond))
		}
	}
	s.record.say("%s: %d streams cut before the last sixth of the grace period", stopped.name, cut)
	return cut > 0
}
