package main

import (
	"encoding/json"
	"errors"
	"time"
)

// Bounds of the deployment for versions.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollback      = 5 * time.Second // rollbackMs
)

const (
	chargePrefix = "/pule252/"
	readPrefix   = "/puxa403/"
	// orderDeadline is the time budget of the requests.
	orderDeadline    = 600 * time.Millisecond
	chargesPerSecond = 100
	readsPerSecond   = 300
	// The load of the smaller deployment's sheet.
	sheetCharges = 19.6
	sheetReads   = 7.85
)

// startOrders starts a service of version v1 under the given load of charges and of reads a second.
func startOrders(s *stage, charges, reads float64, stop <-chan struct{}) ([]*replica, error) {
	old, err := s.addReplicas(service, "v1", goodVersion())
	if err != nil {
		return nil, err
	}
	if err := s.start(route("cut-charge", chargePrefix, "unsafe", 600, 100, 1), route("stock-read", readPrefix, "safe", 600, 100, 2)); err != nil {
		return nil, err
	}
	go s.request.load(chargePrefix+"2f", key, charges, orderDeadline, stop)
	go s.request.load(readPrefix+"2f", key, reads, orderDeadline, stop)
	time.Sleep(3 * time.Second)
	return old, nil
}

// order writes the operator's order and starts the replicas of the version beside the old ones.
func (s *stage) order(version string, duration time.Duration, b behaviour) ([]*replica, time.Time, error) {
	s.record.say("operator orders %s within %s", version, duration)
	at := time.Now()
	s.platform.put("rollouts", service, map[string]any{"service": service, "target": version, "durationS": int(duration.Seconds())})
	started, err := s.addReplicas(service, version, b)
	return started, at, err
}

// state returns the state of the order that the system wrote for a version.
func (s *stage) state(version string) string {
	var status struct{ State, Target string }
	if err := json.Unmarshal([]byte(s.platform.statusOf("rollouts", service)), &status); err != nil || status.Target != version {
		return ""
	}
	return status.State
}

// exposed checks the rule EXPOSURE for a bad version that was ordered at a time.
func (s *stage) exposed(version string, at time.Time, duration time.Duration) bool {
	end := at.Add(duration)
	var all, there, bad, late int
	var fiftieth time.Time
	for _, x := range s.runs.all() {
		if x.at.Before(at) {
			continue
		}
		if x.at.Before(end) {
			all++
		}
		if x.version != version {
			continue
		}
		if x.at.Before(end) {
			there++
		}
		if !fiftieth.IsZero() && x.sentAt.After(fiftieth.Add(rollback)) {
			late++
		}
		if x.bad {
			if bad++; bad == 50 {
				// The answer came within the time budget.
				fiftieth = x.at.Add(orderDeadline)
			}
		}
	}
	bound := exposureShare*float64(all) + exposureSlack
	s.record.say("%s got %d of the %d requests that reached its service between the order and its time budget, %.0f are allowed", version, there, all, bound)
	s.record.say("%s gave %d bad answers, and got %d requests sent later than %s after its 50th", version, bad, late, rollback)
	s.record.say("answers by path and status (0: no whole answer): %s", s.request.summary())
	return float64(there) > bound || late > 0
}

// goodVersion is the behaviour of the replicas of a good version.
func goodVersion() behaviour { return behaviour{work: 10 * time.Millisecond, spread: 0.5} }

// badVersion is the behaviour of a version that is bad on one route: two in five of its answers to charges
// are failures.
func badVersion() behaviour {
	b := goodVersion()
	b.badShare, b.badPath = 0.4, chargePrefix+"2f"
	return b
}

const (
	// leaveDelay is the time from rolled_back until the new replicas drain, and serveOn the time that a
	// draining replica serves on.
	leaveDelay = 4 * time.Second
	serveOn    = 2500 * time.Millisecond
	// operatorDelay is the time from rolled_back until the operator's next order.
	operatorDelay = 500 * time.Millisecond
)

// revertedOrder orders a bad version, waits until it is rolled back and orders the version that the service
// still runs, as an operator does who takes a declaration back.
func revertedOrder(s *stage) (bool, error) { return orderAfterRollback(s, "v1") }

// nextOrder orders a version that was not there before instead.
func nextOrder(s *stage) (bool, error) { return orderAfterRollback(s, "v3") }

func orderAfterRollback(s *stage, next string) (bool, error) {
	const duration = 12 * time.Second
	stop := make(chan struct{})
	defer close(stop)
	if _, err := startOrders(s, chargesPerSecond, readsPerSecond, stop); err != nil {
		return false, err
	}
	replicas, at, err := s.order("v2", duration, badVersion())
	if err != nil {
		return false, err
	}
	if !s.wait(duration, func() bool { return s.state("v2") == "rolled_back" }) {
		return false, errors.New("v2 was not rolled back")
	}
	s.record.say("v2 is rolled back %s after its order", time.Since(at).Round(time.Millisecond))
	time.AfterFunc(leaveDelay, func() {
		for _, r := range replicas {
			go r.leave(serveOn)
		}
	})
	time.Sleep(operatorDelay)
	if s.trouble {
		if _, _, err := s.order(next, duration, goodVersion()); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(at.Add(duration + 5*time.Second)))
	return s.exposed("v2", at, duration), nil
}

// complete orders a good version and waits until it is completed, at which the old replicas stop.
func (s *stage) complete(version string, duration time.Duration, old []*replica) ([]*replica, error) {
	started, at, err := s.order(version, duration, goodVersion())
	if err != nil {
		return nil, err
	}
	if !s.wait(duration+5*time.Second, func() bool { return s.state(version) == "completed" }) {
		return nil, errors.New(version + " was not completed")
	}
	s.record.say("%s is completed %s after its order", version, time.Since(at).Round(time.Millisecond))
	s.stop(old)
	return started, nil
}

// stop stops replicas at once, as the platform does with the old ones of a completed order.
func (s *stage) stop(old []*replica) {
	for _, r := range old {
		r.end()
		s.platform.removeObject("servers", r.id)
		s.record.add("replica stopped", "replica", r.id)
	}
}

// repeatedOrder moves a service to v2, back to v1 and to v2 again, which is bad now. Without trouble the
// last order names a version that was not ordered before.
func repeatedOrder(s *stage) (bool, error) {
	const duration = 20 * time.Second
	stop := make(chan struct{})
	defer close(stop)
	first, err := startOrders(s, chargesPerSecond, readsPerSecond, stop)
	if err != nil {
		return false, err
	}
	second, err := s.complete("v2", duration, first)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	back, err := s.complete("v1", duration, second)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	version := "v3"
	if s.trouble {
		version = "v2"
	}
	bad, at, err := s.order(version, duration, badVersion())
	if err != nil {
		return false, err
	}
	if !s.wait(duration+2*time.Second, func() bool { return s.state(version) == "rolled_back" || s.state(version) == "completed" }) {
		return false, errors.New(version + " did not end")
	}
	s.record.say("%s is %s %s after its order", version, s.state(version), time.Since(at).Round(time.Millisecond))
	if s.state(version) == "completed" {
		s.stop(back)
	} else {
		time.Sleep(leaveDelay)
		for _, r := range bad {
			go r.leave(serveOn)
		}
	}
	time.Sleep(time.Until(at.Add(duration + time.Second)))
	return s.exposed(version, at, duration), nil
}

// badOrder orders a version of which a quarter of the answers are failures, under the load of the sheet.
// Without trouble the version is good.
func badOrder(s *stage) (bool, error) {
	const duration = 15 * time.Second
	stop := make(chan struct{})
	defer close(stop)
	old, err := startOrders(s, sheetCharges, sheetReads, stop)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	b := goodVersion()
	if s.trouble {
		b.badShare = 0.25
	}
	_, at, err := s.order("v2", duration, b)
	if err != nil {
		return false, err
	}
	if !s.wait(duration+2*time.Second, func() bool { return s.state("v2") == "rolled_back" || s.state("v2") == "completed" }) {
		return false, errors.New("v2 did not end")
	}
	s.record.say("v2 is %s %s after its order", s.state("v2"), time.Since(at).Round(time.Millisecond))
	if s.state("v2") == "completed" {
		s.stop(old)
	}
	time.Sleep(time.Until(at.Add(duration + 10*time.Second)))
	broken := s.exposed("v2", at, duration)
	return s.trouble && broken, nil
}
