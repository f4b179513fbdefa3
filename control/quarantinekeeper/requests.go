package quarantinekeeper

import (
	"encoding/json"
	"strconv"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/partblamer"
)

// RequestStates are the quarantines of requests, and the crashes under suspects, that an entry knows.
type RequestStates interface {
	State() partblamer.State
	// RestoreState continues with a stored state, except for requests that calls of this process have
	// disproved.
	RestoreState(s partblamer.State)
}

// Requests is the record of the requests that crash upstreams, and of the crashes of those that are suspected.
type Requests struct{ States RequestStates }

// wireRequests is the encoding of a state. Fingerprints and upstreams are in hexadecimal, times in milliseconds
// since 1970.
type wireRequests struct {
	Requests []wireRequest `json:"requests"`
	Crashes  []wireCrash   `json:"crashes"`
}

type wireRequest struct {
	Fingerprint string `json:"fingerprint"`
	Since       int64  `json:"since"`
	Until       int64  `json:"until"`
}

type wireCrash struct {
	Fingerprint string `json:"fingerprint"`
	Upstream    string `json:"upstream"`
	At          int64  `json:"at"`
}

// Name implements Record.
func (Requests) Name() string { return "requestQuarantines" }

// Encode implements Record.
func (r Requests) Encode() (value []byte, empty bool, err error) {
	s := r.States.State()
	w := wireRequests{Requests: []wireRequest{}, Crashes: []wireCrash{}}
	for _, q := range s.Quarantines {
		for _, p := range q.Signature {
			w.Requests = append(w.Requests, wireRequest{Fingerprint: toHex(uint64(p)), Since: int64(q.Since), Until: int64(q.Until)})
		}
	}
	for _, c := range s.Crashes {
		w.Crashes = append(w.Crashes, wireCrash{Fingerprint: toHex(c.Request), Upstream: toHex(c.Upstream), At: int64(c.At)})
	}
	value, err = json.Marshal(w)
	return value, len(w.Requests) == 0 && len(w.Crashes) == 0, errors.Trace(err)
}

// Restore implements Record. What cannot be read is left out.
func (r Requests) Restore(value []byte) (count int, err error) {
	var w wireRequests
	if err := json.Unmarshal(value, &w); err != nil {
		return 0, errors.Trace(err)
	}
	var s partblamer.State
	for _, q := range w.Requests {
		if fingerprint, err := fromHex(q.Fingerprint); err == nil {
			s.Quarantines = append(s.Quarantines, partblamer.Quarantine{
				Signature: partblamer.RequestPart(fingerprint), Since: sequoiasill.Millis(q.Since), Until: sequoiasill.Millis(q.Until),
			})
		}
	}
	for _, c := range w.Crashes {
		fingerprint, err := fromHex(c.Fingerprint)
		upstream, err2 := fromHex(c.Upstream)
		if err == nil && err2 == nil {
			s.Crashes = append(s.Crashes, partblamer.Crash{
				Request: fingerprint, Upstream: upstream, At: sequoiasill.Millis(c.At), Parts: partblamer.RequestPart(fingerprint),
			})
		}
	}
	r.States.RestoreState(s)
	return len(s.Quarantines) + len(s.Crashes), nil
}

func toHex(v uint64) string { return strconv.FormatUint(v, 16) }

func fromHex(s string) (uint64, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	return v, errors.Trace(err)
}
