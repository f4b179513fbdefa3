package exchanger

import (
	"strconv"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
)

const (
	keyBrittle = "brittle/" // + service: rejected calls in a second that each of its upstreams withstands
	// brittleTTL is how long it is gossiped. Entries that use the service learn from its responses
	// whether it still holds.
	brittleTTL = 10 * sequoiasill.Second
)

// AnnounceBrittle publishes that the upstreams of a service are brittle, and how many rejected calls
// in a second each withstands.
func (e *Exchanger) AnnounceBrittle(service string, rejections float64) {
	value := strconv.FormatFloat(rejections, 'g', -1, 64)
	e.gossip.Publish(keyBrittle+service, uint64(e.clock.Now()), []byte(value), true, brittleTTL)
}

func (e *Exchanger) handleBrittle(service string, f gossiper.Fact) {
	rejections, err := strconv.ParseFloat(string(f.Value), 64)
	if err != nil || !(rejections > 0 && rejections <= sequoiasill.MaxNumber) {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	e.calls.RecordBrittle(service, rejections)
}
