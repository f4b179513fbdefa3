package exchanger

import (
	"github.com/fxamacker/cbor/v2"

	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/zonetracker"
)

// keyEvacuation is followed by a zone: whether it is evacuated, at the store version of the record or
// of its removal. The facts do not expire, as an entry that was cut off for long may still have an old
// one; there are as many as zones that were ever evacuated.
const keyEvacuation = "evacuation/"

// Evacuations receives what other entries know of evacuated zones.
type Evacuations interface {
	RecordEvacuation(f zonetracker.Fact, source string)
}

// wireEvacuation encodes an evacuation.
type wireEvacuation struct {
	Evacuated bool   `cbor:"1,keyasint,omitempty"`
	Record    uint64 `cbor:"2,keyasint,omitempty"`
}

// AnnounceEvacuation publishes what is known of the evacuation of a zone.
func (e *Exchanger) AnnounceEvacuation(f zonetracker.Fact) {
	b, err := cbor.Marshal(wireEvacuation{Evacuated: f.Evacuated, Record: f.Record})
	if err != nil {
		e.log.Error("cannot encode evacuation", "error", err)
		return
	}
	e.gossip.Publish(keyEvacuation+f.Zone, f.Version, b, true, 0)
}

func (e *Exchanger) handleEvacuation(zone string, f gossiper.Fact) {
	var w wireEvacuation
	if err := cbor.Unmarshal(f.Value, &w); err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	if e.evacuations != nil {
		e.evacuations.RecordEvacuation(zonetracker.Fact{Zone: zone, Evacuated: w.Evacuated, Version: f.Version, Record: w.Record}, "gossip")
	}
}
