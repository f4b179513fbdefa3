package exchanger

import "maps"

// keyUsage is the key of the fact with the last recorded usage.
const keyUsage = "usage"

// wireUsage encodes the usage of a window.
type wireUsage struct {
	Window int64          `cbor:"1,keyasint"`
	Calls  map[string]int `cbor:"2,keyasint"`
}

// AnnounceRecord tells all entries the usage that was recorded for a window. It implements
// accountant.Witness.
func (e *Exchanger) AnnounceRecord(window int64, calls map[string]int) {
	if b, ok := encodeFact(e, wireUsage{Window: window, Calls: calls}); ok {
		e.gossip.Publish(keyUsage, uint64(window), b, true, usageRecordTTL)
	}
}

// KnownRecord returns the newest announced record of usage. It implements accountant.Witness.
func (e *Exchanger) KnownRecord() (window int64, calls map[string]int, ok bool) {
	f, known := e.gossip.Fact(keyUsage)
	if !known {
		return 0, nil, false
	}
	w, ok := decodeFact[wireUsage](e, f)
	return w.Window, maps.Clone(w.Calls), ok
}
