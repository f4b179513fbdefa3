package journaler

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"

	"sequoiasill.dev/sequoiasill"
)

// sealedBytes is the size of a sealed key in memory and in a segment object.
const sealedBytes = len(KeyHash{}) + 1

// segment is the packed form of sealed keys, sorted by key.
type segment []byte

func pack(keys []SealedKey) segment {
	out := make(segment, 0, len(keys)*sealedBytes)
	for _, k := range keys {
		out = append(out, k.Key[:]...)
		out = append(out, byte(k.Verdict))
	}
	return out
}

func (s segment) len() int { return len(s) / sealedBytes }

func (s segment) at(i int) SealedKey {
	b := s[i*sealedBytes : (i+1)*sealedBytes]
	return SealedKey{Key: KeyHash(b[:len(KeyHash{})]), Verdict: sequoiasill.Verdict(b[len(KeyHash{})])}
}

func (s segment) lookup(k KeyHash) (sequoiasill.Verdict, bool) {
	i := sort.Search(s.len(), func(i int) bool {
		at := s.at(i)
		return slices.Compare(at.Key[:], k[:]) >= 0
	})
	if i < s.len() && s.at(i).Key == k {
		return s.at(i).Verdict, true
	}
	return 0, false
}

// lookup finds a key in the sealed segments.
func (b *Bucket) lookup(k KeyHash) (sequoiasill.Verdict, bool) {
	for _, r := range b.sealed {
		if v, ok := b.segments[r.Name].lookup(k); ok {
			return v, true
		}
	}
	return 0, false
}

// unreadSegment returns the name of a sealed segment that has not been read yet, or "".
func (b *Bucket) unreadSegment() string {
	for _, r := range b.sealed {
		if _, ok := b.segments[r.Name]; !ok {
			return r.Name
		}
	}
	return ""
}

func (b *Bucket) handleSegmentRead(now sequoiasill.Millis, ev SegmentRead) {
	b.busy = false
	if ev.Failed {
		// A newer head may no longer reference the segment.
		b.headLoaded = false
		b.backOff(now)
		return
	}
	b.segments[ev.Name] = pack(ev.Keys)
}

func (b *Bucket) handleSegmentWritten(now sequoiasill.Millis, ev WriteDone) {
	switch ev.Result {
	case WriteOK, WriteConflict:
		b.inFlight.segmentWritten = true
		b.segments[b.inFlight.segment.Name] = pack(b.inFlight.segment.Keys)
	case WriteRefused, WriteUnknown:
		// The name is derived from the content, so the write is idempotent.
		b.backOff(now)
	}
}

// unexpiredSegments returns the sealed segments whose newest key is within
// KeyRetention.
func (b *Bucket) unexpiredSegments(now sequoiasill.Millis) []SegmentRef {
	var out []SegmentRef
	for _, r := range b.sealed {
		if now-r.Newest < b.opts.KeyRetention {
			out = append(out, r)
		}
	}
	return out
}

// mergeFactor limits write amplification: a segment that has more than mergeFactor
// times the keys being sealed is not merged with them, so each key is rewritten only a
// few times.
const mergeFactor = 4

// seal moves the oldest entries from next into a new segment if next exceeds
// MaxHeadEntries, until half of that number is left or no further entry is old enough. It
// merges the latest small segments into the new one.
func (b *Bucket) seal(now sequoiasill.Millis, next map[KeyHash]Entry, refs []SegmentRef) (*WriteSegment, []SegmentRef) {
	if len(next) <= b.opts.MaxHeadEntries {
		return nil, refs
	}
	var keys []SealedKey
	var newest sequoiasill.Millis
	for _, e := range sortedEntries(next) {
		if len(next) <= b.opts.MaxHeadEntries/2 || !b.sealable(now, e) {
			continue
		}
		delete(next, e.Key)
		newest = max(newest, e.At)
		if e.State != Void {
			keys = append(keys, SealedKey{Key: e.Key, Verdict: verdictOf(e)})
		}
	}
	if len(keys) == 0 {
		return nil, refs
	}
	refs = slices.Clone(refs)
	for len(refs) > 0 {
		last := refs[len(refs)-1]
		if last.Keys > mergeFactor*len(keys) || last.Keys+len(keys) > b.opts.MaxSegmentKeys {
			break
		}
		s := b.segments[last.Name]
		for i := range s.len() {
			keys = append(keys, s.at(i))
		}
		refs = refs[:len(refs)-1]
	}
	slices.SortFunc(keys, func(x, y SealedKey) int { return slices.Compare(x.Key[:], y.Key[:]) })
	sum := sha256.Sum256(pack(keys))
	w := &WriteSegment{Name: hex.EncodeToString(sum[:16]), Keys: keys}
	return w, append(refs, SegmentRef{Name: w.Name, Keys: len(keys), Newest: newest})
}

func verdictOf(e Entry) sequoiasill.Verdict {
	if e.State == Done {
		return e.Outcome.Verdict
	}
	return sequoiasill.MayHaveRun
}

func (b *Bucket) sealable(now sequoiasill.Millis, e Entry) bool {
	if e.State == Intent {
		return now-e.At >= b.opts.IntentRetention
	}
	return now-e.At >= b.opts.BodyRetention
}
