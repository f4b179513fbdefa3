package registrar

import "sequoiasill.dev/sequoiasill"

// Entries divide a bound among themselves without messages: each keeps to its share, and randomness in
// the shares keeps the entries from acting in step.

// minShareRate is the minimum rate, in events per second, that is divided. It keeps intervals finite.
const minShareRate = 1e-3

// entryShare returns one entry's share of a total of which all entries together may use a fraction.
func entryShare(total, fraction float64, entries int) float64 {
	return fraction * total / float64(entries)
}

// shareInterval returns the interval in milliseconds between the events of one entry at which all
// entries together cause a fraction of a number of events per second.
func shareInterval(perSecond, fraction float64, entries int) float64 {
	return float64(entries) / max(perSecond*fraction, minShareRate) * float64(sequoiasill.Second)
}
