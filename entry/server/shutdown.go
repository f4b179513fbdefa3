package server

import (
	"sync"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/locator"
)

// Timing of an entry's shutdown.
const (
	// handOverBase, plus handOverPerJob for each running job, is reserved for handing
	// over jobs and notifying their callers.
	handOverBase    = 400 * sequoiasill.Millis(1)
	handOverPerJob  = 2 * sequoiasill.Millis(1)
	handOverTimeout = sequoiasill.Second
	maxCloseTimeout = 2 * sequoiasill.Second
)

// Stop shuts the entry down gracefully, within the StopTimeout of its options.
func (s *Server) Stop() {
	s.Leave(s.deps.Clock.Now() + s.deps.Options.StopTimeout)
	<-s.stopped
}

// Stopped returns a channel that is closed when the entry has stopped.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Leave shuts the entry down by the time stopAt. The entry fails its readiness
// check, announces its shutdown to its peers, completes the requests that finish
// in time, and hands over the others.
func (s *Server) Leave(stopAt sequoiasill.Millis) {
	s.stopOnce.Do(func() {
		s.deps.Log.Info("leaving", "in", stopAt-s.deps.Clock.Now())
		s.deps.State.draining.Store(true)
		s.updateReady()
		s.deps.Messenger.Leave()
		s.deps.Invoker.EndAt(stopAt - closeReserve - answerReserve)
		s.drain(stopAt)
		s.close(stopAt)
		close(s.stopped)
		s.deps.Log.Info("stopped")
	})
}

// drain waits for the running requests and hands over the jobs that don't finish
// in time.
func (s *Server) drain(stopAt sequoiasill.Millis) {
	remaining := stopAt - s.deps.Clock.Now()
	reserve := min(handOverBase+handOverPerJob*sequoiasill.Millis(s.deps.Generator.Running()), remaining*6/10)
	if s.deps.Generator.Drain(remaining-reserve) && s.deps.Invoker.Drain(stopAt-reserve-s.deps.Clock.Now()) {
		s.deps.Callers.Close()
		return
	}
	s.deps.Callers.Close()
	accepted, kept := s.deps.Generator.HandOver(s.handOverJobs)
	s.deps.Log.Info("handed over", "given", accepted, "kept", kept)
	s.deps.Generator.Drain(stopAt - closeReserve - s.deps.Clock.Now())
	s.deps.Invoker.Drain(stopAt - closeReserve - s.deps.Clock.Now())
}

// answerReserve is the time before closeReserve in which the calls that were ended are
// answered, which takes some milliseconds on an idle machine. closeReserve is the time before stopAt that is reserved for closing
// connections. finalReserve is the part of it for the steps after the callers' connections are
// closed.
const (
	answerReserve = 50 * sequoiasill.Millis(1)
	closeReserve  = 150 * sequoiasill.Millis(1)
	finalReserve  = 25 * sequoiasill.Millis(1)
)

// handOverJobs offers each job to the entry that ranks first for its request and,
// while the job is not accepted, to the next ones. It returns the IDs of the accepted
// requests.
func (s *Server) handOverJobs(jobs []generator.HandoverJob) []sequoiasill.RequestID {
	const maxAttempts = 3
	var accepted []sequoiasill.RequestID
	for attempt := range maxAttempts {
		batches := make(map[string][]generator.HandoverJob)
		for _, h := range jobs {
			candidates := locator.HandoverTargets(s.deps.Messenger.Members(), s.deps.Messenger.Self(), h.Job.Request.ID)
			if attempt < len(candidates) {
				address := candidates[attempt].Address
				batches[address] = append(batches[address], h)
			}
		}
		ids := s.handOverBatches(batches)
		accepted = append(accepted, ids...)
		jobs = withoutAccepted(jobs, ids)
		if len(jobs) == 0 {
			break
		}
	}
	return accepted
}

func (s *Server) handOverBatches(batches map[string][]generator.HandoverJob) []sequoiasill.RequestID {
	var mu sync.Mutex
	var accepted []sequoiasill.RequestID
	var wg sync.WaitGroup
	for address, batch := range batches {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ids, err := s.deps.Dialer.HandOver(address, batch, handOverTimeout)
			if err != nil {
				s.deps.Log.Warn("cannot hand over requests", "to", address, "requests", len(batch), "error", err)
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, ids...)
		}()
	}
	wg.Wait()
	return accepted
}

func withoutAccepted(jobs []generator.HandoverJob, accepted []sequoiasill.RequestID) []generator.HandoverJob {
	removed := make(map[sequoiasill.RequestID]bool, len(accepted))
	for _, id := range accepted {
		removed[id] = true
	}
	var out []generator.HandoverJob
	for _, h := range jobs {
		if !removed[h.Job.Request.ID] {
			out = append(out, h)
		}
	}
	return out
}

// close stops the servers and the components that they use.
func (s *Server) close(stopAt sequoiasill.Millis) {
	remaining := func() sequoiasill.Millis {
		return min(max(stopAt-s.deps.Clock.Now()-finalReserve, finalReserve), maxCloseTimeout)
	}
	s.deps.Claimer.Drain(remaining())
	s.shutdown("callers", remaining(), s.public.Shutdown)
	for _, stop := range s.stopFuncs {
		stop()
	}
	if err := s.deps.Instances.Deregister(s.deps.Options.Name); err != nil {
		s.deps.Log.Debug("cannot deregister from the platform", "error", err)
	}
	s.peers.Stop()
	s.shutdown("operators", finalReserve, s.operators.Shutdown)
	s.deps.Messenger.Close()
	s.deps.Dialer.Close()
	s.deps.Generator.Close()
	s.deps.Recorder.Close()
}

// shutdown shuts a server down and waits up to the timeout for its connections to
// close.
func (s *Server) shutdown(side string, timeout sequoiasill.Millis, f func() error) {
	done := make(chan error, 1)
	go func() { done <- f() }()
	select {
	case err := <-done:
		if err != nil {
			s.deps.Log.Warn("shutdown", "side", side, "error", err)
		}
	case <-time.After(timeout.Duration()):
		s.deps.Log.Warn("connections are still open", "side", side)
	}
}

// Members returns the names of the entries that this entry sees as live.
func (s *Server) Members() []string {
	var names []string
	for _, m := range s.deps.Messenger.Members() {
		names = append(names, m.Name)
	}
	return names
}

// Generation returns the generation of the current configuration.
func (s *Server) Generation() uint64 { return s.deps.Configs.Current().Generation }

// Ready reports whether the entry is ready for callers.
func (s *Server) Ready() bool { return s.deps.Callers.Ready() }

// Kill stops the entry immediately, without draining, to simulate a crash.
func (s *Server) Kill() {
	s.stopOnce.Do(func() {
		_ = s.deps.Listeners.Public.Close()
		s.peers.Stop()
		s.deps.Messenger.Close()
		s.deps.Generator.Close()
		s.deps.Recorder.Close()
		for _, stop := range s.stopFuncs {
			stop()
		}
		s.deps.Dialer.Close()
		_ = s.operators.Shutdown()
		close(s.stopped)
	})
}
