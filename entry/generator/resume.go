package generator

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/forwarder"
)

// kvTimeout bounds the export and the import of a KV cache and the cancellation of
// a stream.
const kvTimeout = sequoiasill.Second

// open starts or continues the generation on an upstream. To continue, it tries the
// cheapest way first: resuming the engine's stream, then moving its KV cache, then
// recomputing the tokens generated so far. It returns the stream and its ID.
func (r *run) open(up sequoiasill.Upstream, newID string) (*forwarder.Stream, string, *forwarder.AttemptError) {
	previous := r.previous
	r.previous = streamLocation{}
	if previous.upstream == up.Name && previous.streamID != "" {
		stream, attemptErr := r.resume(up, previous.streamID)
		if attemptErr == nil {
			r.g.meter.ResumedStreams.Add(1)
			r.g.log.Info("resumed", "request", r.gen.Job().Request.ID, "upstream", up.Name, "offset", r.gen.tokenCount())
			return stream, previous.streamID, nil
		}
	}
	if previous.upstream != "" && previous.upstream != up.Name && r.gen.tokenCount() > 0 {
		if r.moveKVCache(previous, up, newID) {
			if stream, attemptErr := r.resume(up, newID); attemptErr == nil {
				return stream, newID, nil
			}
		}
	}
	stream, attemptErr := r.recompute(up, newID)
	return stream, newID, attemptErr
}

func (r *run) resume(up sequoiasill.Upstream, streamID string) (*forwarder.Stream, *forwarder.AttemptError) {
	return r.g.forwarder.Open(forwarder.StreamRequest{
		Address: up.Address, Method: "GET", StreamID: streamID,
		URI: fmt.Sprintf("/v1/streams/%s?offset=%d", streamID, r.gen.tokenCount()),
	})
}

// moveKVCache copies the KV cache of a stream from its upstream to another one and
// cancels the old stream.
func (r *run) moveKVCache(from streamLocation, to sequoiasill.Upstream, newID string) bool {
	old, ok := r.g.balancer.Instance(from.upstream)
	if !ok {
		return false
	}
	uri := "/v1/streams/" + from.streamID
	kv, err := r.g.forwarder.Control("GET", old.Address, uri+"/kv", nil, kvTimeout)
	if err != nil {
		return false
	}
	_, _ = r.g.forwarder.Control("DELETE", old.Address, uri, nil, kvTimeout)
	if _, err := r.g.forwarder.Control("PUT", to.Address, "/v1/streams/"+newID+"/kv", kv.Body, kvTimeout); err != nil {
		return false
	}
	r.g.meter.ImportedTokens.Add(int64(r.gen.tokenCount()))
	r.g.log.Info("moved", "request", r.gen.Job().Request.ID, "from", from.upstream, "to", to.Name, "offset", r.gen.tokenCount())
	return true
}

// recompute starts a new stream, which has the engine recompute the tokens
// generated so far.
func (r *run) recompute(up sequoiasill.Upstream, streamID string) (*forwarder.Stream, *forwarder.AttemptError) {
	job := r.gen.Job()
	tokens := r.gen.From(0).Tokens
	body, err := continuationBody(job.Body, job.Request.Class, tokens)
	if err != nil {
		return nil, &forwarder.AttemptError{Verdict: sequoiasill.NotRun, Status: 400, Err: err, Body: []byte(err.Error())}
	}
	r.g.meter.RecomputedTokens.Add(int64(len(tokens)))
	return r.g.forwarder.Open(forwarder.StreamRequest{
		Address: up.Address, Method: "POST", URI: "/v1/chat/completions", Body: body, StreamID: streamID,
	})
}

// continuationBody returns the request body for an attempt: the caller's body with
// streaming enabled and the tokens generated so far as an unfinished last message,
// which the engine continues.
func continuationBody(body []byte, class sequoiasill.Class, tokens []string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Annotate(err, "decode request")
	}
	fields["stream"] = json.RawMessage("true")
	fields["priority"] = json.RawMessage(fmt.Sprint(int(class)))
	if len(tokens) > 0 {
		messages, err := appendPartialResponse(fields["messages"], strings.Join(tokens, ""))
		if err != nil {
			return nil, err
		}
		fields["messages"] = messages
		fields["continue_final_message"] = json.RawMessage("true")
		fields["add_generation_prompt"] = json.RawMessage("false")
	}
	b, err := json.Marshal(fields)
	return b, errors.Annotate(err, "encode request")
}

func appendPartialResponse(raw json.RawMessage, partial string) (json.RawMessage, error) {
	var messages []json.RawMessage
	if err := json.Unmarshal(raw, &messages); err != nil {
		return nil, errors.Annotate(err, "decode messages")
	}
	last, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", partial})
	if err != nil {
		return nil, errors.Annotate(err, "encode message")
	}
	all, err := json.Marshal(append(messages, last))
	return all, errors.Annotate(err, "encode messages")
}
