package roller

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/config/encoder"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/entry/shifter"
)

// order is an operator's order as stored.
type order struct {
	sequoiasill.Rollout

	fromStore       bool               // read from the store by this entry
	running         []string           // versions of the service's upstreams at that time, nil for an order of another entry
	startedAt       sequoiasill.Millis // time at which the first entry received the order
	unrecordedSince sequoiasill.Millis // time since which the stored state differs from the move's, 0 if it does not
}

// move returns the move that carries out the order.
func (o order) move() sequoiasill.Move {
	duration := o.Duration - min(endMargin, o.Duration/endMarginDivisor)
	return sequoiasill.Move{Name: o.Service + "-" + o.Target, Service: o.Service, From: o.from(), To: o.Target, Start: o.startedAt, Deadline: o.startedAt + max(duration, 1), Until: o.startedAt + o.Duration, Order: o.Order}
}

// from returns the version with which the target is compared: that in use, or any other if it is not
// known or the target itself.
func (o order) from() string {
	if o.InUse == o.Target {
		return ""
	}
	return o.InUse
}

// ApplyOrder processes an order read from the store and publishes it to the other entries.
func (r *Roller) ApplyOrder(ro sequoiasill.Rollout) {
	kept, updated := r.setOrder(order{Rollout: ro, startedAt: r.clock.Now(), fromStore: true, running: r.versions(ro.Service)}, "store")
	p := r.peers()
	if !updated || p == nil {
		return
	}
	value, err := encodeOrder(kept)
	if err != nil {
		r.log.Error("failed to encode order to move a service", "error", err)
		return
	}
	p.Publish(orderPrefix+ro.Service, ro.Revision, value, true, 0)
}

// HandleFact processes a fact gossiped by another entry.
func (r *Roller) HandleFact(f gossiper.Fact) {
	service, ok := strings.CutPrefix(f.Key, orderPrefix)
	if !ok {
		r.shifter.HandleFact(f)
		if strings.HasPrefix(f.Key, shifter.StatusPrefix) {
			// The end of a move is recorded at once.
			select {
			case r.changed <- struct{}{}:
			default:
			}
		}
		return
	}
	o, err := decodeOrder(service, f.Version, f.Value)
	if err != nil {
		r.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	r.setOrder(o, "gossip")
}

// setOrder stores an order if its revision is newer. It returns the current order and
// whether it changed.
func (r *Roller) setOrder(o order, source string) (order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.orders[o.Service]
	if known && (old.Revision > o.Revision || old.Revision == o.Revision && o.Order <= old.Order) {
		return old, false
	}
	same := known && o.continues(old)
	switch {
	case same:
		o = o.continued(old)
	case known:
		o = o.replacing(old)
		o.Rollout = o.After(old.Rollout, r.outcome(old))
	case o.Order == 0 && !o.Recorded:
		o.Order = o.Revision
	}
	if o.InUse == "" {
		o.InUse = o.onlyRunning()
	}
	r.orders[o.Service] = o
	cfg := sequoiasill.Config{}
	for _, x := range r.orders {
		cfg.Moves = append(cfg.Moves, x.move())
		cfg.Generation = max(cfg.Generation, x.Revision)
	}
	r.shifter.SetConfig(cfg)
	if o.State != sequoiasill.MoveOpen {
		r.applyEnd(o)
	}
	if !same || old.State != o.State {
		r.log.Info("move ordered", "service", o.Service, "version", o.Target, "duration", o.Duration, "state", o.State,
			"revision", o.Revision, "source", source, "order", o.Order, "inUse", o.InUse, "rejected", o.Rejected)
	}
	return o, true
}

// continues reports whether o, as read later, is the same order as old. The operator may have replaced
// an order by one with the same content, which keeps the status that the store had: then the store's
// object changed without a change of its content.
func (o order) continues(old order) bool {
	switch {
	case old.Target != o.Target || old.Duration != o.Duration || o.Order > old.Order && old.Order > 0:
		return false
	case !o.fromStore || !old.fromStore || sequoiasill.StoreEra(o.Revision) != sequoiasill.StoreEra(old.Revision):
		return true
	}
	return o.Stored != old.Stored && o.Stored != ""
}

// replacing returns o without the status of an earlier order. An older build's status, which has no
// order, is that of the new one if it has changed.
func (o order) replacing(old order) order {
	if o.Order > old.Order {
		return o
	}
	if o.Recorded && (o.Order > 0 || o.Stored == old.Stored) {
		o.State, o.Recorded, o.InUse = sequoiasill.MoveOpen, false, ""
	}
	o.Order = o.Revision
	return o
}

// continued returns o with what is known of the order before it was read again.
func (o order) continued(old order) order {
	o.startedAt, o.unrecordedSince = min(o.startedAt, old.startedAt), old.unrecordedSince
	o.InUse, o.Rejected = cmp.Or(o.InUse, old.InUse), cmp.Or(o.Rejected, old.Rejected)
	if o.Order > 0 && o.Order < old.Order {
		// The status is that of an earlier order.
		o.State, o.Recorded = old.State, old.Recorded
	}
	o.Order = max(o.Order, old.Order)
	return o
}

// outcome returns the recorded outcome of an order, or the one that this entry knows.
func (r *Roller) outcome(o order) sequoiasill.MoveEnd {
	if o.State != sequoiasill.MoveOpen {
		return o.State
	}
	return r.Moves()[o.Service].End
}

// onlyRunning returns the version that the service ran when it was ordered, if its upstreams had
// only one besides the target and the rejected version. If they had none, that is the target.
func (o order) onlyRunning() string {
	var others []string
	for _, version := range o.running {
		if version != o.Target && version != o.Rejected {
			others = append(others, version)
		}
	}
	switch {
	case len(others) == 1:
		return others[0]
	case len(others) == 0 && slices.Contains(o.running, o.Target):
		return o.Target
	}
	return ""
}

// applyEnd passes the outcome of a move that is recorded in the store to the shifter.
func (r *Roller) applyEnd(o order) {
	name := o.move().Name
	value, err := encoder.EncodeStatus(sequoiasill.MoveStatus{Move: name, Order: o.Order, End: o.State})
	if err != nil {
		r.log.Error("status not encoded", "error", err)
		return
	}
	r.shifter.HandleFact(gossiper.Fact{Key: shifter.StatusPrefix + name, Version: o.Revision, Value: value})
}

// Moves returns the status of each move by service.
func (r *Roller) Moves() map[string]sequoiasill.MoveStatus {
	out := make(map[string]sequoiasill.MoveStatus)
	for _, report := range r.shifter.Reports() {
		out[report.Move.Service] = report.Status
	}
	return out
}

// orderPrefix is the key prefix of facts with operators' orders. The name of the service
// follows.
const orderPrefix = "order/"

// wireOrder is the CBOR encoding of an order between entries. Integer keys keep
// messages small.
type wireOrder struct {
	Target    string `cbor:"1,keyasint"`
	Duration  int64  `cbor:"2,keyasint"`
	StartedAt int64  `cbor:"3,keyasint"`
	State     string `cbor:"4,keyasint,omitempty"`
	Started   bool   `cbor:"5,keyasint,omitempty"`
	InUse     string `cbor:"6,keyasint,omitempty"`
	Rejected  string `cbor:"7,keyasint,omitempty"`
	Order     uint64 `cbor:"8,keyasint,omitempty"`
}

func encodeOrder(o order) ([]byte, error) {
	b, err := cbor.Marshal(wireOrder{
		Target: o.Target, Duration: int64(o.Duration), StartedAt: int64(o.startedAt), State: string(o.State), Started: o.Recorded,
		InUse: o.InUse, Rejected: o.Rejected, Order: o.Order,
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
			State: sequoiasill.MoveEnd(w.State), Recorded: w.Started,
			InUse: w.InUse, Rejected: w.Rejected, Order: w.Order,
		},
		startedAt: sequoiasill.Millis(w.StartedAt),
	}, nil
}
