package roller

import (
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/entry/shifter"
)

// order is an operator's order as it stands in the store.
type order struct {
	sequoiasill.Rollout

	began    sequoiasill.Millis // when it was first seen by any entry
	differed sequoiasill.Millis // since when the recorded state is not that of the move, 0 for it is
}

// move returns the order as a move of the product.
func (o order) move() sequoiasill.Move {
	span := o.Duration - min(endSpan, o.Duration/shortOrder)
	return sequoiasill.Move{Name: o.Service + "-" + o.Target, Service: o.Service, To: o.Target, Start: o.began, Deadline: o.began + max(span, 1)}
}

// Take takes in an order as it stands in the store and tells the other entries.
func (r *Roller) Take(ro sequoiasill.Rollout) {
	taken, fresh := r.set(order{Rollout: ro, began: r.clock.Now()}, "store")
	p := r.peers()
	if !fresh || p == nil {
		return
	}
	value, err := encodeOrder(taken)
	if err != nil {
		r.log.Error("order to move a service not told", "error", err)
		return
	}
	p.Publish(orderPrefix+ro.Service, ro.Revision, value, true, 0)
}

// Learn takes in a fact of another entry.
func (r *Roller) Learn(f gossiper.Fact) {
	service, ok := strings.CutPrefix(f.Key, orderPrefix)
	if !ok {
		r.shifter.Learn(f)
		return
	}
	o, err := decodeOrder(service, f.Version, f.Value)
	if err != nil {
		r.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	r.set(o, "gossip")
}

// set takes in an order if it is newer, and returns it as it is kept.
func (r *Roller) set(o order, source string) (order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.orders[o.Service]
	if known && old.Revision >= o.Revision {
		return old, false
	}
	same := known && old.Target == o.Target && old.Duration == o.Duration
	if same {
		o.began, o.differed = min(o.began, old.began), old.differed
	}
	r.orders[o.Service] = o
	cfg := sequoiasill.Config{}
	for _, x := range r.orders {
		cfg.Moves = append(cfg.Moves, x.move())
		cfg.Generation = max(cfg.Generation, x.Revision)
	}
	r.shifter.SetConfig(cfg)
	if o.State != sequoiasill.MoveOpen {
		r.learnEnd(o)
	}
	if !same || old.State != o.State {
		r.log.Info("move ordered", "service", o.Service, "version", o.Target, "duration", o.Duration, "state", o.State,
			"revision", o.Revision, "source", source)
	}
	return o, true
}

// learnEnd tells the shifter of an end that stands in the store.
func (r *Roller) learnEnd(o order) {
	name := o.move().Name
	value, err := encoder.EncodeStatus(sequoiasill.MoveStatus{Move: name, End: o.State})
	if err != nil {
		r.log.Error("status not encoded", "error", err)
		return
	}
	r.shifter.Learn(gossiper.Fact{Key: shifter.StatusPrefix + name, Value: value})
}

// Moves returns how the moves stand by service.
func (r *Roller) Moves() map[string]sequoiasill.MoveStatus {
	out := make(map[string]sequoiasill.MoveStatus)
	for _, report := range r.shifter.Reports() {
		out[report.Move.Service] = report.Status
	}
	return out
}

// orderPrefix begins the keys of the facts that tell of operators' orders to move a
// service; its name follows.
const orderPrefix = "order/"

// wireOrder is an order as entries tell each other of it. Fields are numbered, so
// that messages stay small.
type wireOrder struct {
	Target   string `cbor:"1,keyasint"`
	Duration int64  `cbor:"2,keyasint"`
	Began    int64  `cbor:"3,keyasint"`
	State    string `cbor:"4,keyasint,omitempty"`
	Started  bool   `cbor:"5,keyasint,omitempty"`
}

func encodeOrder(o order) ([]byte, error) {
	b, err := cbor.Marshal(wireOrder{
		Target: o.Target, Duration: int64(o.Duration), Began: int64(o.began), State: string(o.State), Started: o.Started,
	})
	return b, errors.Annotate(err, "encode order")
}

func decodeOrder(service string, revision uint64, b []byte) (order, error) {
	var w wireOrder
	if err := cbor.Unmarshal(b, &w); err != nil {
		return order{}, errors.Annotatef(err, "decode order of %s", service)
	}
	return order{
		Rollout: sequoiasill.Rollout{
			Service: service, Target: w.Target, Duration: sequoiasill.Millis(w.Duration), Revision: revision,
			State: sequoiasill.MoveEnd(w.State), Started: w.Started,
		},
		began: sequoiasill.Millis(w.Began),
	}, nil
}
