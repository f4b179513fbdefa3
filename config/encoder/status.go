package encoder

import (
	"encoding/json"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
)

// StatusPrefix is the prefix of the names of objects with the status of moves.
const StatusPrefix = "moves/"

type wireStatus struct {
	Move    string `json:"move"`
	Share   int    `json:"shareThousandths"`
	End     string `json:"end,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Epoch   uint64 `json:"epoch"`
	Changed int64  `json:"changedMillis"`
	Order   uint64 `json:"order,omitempty"`
}

// EncodeStatus encodes the status of a move for the store.
func EncodeStatus(s sequoiasill.MoveStatus) ([]byte, error) {
	b, err := json.Marshal(wireStatus{
		Move: s.Move, Share: s.Share, End: string(s.End), Reason: s.Reason, Epoch: s.Epoch, Changed: int64(s.Changed), Order: s.Order,
	})
	return b, errors.Annotate(err, "encode status")
}

// DecodeStatus decodes the output of EncodeStatus.
func DecodeStatus(b []byte) (sequoiasill.MoveStatus, error) {
	var w wireStatus
	if err := json.Unmarshal(b, &w); err != nil {
		return sequoiasill.MoveStatus{}, errors.Annotate(err, "decode status")
	}
	return sequoiasill.MoveStatus{
		Move: w.Move, Share: w.Share, End: sequoiasill.MoveEnd(w.End), Reason: w.Reason, Epoch: w.Epoch, Changed: sequoiasill.Millis(w.Changed), Order: w.Order,
	}, nil
}

type wireLease struct {
	Holder  string `json:"holder"`
	Epoch   uint64 `json:"epoch"`
	Length  int64  `json:"lengthMillis"`
	Renewal uint64 `json:"renewal"`
	Era     uint64 `json:"era,omitempty"`
}

// LeasePrefix is the prefix of the names of lease objects.
const LeasePrefix = "leases/"

// Lease is the stored content of a lease.
type Lease struct {
	Holder  string
	Epoch   uint64
	Length  sequoiasill.Millis
	Renewal uint64
	Era     uint64
}

// EncodeLease encodes a lease for the store.
func EncodeLease(l Lease) ([]byte, error) {
	b, err := json.Marshal(wireLease{Holder: l.Holder, Epoch: l.Epoch, Length: int64(l.Length), Renewal: l.Renewal, Era: l.Era})
	return b, errors.Annotate(err, "encode lease")
}

// DecodeLease decodes the output of EncodeLease.
func DecodeLease(b []byte) (Lease, error) {
	var w wireLease
	if err := json.Unmarshal(b, &w); err != nil {
		return Lease{}, errors.Annotate(err, "decode lease")
	}
	return Lease{Holder: w.Holder, Epoch: w.Epoch, Length: sequoiasill.Millis(w.Length), Renewal: w.Renewal, Era: w.Era}, nil
}
