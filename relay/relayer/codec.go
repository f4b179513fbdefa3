package relayer

import (
	"net/http"
	"strconv"

	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
	"sequoiasill.dev/sequoiasill/relay/relaypb"
)

func encodeOffer(c dispatcher.RelayedCall) *relaypb.ServeRequest {
	return &relaypb.ServeRequest{Part: &relaypb.ServeRequest_Offer{Offer: &relaypb.Offer{Service: c.Service, TrafficVersion: c.TrafficVersion}}}
}

// encodeCall encodes a call with durations instead of times, as the clocks of entries differ.
func encodeCall(c dispatcher.RelayedCall, now sequoiasill.Millis) *relaypb.ServeRequest {
	call := c.Call
	return &relaypb.ServeRequest{Part: &relaypb.ServeRequest_Call{Call: &relaypb.Call{
		Id: call.ID, Method: call.Method, Target: call.Target, Host: call.Host, Key: call.Key, Header: encodeHeader(call.Header), Body: call.Body,
		ElapsedMillis: int64(now - call.ArrivedAt), RemainingMillis: int64(call.Deadline - now), Prompt: encodePrompt(call.Prompt),
		LastEvent: call.LastEvent, Runs: int32(c.Runs),
	}}}
}

func decodeCall(c *relaypb.Call, now sequoiasill.Millis) *sequoiasill.Call {
	return &sequoiasill.Call{
		ID: c.GetId(), Method: c.GetMethod(), Target: c.GetTarget(), Host: c.GetHost(), Key: c.GetKey(), Header: decodeHeader(c.GetHeader()), Body: c.GetBody(),
		ArrivedAt: now - sequoiasill.Millis(c.GetElapsedMillis()), Deadline: now + sequoiasill.Millis(c.GetRemainingMillis()),
		Prompt: decodePrompt(c.GetPrompt()), LastEvent: c.GetLastEvent(),
	}
}

func encodePrompt(p sequoiasill.Prompt) *relaypb.Prompt {
	out := &relaypb.Prompt{HasSizes: p.HasSizes, Model: p.Model, Tokens: int64(p.Tokens), MaxOutput: int64(p.MaxOutput), OutputHint: int64(p.OutputHint)}
	for _, part := range p.Parts {
		out.Parts = append(out.Parts, &relaypb.Part{Id: part.ID, Tokens: int64(part.Tokens)})
	}
	return out
}

func decodePrompt(p *relaypb.Prompt) sequoiasill.Prompt {
	out := sequoiasill.Prompt{HasSizes: p.GetHasSizes(), Model: p.GetModel(), Tokens: int(p.GetTokens()), MaxOutput: int(p.GetMaxOutput()), OutputHint: int(p.GetOutputHint())}
	for _, part := range p.GetParts() {
		out.Parts = append(out.Parts, sequoiasill.PromptPart{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	return out
}

func encodeHeader(h http.Header) []*relaypb.Header {
	out := make([]*relaypb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &relaypb.Header{Name: name, Values: values})
	}
	return out
}

func encodeRefusal(f *sequoiasill.Failure, runs, arrivals int) *relaypb.ServeResponse {
	return &relaypb.ServeResponse{Part: &relaypb.ServeResponse_Refusal{Refusal: &relaypb.Refusal{
		Status: int32(f.Status), Code: string(f.Code), Message: f.Message, Verdict: f.Verdict.String(), RetryAfterMillis: int64(f.RetryAfter), Runs: int32(runs), Arrivals: proto.Int32(int32(arrivals)),
	}}}
}

// decodeRefusal decodes a refusal. If it does not tell the arrivals, they are untold.
func decodeRefusal(r *relaypb.Refusal, untold int) *dispatcher.RefusalError {
	arrivals := untold
	if r.Arrivals != nil {
		arrivals = int(r.GetArrivals())
	}
	f := sequoiasill.NewFailure(sequoiasill.ParseVerdict(r.GetVerdict()), sequoiasill.Code(r.GetCode()), int(r.GetStatus()), "%s", r.GetMessage())
	return &dispatcher.RefusalError{Failure: f.WithRetryAfter(sequoiasill.Millis(r.GetRetryAfterMillis())), Runs: int(r.GetRuns()), Arrivals: arrivals}
}

// runsTrailer is the metadata key of the number of runs of a response that broke off.
const runsTrailer = "runs"

func runsOf(trailer metadata.MD) int {
	for _, v := range trailer.Get(runsTrailer) {
		if n, err := strconv.Atoi(v); err == nil {
			return n
		}
	}
	return 0
}
