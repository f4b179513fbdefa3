package exchanger

// CheckLimits does the first half of the periodic work on limits, and returns the other half.
func (e *Exchanger) CheckLimits() (renew func()) {
	missing, _ := e.updateLimits()
	return func() { e.renewLimits(missing) }
}

// ReportState reports this entry's state to the collectors.
func (e *Exchanger) ReportState() { e.reportState() }
