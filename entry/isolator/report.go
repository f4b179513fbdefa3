package isolator

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill/decide/quarantiner"
)

// A report is split into parts that fit into a gossip packet. Each part starts with
// the number of parts in two bytes. Each suspect is encoded as eight bytes for its
// fingerprint and one for its level.
const (
	partHeaderBytes = 2
	suspectBytes    = 9
	suspectsPerPart = 100
	maxLevel        = 255
)

func encodeReport(suspects quarantiner.Levels) [][]byte {
	sorted := slices.Sorted(maps.Keys(suspects))
	parts := max((len(sorted)+suspectsPerPart-1)/suspectsPerPart, 1)
	out := make([][]byte, 0, parts)
	for i := range parts {
		b := binary.BigEndian.AppendUint16(nil, uint16(parts))
		for _, f := range sorted[min(i*suspectsPerPart, len(sorted)):min((i+1)*suspectsPerPart, len(sorted))] {
			b = binary.BigEndian.AppendUint64(b, uint64(f))
			b = append(b, byte(min(suspects[f], maxLevel)))
		}
		out = append(out, b)
	}
	return out
}

func decodeReport(b []byte) (parts int, suspects quarantiner.Levels, err error) {
	if len(b) < partHeaderBytes || (len(b)-partHeaderBytes)%suspectBytes != 0 {
		return 0, nil, errors.New("decode report: wrong length")
	}
	suspects = make(quarantiner.Levels)
	for rest := b[partHeaderBytes:]; len(rest) > 0; rest = rest[suspectBytes:] {
		f := quarantiner.Fingerprint(binary.BigEndian.Uint64(rest))
		suspects[f] = int(rest[suspectBytes-1])
	}
	return int(binary.BigEndian.Uint16(b)), suspects, nil
}
