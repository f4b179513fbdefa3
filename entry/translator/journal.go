package translator

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
	"sequoiasill.dev/sequoiasill/entry/peerpb"
)

// EncodeOutcome encodes the outcome of a journalled request.
func EncodeOutcome(o journaler.Outcome) *peerpb.Outcome {
	return &peerpb.Outcome{
		Verdict: int32(o.Verdict), Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body, BodyDropped: o.BodyDropped,
	}
}

// DecodeOutcome decodes the outcome of a journalled request.
func DecodeOutcome(o *peerpb.Outcome) journaler.Outcome {
	return journaler.Outcome{
		Verdict: sequoiasill.Verdict(o.GetVerdict()), Status: int(o.GetStatus()), ContentType: o.GetContentType(),
		Body: o.GetBody(), BodyDropped: o.GetBodyDropped(),
	}
}

// EncodeJournalEntry encodes a journal entry without its key, which the receiver knows.
func EncodeJournalEntry(e journaler.Entry) *peerpb.JournalEntry {
	return &peerpb.JournalEntry{
		Digest: e.Digest, Writer: e.Writer.Entry, Address: e.Writer.Address, Session: e.Writer.Session, Nonce: e.Nonce,
		AtMillis: int64(e.At), State: int32(e.State), Outcome: EncodeOutcome(e.Outcome),
	}
}

// DecodeJournalEntry decodes a journal entry. The key is not set.
func DecodeJournalEntry(e *peerpb.JournalEntry) journaler.Entry {
	return journaler.Entry{
		Digest: e.GetDigest(),
		Writer: journaler.Writer{Entry: e.GetWriter(), Address: e.GetAddress(), Session: e.GetSession()},
		Nonce:  e.GetNonce(), At: sequoiasill.Millis(e.GetAtMillis()), State: journaler.State(e.GetState()),
		Outcome: DecodeOutcome(e.GetOutcome()),
	}
}
