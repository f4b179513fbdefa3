package mover

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/detector"
)

// Handover configures how the calls of a service move off the old version at the end of a move. Its replicas are
// stopped without draining once the move is completed, so no call may be in progress there.
type Handover struct {
	// Exposure limits the requests to a bad version.
	Exposure Exposure
	// LongShare is the share, in thousandths, that the new version gets while calls that last long end at the old one,
	// and half of it at first. It gets all calls in the last part of the handover.
	LongShare int
	// MaxTime is the fraction of the time up to the deadline, in thousandths, that the handover takes at most, and
	// does if it is not known how long calls last.
	MaxTime int
}

// Exposure is the number of requests that a bad version may get up to the end of its move's time: a fraction of the
// service's requests and a number more. The zero value sets no limit.
type Exposure struct {
	Share float64
	Slack float64
}

const (
	// handoverDelay is the time in which a share takes effect at all entries.
	handoverDelay = 200 * sequoiasill.Millis(1)
	// lastHandoverTime is the time at the end of a handover in which the new version gets all calls. Failures under the
	// whole load are known within it.
	lastHandoverTime = sequoiasill.Second
	// doubtTime is the time for which doubts delay the end of a move, limited to a fraction of what is left from the
	// deadline up to the end of the move's time.
	doubtTime        = 750 * sequoiasill.Millis(1)
	doubtTimeDivisor = 3
	// overtime is the time after a late handover in which a move ends in any case.
	overtime = 500 * sequoiasill.Millis(1)
	// drainTimeFactor is the multiple of the drain time that is allowed for the last calls.
	drainTimeFactor = 1.25
	// exposureMargin is the fraction of the exposure that is planned for. Rates differ from what is expected.
	exposureMargin = 0.9
	// reactionTime is the time in which a version that turns bad gets no more requests.
	reactionTime = 1250 * sequoiasill.Millis(1)
	// paceInterval is the fraction of the time up to the deadline, in thousandths, at which the pace is planned anew.
	paceInterval = 100
	// minPace and maxPace bound the fraction of the stages' shares that is sent. A version that has had as many requests
	// as it may keeps some, so that its failures are still found.
	minPace = 0.25
	maxPace = 2
	// rateWeight is the weight of the last interval in the recent rate of requests.
	rateWeight = 0.15
)

// handover is the state of a Mover for the end of its move.
type handover struct {
	drainTime  sequoiasill.Millis
	observedAt sequoiasill.Millis
	rate       float64            // recent requests in a second to both versions
	begunAt    sequoiasill.Millis // when the handover began, 0 if it has not
	since      sequoiasill.Millis // when the share of the last part was first requested, 0 if it is not
	pace       float64            // fraction of the stages' shares that the exposure allows
	plannedAt  int                // elapsed time, in thousandths, at which the pace was planned
}

// observe updates the drain time and the rate of requests.
func (h *handover) observe(now sequoiasill.Millis, ev Evidence) {
	if ev.DrainTime > 0 {
		h.drainTime = ev.DrainTime
	}
	if took := now - h.observedAt; h.observedAt > 0 && took > 0 {
		n := 0
		for _, s := range ev.Routes {
			n += s.Old.Requests + s.New.Requests
		}
		h.rate += rateWeight * (float64(n)*float64(sequoiasill.Second)/float64(took) - h.rate)
	}
	h.observedAt = now
}

// at returns the time at a fraction, in thousandths, of the time up to the deadline.
func (m *Mover) at(thousandths int) sequoiasill.Millis {
	return m.move.Start + (m.move.Deadline-m.move.Start)*sequoiasill.Millis(thousandths)/1000
}

// handoverTime returns how long before the end of the move the handover begins.
func (m *Mover) handoverTime() sequoiasill.Millis {
	longest := max((m.move.Deadline-m.move.Start)*sequoiasill.Millis(m.opts.Handover.MaxTime)/1000, 1)
	if m.handover.drainTime == 0 {
		return longest
	}
	return min(max(sequoiasill.Millis(float64(m.handover.drainTime)*drainTimeFactor)+handoverDelay, lastHandoverTime), longest)
}

// lastPart returns the time for which the new version gets all calls before the move is completed.
func (m *Mover) lastPart() sequoiasill.Millis { return min(m.handoverTime(), lastHandoverTime) }

// doubtUntil returns the time up to which doubts delay the handover.
func (m *Mover) doubtUntil() sequoiasill.Millis {
	return m.at(m.opts.EndAt) - m.lastPart() + min(doubtTime, max(m.move.Until-m.move.Deadline, 0)/doubtTimeDivisor)
}

// mayHandOver reports whether the calls may move off the old version. Doubts delay that for a while.
func (m *Mover) mayHandOver(now sequoiasill.Millis) bool {
	if now < m.at(m.opts.EndAt)-m.handoverTime() || m.routeWhere(isRisky) != "" {
		return false
	}
	return now >= m.doubtUntil() || m.routeWhere(isDoubtful) == ""
}

func isRisky(d *detector.Detector) bool { return d.IsSuspected() || d.IsAlarming() }

func isDoubtful(d *detector.Detector) bool { return d.IsDoubtful() || d.IsSlower() }

// endHandover ends the move if the calls that began at the old version have ended and the new version shows no failures
// under the whole load, or if time is up.
func (m *Mover) endHandover(now sequoiasill.Millis) {
	since, timeIsUp := m.handover.since, now >= m.doubtUntil()+m.lastPart()+overtime
	switch {
	case since == 0 && timeIsUp:
		m.setEnd(sequoiasill.MoveRolledBack, "failures of the new version kept its share from rising")
	case since > 0 && (timeIsUp || now-since >= m.lastPart() && m.routeWhere(isRisky) == ""):
		m.setEnd(sequoiasill.MoveDone, "no badness seen")
	}
}

// handoverShare returns the share of a move with a handover.
func (m *Mover) handoverShare(now sequoiasill.Millis) int {
	switch {
	case !m.mayHandOver(now):
		m.handover.begunAt, m.handover.since = 0, 0
		return m.pacedShare(now)
	case m.handover.begunAt == 0:
		m.handover.begunAt = now
	}
	switch {
	case m.handover.since == 0 && now >= m.at(m.opts.EndAt)-m.lastPart():
		m.handover.since = now
	case m.handover.since == 0 && now-m.handover.begunAt < reactionTime:
		return m.opts.Handover.LongShare / 2
	case m.handover.since == 0:
		return m.opts.Handover.LongShare
	}
	return allCalls
}

// allCalls is the share that stands for all calls.
const allCalls = 1000

// pacedShare returns the share of the current stage at the planned pace.
func (m *Mover) pacedShare(now sequoiasill.Millis) int {
	elapsed, h := m.elapsed(now), &m.handover
	if h.pace == 0 || elapsed/paceInterval != h.plannedAt/paceInterval || m.stageShare(elapsed) != m.stageShare(h.plannedAt) {
		h.pace, h.plannedAt = m.planPace(now), elapsed
	}
	share := m.stageShare(elapsed)
	if share == 0 {
		return 0
	}
	return min(max(int(float64(share)*h.pace), 1), m.stageShare(allCalls))
}

// stageShare returns the share of the stage at a fraction of the time up to the deadline.
func (m *Mover) stageShare(elapsed int) int {
	share := 0
	for _, s := range m.opts.Stages {
		if elapsed >= s.From {
			share = s.Share
		}
	}
	return share
}

// planPace returns the fraction of the stages' shares with which the new version gets no more requests before the
// handover than its exposure allows. What it gets during the handover and after it is reserved, as a version that turns
// bad then can no longer be kept from them. Where that leaves too few for a decision, only the requests within the
// reaction time are.
func (m *Mover) planPace(now sequoiasill.Millis) float64 {
	until, from := max(m.move.Until, m.move.Deadline), m.at(m.opts.EndAt)-m.handoverTime()
	total := float64(m.total.Old.Requests + m.total.New.Requests)
	average := total / max(seconds(now-m.move.Start), 1)
	rate := max(average, m.handover.rate)
	x := m.opts.Handover.Exposure
	if x == (Exposure{}) {
		return 1
	}
	allowed := exposureMargin * (x.Share*(total+rate*seconds(until-now)) + x.Slack)
	before := allowed - rate*seconds(until-from)
	if before < float64(m.opts.MinRequests) {
		before = max(allowed-rate*seconds(reactionTime), float64(m.requestsNeeded()))
	}
	planned := 0.0
	for i, s := range m.opts.Stages {
		end := from
		if i+1 < len(m.opts.Stages) {
			end = min(end, m.at(m.opts.Stages[i+1].From))
		}
		planned += float64(s.Share) / allCalls * rate * max(seconds(end-max(now, m.at(s.From))), 0)
	}
	left := before - float64(m.total.New.Sent())
	if planned <= 0 {
		return 1
	}
	return min(max(left/planned, minPace), maxPace)
}

// seconds returns a time in seconds.
func seconds(t sequoiasill.Millis) float64 { return float64(t) / float64(sequoiasill.Second) }
