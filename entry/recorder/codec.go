package recorder

import (
	"encoding/json"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
)

// The stored forms of a bucket's head and segments.
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

// wireSegment holds the keys one after the other, each followed by its verdict.
type wireSegment struct {
	Keys []byte `json:"keys"`
}

const (
	keyBytes    = len(journaler.KeyHash{})
	sealedBytes = keyBytes + 1
)

// EncodeHead returns the stored form of a head.
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

// DecodeHead reads what EncodeHead wrote.
func DecodeHead(b []byte) (journaler.Head, error) {
	var w wireHead
	if err := json.Unmarshal(b, &w); err != nil {
		return journaler.Head{}, errors.Annotate(err, "decode head")
	}
	var h journaler.Head
	for _, x := range w.Entries {
		if len(x.Key) != keyBytes {
			return journaler.Head{}, errors.New("decode head: key of a wrong length")
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

// EncodeSegment returns the stored form of a segment.
func EncodeSegment(keys []journaler.SealedKey) ([]byte, error) {
	w := wireSegment{Keys: make([]byte, 0, len(keys)*sealedBytes)}
	for _, k := range keys {
		w.Keys = append(w.Keys, k.Key[:]...)
		w.Keys = append(w.Keys, byte(k.Verdict))
	}
	b, err := json.Marshal(w)
	return b, errors.Annotate(err, "encode segment")
}

// DecodeSegment reads what EncodeSegment wrote.
func DecodeSegment(b []byte) ([]journaler.SealedKey, error) {
	var w wireSegment
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, errors.Annotate(err, "decode segment")
	}
	if len(w.Keys)%sealedBytes != 0 {
		return nil, errors.New("decode segment: torn key")
	}
	var keys []journaler.SealedKey
	for i := 0; i < len(w.Keys); i += sealedBytes {
		keys = append(keys, journaler.SealedKey{
			Key:     journaler.KeyHash(w.Keys[i : i+keyBytes]),
			Verdict: sequoiasill.Verdict(w.Keys[i+keyBytes]),
		})
	}
	return keys, nil
}
