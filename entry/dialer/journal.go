package dialer

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
	"sequoiasill.dev/sequoiasill/decide/picker"
	"sequoiasill.dev/sequoiasill/entry/recorder"
)

// Journal journals through the bucket's preferred entry, so that writes to a bucket
// rarely conflict. If the preferred entry does not respond, it journals through this
// one: any entry may write any bucket.
type Journal struct {
	dialer *Dialer
	local  *recorder.Recorder
}

// NewJournal returns a Journal that uses other entries and the recorder of this one.
func NewJournal(d *Dialer, local *recorder.Recorder) *Journal {
	return &Journal{dialer: d, local: local}
}

// remoteTimeout is the timeout of a Begin on the preferred entry, after which this one
// journals the intent itself.
const remoteTimeout = sequoiasill.Second

// preferredAddress returns the address of the bucket's preferred entry, or "" if that
// is this one.
func (j *Journal) preferredAddress(key journaler.KeyHash) string {
	bucket := uint64(key.Bucket(j.local.Buckets()))
	self := j.dialer.members.Self()
	best, bestWeight := "", uint64(0)
	for _, m := range j.dialer.members.Members() {
		if m.Leaving {
			continue
		}
		if w := picker.Rendezvous("journal", bucket, m.Name); w >= bestWeight {
			bestWeight = w
			best = m.Address
			if m.Name == self.Name {
				best = ""
			}
		}
	}
	return best
}

// Begin implements claimer.Journal.
func (j *Journal) Begin(ev journaler.Begin) (journaler.Answer, error) {
	if address := j.preferredAddress(ev.Key); address != "" {
		timeout := min(remoteTimeout, ev.Deadline-j.dialer.clock.Now())
		if a, err := j.dialer.Begin(address, ev, timeout); err == nil {
			return a, nil
		}
	}
	return j.local.Begin(ev), nil
}

// Conclude implements claimer.Journal.
func (j *Journal) Conclude(ev journaler.Conclude) error {
	if address := j.preferredAddress(ev.Key); address != "" {
		if err := j.dialer.Conclude(address, ev, concludeTimeout); err == nil {
			return nil
		}
	}
	j.local.Conclude(ev)
	return nil
}

// concludeTimeout is the timeout of a Conclude on the preferred entry.
const concludeTimeout = 5 * sequoiasill.Second
