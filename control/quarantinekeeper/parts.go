package quarantinekeeper

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// PartQuarantines are the quarantines of parts of prompts that an entry knows.
type PartQuarantines interface {
	Quarantined() []partblamer.Signature
	// Restore quarantines stored signatures at all entries, unless a call of this process has
	// disproved them.
	Restore(stored []partblamer.Signature)
}

// Parts is the record of the quarantined parts of prompts.
type Parts struct{ Quarantines PartQuarantines }

// wireParts is the encoding of the stored signatures: lists of parts in hexadecimal.
type wireParts struct {
	Parts [][]string `json:"parts"`
}

// Name implements Record.
func (Parts) Name() string { return "quarantines" }

// Encode implements Record.
func (r Parts) Encode() (value []byte, empty bool, err error) {
	w := wireParts{Parts: [][]string{}}
	for _, s := range r.Quarantines.Quarantined() {
		var ids []string
		for _, p := range s {
			ids = append(ids, toHex(uint64(p)))
		}
		w.Parts = append(w.Parts, ids)
	}
	value, err = json.Marshal(w)
	return value, len(w.Parts) == 0, errors.Trace(err)
}

// Restore implements Record. Signatures that cannot be read are left out.
func (r Parts) Restore(value []byte) (count int, err error) {
	var w wireParts
	if err := json.Unmarshal(value, &w); err != nil {
		return 0, errors.Trace(err)
	}
	var out []partblamer.Signature
	for _, ids := range w.Parts {
		var s partblamer.Signature
		for _, id := range ids {
			p, err := fromHex(id)
			if err != nil {
				s = nil
				break
			}
			s = append(s, partblamer.Part(p))
		}
		if len(s) > 0 {
			slices.Sort(s)
			out = append(out, s)
		}
	}
	if len(out) > 0 {
		r.Quarantines.Restore(out)
	}
	return len(out), nil
}
