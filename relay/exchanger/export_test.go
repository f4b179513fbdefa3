package exchanger

// CheckLimits does the first half of the periodic work on limits, and returns the other half.
func (e *Exchanger) CheckLimits() (renew func()) {
	missing, _ := e.updateLimits()
	return func() { e.renewLimits(missing) }
}
