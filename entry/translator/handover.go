package translator

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/peerpb"
)

// EncodeHandover encodes a running job. Its deadline is sent relative to now.
func EncodeHandover(h generator.HandoverJob, now sequoiasill.Millis) *peerpb.Handed {
	r := h.Job.Request
	return &peerpb.Handed{
		Id: string(r.ID), Organisation: r.Organisation, Service: r.Service, Class: int32(r.Class),
		PromptTokens: int64(r.PromptTokens), OutputTokens: int64(r.OutputTokens),
		RemainingMillis: int64(r.Deadline - now), Digest: r.Digest, Prefix: r.Prefix,
		Pool: h.Job.Pool, Version: h.Job.Version, Weight: int32(h.Job.Weight), Body: h.Job.Body,
		Stream: h.Job.Stream, Upstream: h.Job.Upstream, StreamId: h.Job.StreamID, Tokens: h.Tokens,
	}
}

// DecodeHandover decodes a running job.
func DecodeHandover(h *peerpb.Handed, now sequoiasill.Millis) generator.HandoverJob {
	return generator.HandoverJob{Tokens: h.GetTokens(), Job: generator.Job{
		Request: sequoiasill.Request{
			ID: sequoiasill.RequestID(h.GetId()), Organisation: h.GetOrganisation(), Service: h.GetService(),
			Class: sequoiasill.Class(h.GetClass()), PromptTokens: int(h.GetPromptTokens()),
			OutputTokens: int(h.GetOutputTokens()), Deadline: now + sequoiasill.Millis(h.GetRemainingMillis()),
			Digest: h.GetDigest(), Prefix: h.GetPrefix(),
		},
		Pool: h.GetPool(), Version: h.GetVersion(), Weight: int(h.GetWeight()), Body: h.GetBody(),
		Stream: h.GetStream(), Upstream: h.GetUpstream(), StreamID: h.GetStreamId(),
	}}
}

// EncodeFailure encodes a failure. It returns nil for nil.
func EncodeFailure(f *sequoiasill.Failure) *peerpb.Failure {
	if f == nil {
		return nil
	}
	return &peerpb.Failure{
		Verdict: int32(f.Verdict), Code: string(f.Code), Status: int32(f.Status), Message: f.Message,
		RetryAfterMillis: int64(f.RetryAfter),
	}
}

// DecodeFailure decodes a failure. It returns nil for nil.
func DecodeFailure(f *peerpb.Failure) *sequoiasill.Failure {
	if f == nil {
		return nil
	}
	return &sequoiasill.Failure{
		Verdict: sequoiasill.Verdict(f.GetVerdict()), Code: sequoiasill.Code(f.GetCode()), Status: int(f.GetStatus()),
		Message: f.GetMessage(), RetryAfter: sequoiasill.Millis(f.GetRetryAfterMillis()),
	}
}
