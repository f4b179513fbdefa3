package translator

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/journaler"
	"sequoiasill.dev/sequoiasill/entry/peerpb"
)

// Outcome encodes the outcome of a journalled request.
func Outcome(o journaler.Outcome) *peerpb.Outcome {
	return &peerpb.Outcome{
		Verdict: int32(o.Verdict), Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body, BodyDropped: o.BodyDropped,
	}
}

// OutcomeOf decodes the outcome of a journalled request.
func OutcomeOf(o *peerpb.Outcome) journaler.Outcome {
	return journaler.Outcome{
		Verdict: sequoiasill.Verdict(o.GetVerdict()), Status: int(o.GetStatus()), ContentType: o.GetContentType(),
		Body: o.GetBody(), BodyDropped: o.GetBodyDropped(),
	}
}

// JournalEntry encodes an entry without its key, which the receiver knows.
func JournalEntry(e journaler.Entry) *peerpb.JournalEntry {
	return &peerpb.JournalEntry{
		Digest: e.Digest, Writer: e.Writer.Entry, Address: e.Writer.Address, Session: e.Writer.Session, Nonce: e.Nonce,
		AtMillis: int64(e.At), State: int32(e.State), Outcome: Outcome(e.Outcome),
	}
}

// JournalEntryOf decodes an entry.
func JournalEntryOf(e *peerpb.JournalEntry) journaler.Entry {
	return journaler.Entry{
		Digest: e.GetDigest(),
		Writer: journaler.Writer{Entry: e.GetWriter(), Address: e.GetAddress(), Session: e.GetSession()},
		Nonce:  e.GetNonce(), At: sequoiasill.Millis(e.GetAtMillis()), State: journaler.State(e.GetState()),
		Outcome: OutcomeOf(e.GetOutcome()),
	}
}
