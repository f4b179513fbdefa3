package exchanger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/throttler"
)

// wireLimit is the rate limit, if any, of the upstream incarnation started at StartedAt.
type wireLimit struct {
	StartedAt int64   `cbor:"1,keyasint"`
	Limited   bool    `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
}

// wireAsk requests a permit from the keeper of a limit and reports the calls sent so far.
// Without WantsPermit it is only a report.
type wireAsk struct {
	Upstream     string      `cbor:"1,keyasint"`
	StartedAt    int64       `cbor:"2,keyasint"`
	ID           uint64      `cbor:"3,keyasint"`
	WantsPermit  bool        `cbor:"4,keyasint,omitempty"`
	FromUpstream bool        `cbor:"9,keyasint,omitempty"` // the upstream sent the limit to this entry in a response
	PerSecond    float64     `cbor:"5,keyasint"`
	AgeMillis    int64       `cbor:"6,keyasint"` // age of the last such response
	Process      string      `cbor:"7,keyasint"`
	Sends        []wireSends `cbor:"8,keyasint,omitempty"`
}

// wireSends lists the calls that were sent with permits of one granter.
type wireSends struct {
	_          struct{} `cbor:",toarray"`
	Granter    string
	AgesMillis []int64
	Open       int
}

// wireDecision is the response to a wireAsk.
type wireDecision struct {
	Upstream    string `cbor:"1,keyasint"`
	StartedAt   int64  `cbor:"2,keyasint"`
	ID          uint64 `cbor:"3,keyasint"`
	WantsPermit bool   `cbor:"4,keyasint,omitempty"`
	Granted     bool   `cbor:"5,keyasint,omitempty"`
	Lifted      bool   `cbor:"6,keyasint,omitempty"`
	WaitMillis  int64  `cbor:"7,keyasint,omitempty"`
	Granter     string `cbor:"8,keyasint,omitempty"`
}

// wireUse reports how a granted call ended and what limit its response announced.
type wireUse struct {
	Upstream  string  `cbor:"1,keyasint"`
	StartedAt int64   `cbor:"2,keyasint"`
	ID        uint64  `cbor:"3,keyasint"`
	Process   string  `cbor:"8,keyasint"`
	Reached   bool    `cbor:"4,keyasint,omitempty"`
	Reported  bool    `cbor:"5,keyasint,omitempty"`
	Limited   bool    `cbor:"6,keyasint,omitempty"`
	PerSecond float64 `cbor:"7,keyasint,omitempty"`
}

// wireCensus asks an entry to report the calls that it sent to an upstream.
type wireCensus struct {
	Upstream  string  `cbor:"1,keyasint"`
	StartedAt int64   `cbor:"2,keyasint"`
	PerSecond float64 `cbor:"3,keyasint"`
}

// sendTo sends a message about a limit to one entry.
func (e *Exchanger) sendTo(entry, key string, message any) {
	b, err := cbor.Marshal(message)
	if err != nil {
		e.log.Error("cannot encode message about a limit", "key", key, "to", entry, "error", err)
		return
	}
	e.gossip.SendDirect([]string{entry}, key+e.opts.Name, baseVersion, b)
}

func encodeLimit(w wireLimit) ([]byte, error) {
	b, err := cbor.Marshal(w)
	return b, errors.Annotate(err, "encode limit")
}

// decode decodes a message about a limit.
func decode[T any](b []byte, what string) (T, error) {
	var w T
	err := cbor.Unmarshal(b, &w)
	return w, errors.Annotatef(err, "decode %s", what)
}

func decodeDecision(b []byte) (wireDecision, error) { return decode[wireDecision](b, "decision") }

func decodeLimit(b []byte) (wireLimit, error) {
	w, err := decode[wireLimit](b, "limit")
	return w, checkRate(w.PerSecond, err)
}

func decodeAsk(b []byte) (wireAsk, error) {
	w, err := decode[wireAsk](b, "ask")
	return w, checkRate(w.PerSecond, err)
}

func decodeUse(b []byte) (wireUse, error) {
	w, err := decode[wireUse](b, "use of a permit")
	return w, checkRate(w.PerSecond, err)
}

func decodeCensus(b []byte) (wireCensus, error) {
	w, err := decode[wireCensus](b, "census")
	return w, checkRate(w.PerSecond, err)
}

// checkRate returns err, or an error if a rate is no number that a limit can have.
func checkRate(perSecond float64, err error) error {
	if err == nil && !(perSecond >= 0 && perSecond <= sequoiasill.MaxNumber) {
		return errors.Errorf("rate of %g calls per second", perSecond)
	}
	return err
}

func toWireSends(sends []throttler.SentCalls) []wireSends {
	var out []wireSends
	for _, s := range sends {
		w := wireSends{Granter: s.Granter, Open: s.Outstanding}
		for _, age := range s.Ages {
			w.AgesMillis = append(w.AgesMillis, int64(age))
		}
		out = append(out, w)
	}
	return out
}

func fromWireSends(sends []wireSends) []throttler.SentCalls {
	var out []throttler.SentCalls
	for _, w := range sends {
		s := throttler.SentCalls{Granter: w.Granter, Outstanding: w.Open}
		for _, age := range w.AgesMillis {
			s.Ages = append(s.Ages, sequoiasill.Millis(age))
		}
		out = append(out, s)
	}
	return out
}
