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

// answerRecord is a whole answer as the request's home keeps it.
type answerRecord struct {
	Tokens []string `json:"tokens"`
	// Versions holds the weight versions in the order in which they took part,
	// and Starts the index of the first token of each.
	Versions []int64 `json:"versions"`
	Starts   []int   `json:"starts"`
	Finish   string  `json:"finish"`
}

// completionAnswer is the body of a whole answer that is not streamed.
type completionAnswer struct {
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

// response writes one answer to a caller.
type response struct {
	w       http.ResponseWriter
	id      string
	model   string
	stream  bool
	started bool
	answer  answerRecord
	last    *chunkEvent // held back until the home accepted the answer
}

func newResponse(w http.ResponseWriter, id, model string, stream bool) *response {
	return &response{w: w, id: id, model: model, stream: stream}
}

// chunk takes the next chunk. The last one is only delivered by finish.
func (r *response) chunk(chunk engine.Chunk) error {
	r.answer.Tokens = append(r.answer.Tokens, chunk.Token)
	if n := len(r.answer.Versions); n == 0 || r.answer.Versions[n-1] != chunk.WeightVersion {
		r.answer.Versions = append(r.answer.Versions, chunk.WeightVersion)
		r.answer.Starts = append(r.answer.Starts, chunk.Index)
	}
	out := event(r.id, chunk)
	if chunk.FinishReason != "" {
		r.answer.Finish = chunk.FinishReason
		r.last = &out
		return nil
	}
	if !r.stream {
		return nil
	}
	return r.send("", out)
}

func (r *response) record() []byte {
	data, err := json.Marshal(r.answer)
	if err != nil {
		klog.ErrorS(err, "encode the answer", "request_id", r.id)
	}
	return data
}

// finish delivers the rest of a whole answer.
func (r *response) finish() {
	if err := r.deliver(); err != nil {
		klog.V(1).InfoS("answer was not delivered", "request_id", r.id, "err", err)
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
	return eris.Wrap(json.NewEncoder(r.w).Encode(completionAnswer{
		ID: r.id, Model: r.model,
		Choices:        []choice{{Text: strings.Join(r.answer.Tokens, ""), FinishReason: r.answer.Finish}},
		WeightVersions: r.answer.Versions,
	}), "write the answer")
}

// replay answers from the record of an earlier attempt.
func (r *response) replay(data []byte) error {
	var answer answerRecord
	if err := json.Unmarshal(data, &answer); err != nil {
		return eris.Wrap(err, "decode the recorded answer")
	}
	r.w.Header().Set(httpapi.HeaderReplayed, "true")
	at := 0
	for i, token := range answer.Tokens {
		if at+1 < len(answer.Starts) && i >= answer.Starts[at+1] {
			at++
		}
		chunk := engine.Chunk{RequestID: r.id, Index: i, Token: token, WeightVersion: answer.Versions[at]}
		if i == len(answer.Tokens)-1 {
			chunk.FinishReason = answer.Finish
		}
		if err := r.chunk(chunk); err != nil {
			return err
		}
	}
	return r.deliver()
}

// refuse ends the answer with a refusal: as the whole response, or as an error
// event when the stream has begun.
func (r *response) refuse(refusal *cluster.Refusal) {
	if r.started {
		copied := *refusal
		copied.Outcome = cluster.OutcomePartial
		if err := r.send("error", httpapi.NewRefusalBody(r.id, &copied)); err != nil {
			klog.V(1).InfoS("refusal was not written", "request_id", r.id, "err", err)
		}
		return
	}
	if refusal.Outcome == cluster.OutcomePartial {
		// Nothing was given to this caller.
		copied := *refusal
		copied.Outcome = cluster.OutcomeUnknown
		refusal = &copied
	}
	httpapi.WriteRefusal(r.w, r.id, refusal)
}

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
