package exchanger

import "sequoiasill.dev/sequoiasill/decide/gossiper"

// CheckLimits does the first half of the periodic work on limits, and returns the other half.
func (e *Exchanger) CheckLimits() (renew func()) {
	missing, _ := e.updateLimits()
	return func() { e.renewLimits(missing) }
}

// ReportState reports this entry's state to the collectors.
func (e *Exchanger) ReportState() { e.reportState() }

// HandleState handles the state of another entry.
func (e *Exchanger) HandleState(entry string, s State) error {
	b, err := encodeState(s, e.clock.Now())
	if err == nil {
		e.handleState(entry, gossiper.Fact{Key: keyState + entry, Value: b})
	}
	return err
}
