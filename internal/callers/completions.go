package callers

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/httpapi"
)

const (
	// headerClass names the class of a request when no need declares it.
	headerClass = "Sesamestand-Class"
	// defaultMaxTokens applies when neither caller nor model names a length.
	defaultMaxTokens = 256
	// maxRequestIDBytes bounds request IDs, which are kept in tables and logs.
	maxRequestIDBytes = 128
)

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model       string  `json:"model"`
	Adapter     string  `json:"adapter"`
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens"`
	Temperature float64 `json:"temperature"`
	Seed        int64   `json:"seed"`
	Stream      bool    `json:"stream"`
}

// Completions serves POST /v1/completions.
func (c *Controller) Completions(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(httpapi.HeaderRequestID)
	supplied := id != ""
	if !supplied {
		id = newRequestID()
	}
	gen, stream, refusal := c.parse(w, r, id)
	if refusal != nil {
		httpapi.WriteRefusal(w, id, refusal)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), c.timeout(r))
	defer stop()
	response := newResponse(w, id, gen.Model, stream)
	if !supplied {
		c.answer(ctx, gen, nil, response)
		return
	}
	claimed, err := c.claimAttempt(ctx, id, claimFingerprint(gen))
	if err != nil {
		response.refuse(asRefusal(err))
		return
	}
	defer claimed.cancel()
	if claimed.grant.Replayed {
		c.recorder.Count("answers_replayed_total")
		if err := response.replay(claimed.grant.Replay); err != nil {
			klog.ErrorS(err, "replay", "request_id", id)
		}
		return
	}
	c.answer(ctx, gen, claimed, response)
}

// answer runs the generation and writes the answer or the refusal. Claimed is
// nil when the request ID was made here.
func (c *Controller) answer(ctx context.Context, gen cluster.Generation, claimed *attempt, response *response) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	reached := false
	if claimed != nil {
		reached = claimed.grant.EarlierReached
		go func() {
			select {
			case <-claimed.superseded:
				cancel(errSuperseded)
			case <-ctx.Done():
			}
		}()
	}
	err := c.generate(ctx, gen, reached, response.chunk)
	if err == nil && claimed != nil && !claimed.complete(ctx, response.record()) {
		err = errSuperseded
	}
	if err == nil {
		response.finish()
		return
	}
	if errors.Is(context.Cause(ctx), errSuperseded) {
		err = errSuperseded
	}
	refusal := asRefusal(err)
	if claimed != nil {
		if refusal.Outcome == cluster.OutcomeNotRun && c.reachedElsewhere(ctx, gen.RequestID) {
			copied := *refusal
			copied.Outcome = cluster.OutcomeUnknown
			refusal = &copied
		}
		claimed.release(ctx, refusal.Outcome != cluster.OutcomeNotRun)
	}
	response.refuse(refusal)
}

var errSuperseded = eris.New("a newer attempt of the request superseded this one")

var errUncertain = eris.New("an attempt may have reached a backend server in another data centre")

// asRefusal returns the refusal to write for an error.
func asRefusal(err error) *cluster.Refusal {
	var refusal *cluster.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, errSuperseded):
		return &cluster.Refusal{Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonSuperseded, Message: errSuperseded.Error()}
	default:
		return &cluster.Refusal{Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonBackendFailed, Message: err.Error()}
	}
}

// parse reads and checks the request.
func (c *Controller) parse(w http.ResponseWriter, r *http.Request, id string) (cluster.Generation, bool, *cluster.Refusal) {
	refuse := func(reason cluster.Reason, message string) (cluster.Generation, bool, *cluster.Refusal) {
		return cluster.Generation{}, false, &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message}
	}
	if len(id) > maxRequestIDBytes {
		return refuse(cluster.ReasonBadRequest, "the request ID is longer than 128 bytes")
	}
	var body completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, c.config.BodyBytes)).Decode(&body); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return refuse(cluster.ReasonTooLarge, "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
		}
		return refuse(cluster.ReasonBadRequest, "the body is not a completion request: "+err.Error())
	}
	set, version := c.configs.Current()
	model, declared := (*declare.Model)(nil), false
	if set != nil {
		model, declared = set.Models[body.Model]
	}
	switch {
	case body.Model == "":
		return refuse(cluster.ReasonBadRequest, "model is missing")
	case body.MaxTokens < 0:
		return refuse(cluster.ReasonBadRequest, "max_tokens is negative")
	case version > 0 && !declared:
		return refuse(cluster.ReasonUnknownName, "model "+strconv.Quote(body.Model)+" is not declared")
	}
	class, ok := class(r.Header.Get(headerClass), set, body.Model)
	if !ok {
		return refuse(cluster.ReasonBadRequest, headerClass+" must be interactive, batch or training")
	}
	return cluster.Generation{
		RequestID: id, Model: body.Model, Adapter: body.Adapter, Prompt: body.Prompt,
		MaxTokens: maxTokens(body.MaxTokens, model), Temperature: body.Temperature, Seed: body.Seed, Class: class,
	}, body.Stream, nil
}

func maxTokens(asked int, model *declare.Model) int {
	limit := defaultMaxTokens
	if model != nil && model.MaxTokens > 0 {
		limit = model.MaxTokens
		asked = min(asked, limit)
	}
	if asked == 0 {
		return limit
	}
	return asked
}

// class returns the class that the header names, or else the most urgent one
// of the needs declared for the model, or else batch.
func class(header string, set *declare.Set, model string) (declare.Class, bool) {
	switch header {
	case "interactive":
		return declare.ClassInteractive, true
	case "batch":
		return declare.ClassBatch, true
	case "training":
		return declare.ClassTraining, true
	case "":
	default:
		return 0, false
	}
	chosen, found := declare.ClassBatch, false
	if set != nil {
		for _, need := range set.Needs {
			if need.Model == model && (!found || need.Class < chosen) {
				chosen, found = need.Class, true
			}
		}
	}
	return chosen, true
}

func (c *Controller) timeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(httpapi.HeaderRequestTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return c.config.RequestTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// claimFingerprint identifies everything that the answer depends on, so that a
// request ID used twice for different content is not answered from the record.
func claimFingerprint(gen cluster.Generation) string {
	return suspect.Fingerprint(gen.Model, gen.Adapter, gen.Prompt, gen.MaxTokens, gen.Temperature) +
		"/" + strconv.FormatInt(gen.Seed, 10)
}

// chunkEvent is one event of a streamed answer.
type chunkEvent struct {
	ID            string `json:"id"`
	Token         string `json:"token"`
	Index         int    `json:"index"`
	WeightVersion int64  `json:"weight_version"`
	FinishReason  string `json:"finish_reason,omitempty"`
}

func event(id string, chunk engine.Chunk) chunkEvent {
	return chunkEvent{
		ID: id, Token: chunk.Token, Index: chunk.Index,
		WeightVersion: chunk.WeightVersion, FinishReason: chunk.FinishReason,
	}
}
