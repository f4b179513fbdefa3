package recorder

import (
	"encoding/json"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
)

// wireHead is the stored form of a bucket's head; wireSegment is that of a segment.
type wireHead struct {
	Entries []wireEntry `json:"entries"`
	Sealed  []wireRef   `json:"sealed"`
}

type wireEntry struct {
	Key         []byte `json:"key"`
	Digest      uint64 `json:"digest"`
	Entry       string `json:"entry"`
	Address     string `json:"address"`
	Session     uint64 `json:"session"`
	Nonce       uint64 `json:"nonce"`
	At          int64  `json:"atMillis"`
	State       int    `json:"state"`
	Verdict     string `json:"verdict,omitempty"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Dropped     bool   `json:"bodyDropped,omitempty"`
}

type wireRef struct {
	Name   string `json:"name"`
	Keys   int    `json:"keys"`
	Newest int64  `json:"newestMillis"`
}

// wireSegment holds the concatenated keys, each followed by one byte with its
// verdict.
type wireSegment struct {
	Keys []byte `json:"keys"`
}

const (
	keySize       = len(journaler.KeyHash{})
	sealedKeySize = keySize + 1
)

// EncodeHead encodes a head for the store.
func EncodeHead(h journaler.Head) ([]byte, error) {
	w := wireHead{Entries: []wireEntry{}, Sealed: []wireRef{}}
	for _, e := range h.Entries {
		x := wireEntry{
			Key: e.Key[:], Digest: e.Digest, Entry: e.Writer.Entry, Address: e.Writer.Address, Session: e.Writer.Session,
			Nonce: e.Nonce, At: int64(e.At), State: int(e.State),
		}
		if e.State == journaler.Done {
			x.Verdict, x.Status, x.ContentType = e.Outcome.Verdict.String(), e.Outcome.Status, e.Outcome.ContentType
			x.Body, x.Dropped = e.Outcome.Body, e.Outcome.BodyDropped
		}
		w.Entries = append(w.Entries, x)
	}
	for _, r := range h.Sealed {
		w.Sealed = append(w.Sealed, wireRef{Name: r.Name, Keys: r.Keys, Newest: int64(r.Newest)})
	}
	b, err := json.Marshal(w)
	return b, errors.Annotate(err, "encode head")
}

// DecodeHead decodes the output of EncodeHead.
func DecodeHead(b []byte) (journaler.Head, error) {
	var w wireHead
	if err := json.Unmarshal(b, &w); err != nil {
		return journaler.Head{}, errors.Annotate(err, "decode head")
	}
	var h journaler.Head
	for _, x := range w.Entries {
		if len(x.Key) != keySize {
			return journaler.Head{}, errors.New("decode head: wrong key length")
		}
		e := journaler.Entry{
			Key: journaler.KeyHash(x.Key), Digest: x.Digest, Nonce: x.Nonce, At: sequoiasill.Millis(x.At),
			Writer: journaler.Writer{Entry: x.Entry, Address: x.Address, Session: x.Session}, State: journaler.State(x.State),
		}
		if e.State == journaler.Done {
			e.Outcome = journaler.Outcome{
				Verdict: sequoiasill.ParseVerdict(x.Verdict), Status: x.Status, ContentType: x.ContentType, Body: x.Body, BodyDropped: x.Dropped,
			}
		}
		h.Entries = append(h.Entries, e)
	}
	for _, r := range w.Sealed {
		h.Sealed = append(h.Sealed, journaler.SegmentRef{Name: r.Name, Keys: r.Keys, Newest: sequoiasill.Millis(r.Newest)})
	}
	return h, nil
}

// EncodeSegment encodes a segment for the store.
func EncodeSegment(keys []journaler.SealedKey) ([]byte, error) {
	w := wireSegment{Keys: make([]byte, 0, len(keys)*sealedKeySize)}
	for _, k := range keys {
		w.Keys = append(w.Keys, k.Key[:]...)
		w.Keys = append(w.Keys, byte(k.Verdict))
	}
	b, err := json.Marshal(w)
	return b, errors.Annotate(err, "encode segment")
}

// DecodeSegment decodes the output of EncodeSegment.
func DecodeSegment(b []byte) ([]journaler.SealedKey, error) {
	var w wireSegment
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, errors.Annotate(err, "decode segment")
	}
	if len(w.Keys)%sealedKeySize != 0 {
		return nil, errors.New("decode segment: truncated key")
	}
	var keys []journaler.SealedKey
	for i := 0; i < len(w.Keys); i += sealedKeySize {
		keys = append(keys, journaler.SealedKey{
			Key:     journaler.KeyHash(w.Keys[i : i+keySize]),
			Verdict: sequoiasill.Verdict(w.Keys[i+keySize]),
		})
	}
	return keys, nil
}
