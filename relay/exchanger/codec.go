package exchanger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/allotter"
	"sequoiasill.dev/sequoiasill/decide/blamer"
	"sequoiasill.dev/sequoiasill/decide/tallier"
)

// State is an entry's periodic report to the collectors.
type State struct {
	Process string // process ID, different at each start
	Demand  Demand
	Tally   tallier.Tally
	Charges []blamer.Charge // for older builds
	// ReportsCrashes states that the entry also reports the crashes of upstreams under requests.
	ReportsCrashes bool
}

// Demand is the load that callers place on an entry, per second.
type Demand struct {
	allotter.Totals

	Work map[string]float64 // milliseconds of engine time, by service
}

// wireState encodes a State. Integer keys keep messages small.
type wireState struct {
	Process string                   `cbor:"1,keyasint"`
	Demand  wireDemand               `cbor:"2,keyasint"`
	Tally   map[int64]map[string]int `cbor:"3,keyasint"`
	Charges []wireCharge             `cbor:"4,keyasint,omitempty"`
	Reports bool                     `cbor:"5,keyasint,omitempty"`
}

// wireCharge encodes a charge. It carries an age instead of a time because the clocks
// of entries differ.
type wireCharge struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Upstream    uint64
	AgeMillis   int64
}

type wireDemand struct {
	Tokens map[string]int64 `cbor:"1,keyasint"`
	Work   map[string]int64 `cbor:"2,keyasint"`
	Spent  map[string]int64 `cbor:"3,keyasint"`
}

// wireReplica encodes a replica announcement.
type wireReplica struct {
	Service     string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Version     string `cbor:"4,keyasint"`
	Slots       int    `cbor:"5,keyasint"`
	Draining    bool   `cbor:"6,keyasint,omitempty"`
	Reclaimable bool   `cbor:"7,keyasint,omitempty"`
	ShutdownIn  int64  `cbor:"8,keyasint,omitempty"`
	StartedAt   int64  `cbor:"9,keyasint,omitempty"`
	Sequence    uint64 `cbor:"10,keyasint,omitempty"`
	ColdFor     int64  `cbor:"11,keyasint,omitempty"`
}

func encodeState(s State, now sequoiasill.Millis) ([]byte, error) {
	w := wireState{Process: s.Process, Demand: toWireDemand(s.Demand), Tally: make(map[int64]map[string]int, len(s.Tally)), Reports: s.ReportsCrashes}
	for window, counts := range s.Tally {
		w.Tally[window] = counts
	}
	for _, c := range s.Charges {
		w.Charges = append(w.Charges, wireCharge{Fingerprint: uint64(c.Fingerprint), Upstream: c.Upstream, AgeMillis: int64(now - c.At)})
	}
	b, err := cbor.Marshal(w)
	return b, errors.Annotate(err, "encode state")
}

func decodeState(b []byte, now sequoiasill.Millis) (State, error) {
	var w wireState
	if err := cbor.Unmarshal(b, &w); err != nil {
		return State{}, errors.Annotate(err, "decode state")
	}
	s := State{Process: w.Process, Demand: fromWireDemand(w.Demand), Tally: make(tallier.Tally, len(w.Tally)), ReportsCrashes: w.Reports}
	for window, counts := range w.Tally {
		s.Tally[window] = counts
	}
	for _, c := range w.Charges {
		s.Charges = append(s.Charges, blamer.Charge{
			Fingerprint: blamer.Fingerprint(c.Fingerprint), Upstream: c.Upstream, At: now - sequoiasill.Millis(c.AgeMillis),
		})
	}
	return s, nil
}

func toWireDemand(d Demand) wireDemand {
	return wireDemand{Tokens: toInts(d.Demand), Work: toInts(d.Work), Spent: toInts(d.Spent)}
}

func fromWireDemand(w wireDemand) Demand {
	return Demand{Totals: allotter.Totals{Demand: toFloats(w.Tokens), Spent: toFloats(w.Spent)}, Work: toFloats(w.Work)}
}

func toInts(m map[string]float64) map[string]int64 {
	out := make(map[string]int64, len(m))
	for name, v := range m {
		out[name] = sequoiasill.ClampNumber(v, sequoiasill.MaxNumber)
	}
	return out
}

func toFloats(m map[string]int64) map[string]float64 {
	out := make(map[string]float64, len(m))
	for name, v := range m {
		out[name] = float64(v)
	}
	return out
}

func encodeDemand(d Demand) ([]byte, error) {
	b, err := cbor.Marshal(toWireDemand(d))
	return b, errors.Annotate(err, "encode demand")
}

func decodeDemand(b []byte) (Demand, error) {
	var w wireDemand
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Demand{}, errors.Annotate(err, "decode demand")
	}
	return fromWireDemand(w), nil
}

// plus returns the sum of two demands. It leaves Spent out, which is a cumulative count
// and is summed separately.
func (d Demand) plus(o Demand) Demand {
	return Demand{Totals: allotter.Totals{Demand: sum(d.Demand, o.Demand)}, Work: sum(d.Work, o.Work)}
}

func sum(a, b map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(a))
	for name, v := range a {
		out[name] = v
	}
	for name, v := range b {
		out[name] += v
	}
	return out
}

func encodeReplica(r sequoiasill.Replica) ([]byte, error) {
	b, err := cbor.Marshal(wireReplica{
		Service: r.Service, Address: r.Address, Zone: r.Zone, Version: r.Version, Slots: r.Slots, Draining: r.Draining,
		Reclaimable: r.Reclaimable, ShutdownIn: int64(r.ShutdownIn), StartedAt: int64(r.StartedAt), Sequence: r.Sequence, ColdFor: int64(r.ColdFor),
	})
	return b, errors.Annotate(err, "encode replica")
}

func decodeReplica(name string, revision uint64, b []byte) (sequoiasill.Replica, error) {
	var w wireReplica
	if err := cbor.Unmarshal(b, &w); err != nil {
		return sequoiasill.Replica{}, errors.Annotatef(err, "decode replica %s", name)
	}
	return sequoiasill.Replica{
		Name: name, Service: w.Service, Address: w.Address, Zone: w.Zone, Version: w.Version, Slots: w.Slots,
		Draining: w.Draining, Reclaimable: w.Reclaimable, ShutdownIn: sequoiasill.Millis(w.ShutdownIn),
		StartedAt: sequoiasill.Millis(w.StartedAt), Revision: revision, Sequence: w.Sequence, ColdFor: sequoiasill.Millis(w.ColdFor),
	}, nil
}
