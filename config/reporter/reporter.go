// Package reporter encodes and decodes the JSON reports of entries on moves.
package reporter

import (
	"encoding/json"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/detector"
	"sequoiasill.dev/sequoiasill/decide/mover"
)

// Report is an entry's view of a move.
type Report struct {
	Move        sequoiasill.Move // as declared
	Rank        int              // of the entry in the order of preference for running the move, from 0
	Status      sequoiasill.MoveStatus
	BrakeReason string                             // reason why an entry braked the move, or empty
	Entries     map[string]map[string]mover.Sample // by entry and route, since the start of the entry
	// DrainTime is the time within which nearly all calls to the old version end at this entry, 0 if it is not known.
	// It is not encoded.
	DrainTime sequoiasill.Millis
}

type wireReport struct {
	Move     string                           `json:"move"`
	Service  string                           `json:"service"`
	From     string                           `json:"from"`
	To       string                           `json:"to"`
	Start    int64                            `json:"startMillis"`
	Deadline int64                            `json:"deadlineMillis"`
	Rank     int                              `json:"rank"`
	Share    int                              `json:"shareThousandths"`
	End      string                           `json:"end,omitempty"`
	Reason   string                           `json:"reason,omitempty"`
	Braked   string                           `json:"braked,omitempty"`
	Entries  map[string]map[string]wireSample `json:"entries"`
}

// wireCounts holds the numbers of requests, errors, slow, declined and rejected requests of a version. It is compact because
// entries gossip it up to twice a second. Older builds send and read the first three numbers.
type wireCounts [5]int

// wireSample holds the counts of both versions.
type wireSample struct {
	Old wireCounts `json:"old"`
	New wireCounts `json:"new"`
	// Order is that of the move, where entries send their samples one by one.
	Order uint64 `json:"order,omitempty"`
}

// Encode encodes reports as JSON.
func Encode(reports []Report) ([]byte, error) {
	out := make([]wireReport, 0, len(reports))
	for _, r := range reports {
		w := wireReport{
			Move: r.Move.Name, Service: r.Move.Service, From: r.Move.From, To: r.Move.To,
			Start: int64(r.Move.Start), Deadline: int64(r.Move.Deadline), Rank: r.Rank,
			Share: r.Status.Share, End: string(r.Status.End), Reason: r.Status.Reason, Braked: r.BrakeReason,
			Entries: make(map[string]map[string]wireSample),
		}
		for entry, samples := range r.Entries {
			w.Entries[entry] = encodeSamples(samples)
		}
		out = append(out, w)
	}
	b, err := json.Marshal(out)
	return b, errors.Annotate(err, "encode reports")
}

// Decode decodes the output of Encode.
func Decode(b []byte) ([]Report, error) {
	var in []wireReport
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, errors.Annotate(err, "decode reports")
	}
	var out []Report
	for _, w := range in {
		r := Report{Rank: w.Rank, BrakeReason: w.Braked, Entries: make(map[string]map[string]mover.Sample)}
		r.Move = sequoiasill.Move{
			Name: w.Move, Service: w.Service, From: w.From, To: w.To,
			Start: sequoiasill.Millis(w.Start), Deadline: sequoiasill.Millis(w.Deadline),
		}
		r.Status = sequoiasill.MoveStatus{Move: w.Move, Share: w.Share, End: sequoiasill.MoveEnd(w.End), Reason: w.Reason}
		for entry, samples := range w.Entries {
			r.Entries[entry] = decodeSamples(samples)
		}
		out = append(out, r)
	}
	return out, nil
}

// EncodeSamples encodes the samples of one entry on a move, by route, as JSON.
func EncodeSamples(m map[string]mover.Sample, order uint64) ([]byte, error) {
	wire := encodeSamples(m)
	for route, w := range wire {
		w.Order = order
		wire[route] = w
	}
	b, err := json.Marshal(wire)
	return b, errors.Annotate(err, "encode evidence")
}

// DecodeSamples decodes the output of EncodeSamples. The order is 0 if the sender does not tell it.
func DecodeSamples(b []byte) (samples map[string]mover.Sample, order uint64, err error) {
	var wire map[string]wireSample
	if err := json.Unmarshal(b, &wire); err != nil {
		return nil, 0, errors.Annotate(err, "decode evidence")
	}
	for _, w := range wire {
		order = max(order, w.Order)
	}
	return decodeSamples(wire), order, nil
}

func encodeSamples(m map[string]mover.Sample) map[string]wireSample {
	out := make(map[string]wireSample, len(m))
	for route, s := range m {
		out[route] = wireSample{Old: encodeCounts(s.Old), New: encodeCounts(s.New)}
	}
	return out
}

func decodeSamples(m map[string]wireSample) map[string]mover.Sample {
	out := make(map[string]mover.Sample, len(m))
	for route, w := range m {
		out[route] = mover.Sample{Old: decodeCounts(w.Old), New: decodeCounts(w.New)}
	}
	return out
}

func encodeCounts(c detector.Counts) wireCounts {
	return wireCounts{c.Requests, c.Errors, c.Slow, c.Declined, c.Rejected}
}

func decodeCounts(w wireCounts) detector.Counts {
	return detector.Counts{Requests: w[0], Errors: w[1], Slow: w[2], Declined: w[3], Rejected: w[4]}
}
