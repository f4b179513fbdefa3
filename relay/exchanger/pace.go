package exchanger

import (
	"strconv"
	"strings"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/decide/registrar"
)

// keyPace is the prefix of the facts about the time that work usually takes at an upstream. The value is the
// start time of the incarnation and the factor, separated by a space.
const keyPace = "pace/" // + upstream

// AnnouncePace publishes the usual pace of an upstream incarnation. The fact is not urgent: it travels
// with probes, as it holds for as long as the upstream lives.
func (e *Exchanger) AnnouncePace(upstream string, startedAt sequoiasill.Millis, usual float64) {
	value := strconv.FormatInt(int64(startedAt), 10) + " " + strconv.FormatFloat(usual, 'g', 4, 64)
	e.gossip.Publish(keyPace+upstream, uint64(e.clock.Now()), []byte(value), false, registrar.PaceTTL)
}

func (e *Exchanger) handlePace(upstream string, f gossiper.Fact) {
	startedAt, usual, err := decodePace(string(f.Value))
	if err != nil {
		e.log.Warn("fact cannot be read", "key", f.Key, "error", err)
		return
	}
	e.calls.RecordPace(upstream, startedAt, usual)
}

func decodePace(value string) (startedAt sequoiasill.Millis, usual float64, err error) {
	// Later builds may add fields.
	fields := strings.Fields(value)
	if len(fields) < 2 {
		return 0, 0, errors.New("too few fields")
	}
	start, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0, 0, errors.Annotate(err, "parse start time")
	}
	usual, err = strconv.ParseFloat(fields[1], 64)
	if err != nil || !(usual >= registrar.MinPace && usual <= registrar.MaxPace) {
		return 0, 0, errors.Errorf("pace %q is out of range", fields[1])
	}
	return sequoiasill.Millis(start), usual, nil
}
