package callers

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/httpapi"
)

// responseRecord is a complete response as stored by the request coordinator.
type responseRecord struct {
	Tokens []string `json:"tokens"`
	// Versions holds the weight versions that generated the tokens, in order of
	// use, and Starts the index of the first token of each.
	Versions []int64 `json:"versions"`
	Starts   []int   `json:"starts"`
	Finish   string  `json:"finish"`
}

// completionResponse is the body of a response that is not streamed.
type completionResponse struct {
	ID             string   `json:"id"`
	Model          string   `json:"model"`
	Choices        []choice `json:"choices"`
	WeightVersions []int64  `json:"weight_versions"`
}

type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

// response writes one response to a caller.
type response struct {
	w       http.ResponseWriter
	id      string
	model   string
	stream  bool
	started bool
	record  responseRecord
	last    *chunkEvent // withheld until the coordinator accepted the response
}

func newResponse(w http.ResponseWriter, id, model string, stream bool) *response {
	return &response{w: w, id: id, model: model, stream: stream}
}

// addChunk adds the next chunk to the record and, if the response is streamed,
// sends it. The last chunk is withheld until finish delivers it.
func (r *response) addChunk(chunk engine.Chunk) error {
	r.record.Tokens = append(r.record.Tokens, chunk.Token)
	if n := len(r.record.Versions); n == 0 || r.record.Versions[n-1] != chunk.WeightVersion {
		r.record.Versions = append(r.record.Versions, chunk.WeightVersion)
		r.record.Starts = append(r.record.Starts, chunk.Index)
	}
	out := newChunkEvent(r.id, chunk)
	if chunk.FinishReason != "" {
		r.record.Finish = chunk.FinishReason
		r.last = &out
		return nil
	}
	if !r.stream {
		return nil
	}
	return r.send("", out)
}

func (r *response) encodeRecord() []byte {
	data, err := json.Marshal(r.record)
	if err != nil {
		klog.ErrorS(err, "failed to encode the response record", "request_id", r.id)
	}
	return data
}

// finish delivers the rest of a complete response.
func (r *response) finish() {
	if err := r.deliver(); err != nil {
		klog.V(1).InfoS("failed to deliver the response", "request_id", r.id, "err", err)
	}
}

func (r *response) deliver() error {
	if r.stream {
		if err := r.send("", r.last); err != nil {
			return err
		}
		return r.write("data: [DONE]\n\n")
	}
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set(httpapi.HeaderRequestID, r.id)
	return eris.Wrap(json.NewEncoder(r.w).Encode(completionResponse{
		ID: r.id, Model: r.model,
		Choices:        []choice{{Text: strings.Join(r.record.Tokens, ""), FinishReason: r.record.Finish}},
		WeightVersions: r.record.Versions,
	}), "write the response")
}

// replay writes the recorded response of an earlier attempt.
func (r *response) replay(data []byte) error {
	var record responseRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return eris.Wrap(err, "decode the recorded response")
	}
	r.w.Header().Set(httpapi.HeaderReplayed, "true")
	segment := 0
	for i, token := range record.Tokens {
		if segment+1 < len(record.Starts) && i >= record.Starts[segment+1] {
			segment++
		}
		chunk := engine.Chunk{RequestID: r.id, Index: i, Token: token, WeightVersion: record.Versions[segment]}
		if i == len(record.Tokens)-1 {
			chunk.FinishReason = record.Finish
		}
		if err := r.addChunk(chunk); err != nil {
			return err
		}
	}
	return r.deliver()
}

// refuse writes a refusal, as an error event if the stream has already started
// and otherwise as the whole response.
func (r *response) refuse(refusal *cluster.Refusal) {
	if r.started {
		copied := *refusal
		copied.Outcome = cluster.OutcomePartial
		if err := r.send("error", httpapi.NewRefusalBody(r.id, &copied)); err != nil {
			klog.V(1).InfoS("failed to write the refusal to the stream", "request_id", r.id, "err", err)
		}
		return
	}
	if refusal.Outcome == cluster.OutcomePartial {
		// No chunk was written to this caller.
		copied := *refusal
		copied.Outcome = cluster.OutcomeUnknown
		refusal = &copied
	}
	httpapi.WriteRefusal(r.w, r.id, refusal)
}

// send writes one server-sent event. The first event also writes the headers.
func (r *response) send(name string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode an event")
	}
	if !r.started {
		r.started = true
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.Header().Set("Cache-Control", "no-cache")
		r.w.Header().Set(httpapi.HeaderRequestID, r.id)
		r.w.WriteHeader(http.StatusOK)
	}
	if name != "" {
		return r.write("event: " + name + "\ndata: " + string(data) + "\n\n")
	}
	return r.write("data: " + string(data) + "\n\n")
}

func (r *response) write(text string) error {
	if _, err := r.w.Write([]byte(text)); err != nil {
		return eris.Wrap(err, "write to the caller")
	}
	if flusher, ok := r.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}
