package exchanger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// wireLimit tells whether the start of an upstream limits its calls.
type wireLimit struct {
	Born      int64   `cbor:"1,keyasint"`
	Limited   bool    `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
}

// wireAsk asks the keeper of a limit for a call, or only reports what was sent.
type wireAsk struct {
	Upstream  string      `cbor:"1,keyasint"`
	Born      int64       `cbor:"2,keyasint"`
	ID        uint64      `cbor:"3,keyasint"`
	Wants     bool        `cbor:"4,keyasint,omitempty"`
	Named     bool        `cbor:"9,keyasint,omitempty"` // by an answer to the entry
	PerSecond float64     `cbor:"5,keyasint"`
	AgeMillis int64       `cbor:"6,keyasint"` // of the last such answer
	Process   string      `cbor:"7,keyasint"`
	Sends     []wireSends `cbor:"8,keyasint,omitempty"`
}

// wireSends are calls that were sent by the grants of one keeper.
type wireSends struct {
	_          struct{} `cbor:",toarray"`
	Granter    string
	AgesMillis []int64
	Open       int
}

// wireDecision answers a wireAsk.
type wireDecision struct {
	Upstream   string `cbor:"1,keyasint"`
	Born       int64  `cbor:"2,keyasint"`
	ID         uint64 `cbor:"3,keyasint"`
	Wanted     bool   `cbor:"4,keyasint,omitempty"`
	Granted    bool   `cbor:"5,keyasint,omitempty"`
	Free       bool   `cbor:"6,keyasint,omitempty"`
	WaitMillis int64  `cbor:"7,keyasint,omitempty"`
	Granter    string `cbor:"8,keyasint,omitempty"`
}

// wireUse tells how a call ended that was granted, and what its answer says of the limit.
type wireUse struct {
	Upstream  string  `cbor:"1,keyasint"`
	Born      int64   `cbor:"2,keyasint"`
	ID        uint64  `cbor:"3,keyasint"`
	Process   string  `cbor:"8,keyasint"`
	Came      bool    `cbor:"4,keyasint,omitempty"`
	Told      bool    `cbor:"5,keyasint,omitempty"`
	Limited   bool    `cbor:"6,keyasint,omitempty"`
	PerSecond float64 `cbor:"7,keyasint,omitempty"`
}

// wireCensus asks an entry to report what it sent to an upstream.
type wireCensus struct {
	Upstream  string  `cbor:"1,keyasint"`
	Born      int64   `cbor:"2,keyasint"`
	PerSecond float64 `cbor:"3,keyasint"`
}

// tellOne sends a message on limits to one entry.
func (e *Exchanger) tellOne(entry, key string, message any) {
	b, err := cbor.Marshal(message)
	if err != nil {
		e.log.Error("message on a limit not told", "key", key, "to", entry, "error", err)
		return
	}
	e.gossip.Tell([]string{entry}, key+e.opts.Name, firstVersion, b)
}

func encodeLimit(w wireLimit) ([]byte, error) {
	b, err := cbor.Marshal(w)
	return b, errors.Annotate(err, "encode limit")
}

// decode reads a message on limits.
func decode[T any](b []byte, what string) (T, error) {
	var w T
	err := cbor.Unmarshal(b, &w)
	return w, errors.Annotatef(err, "decode %s", what)
}

func decodeLimit(b []byte) (wireLimit, error)       { return decode[wireLimit](b, "limit") }
func decodeAsk(b []byte) (wireAsk, error)           { return decode[wireAsk](b, "ask") }
func decodeDecision(b []byte) (wireDecision, error) { return decode[wireDecision](b, "decision") }
func decodeUse(b []byte) (wireUse, error)           { return decode[wireUse](b, "use of a permit") }
func decodeCensus(b []byte) (wireCensus, error)     { return decode[wireCensus](b, "census") }

func toWireSends(sends []throttler.Sends) []wireSends {
	var out []wireSends
	for _, s := range sends {
		w := wireSends{Granter: s.Granter, Open: s.Open}
		for _, age := range s.Ages {
			w.AgesMillis = append(w.AgesMillis, int64(age))
		}
		out = append(out, w)
	}
	return out
}

func fromWireSends(sends []wireSends) []throttler.Sends {
	var out []throttler.Sends
	for _, w := range sends {
		s := throttler.Sends{Granter: w.Granter, Open: w.Open}
		for _, age := range w.AgesMillis {
			s.Ages = append(s.Ages, sequoiasill.Millis(age))
		}
		out = append(out, s)
	}
	return out
}
