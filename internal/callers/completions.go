package callers

import (
	"bytes"
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
	"github.com/sesamestand/sesamestand/internal/intake"
)

const (
	// headerClass sets the class of a request. It overrides the class of the needs
	// declared for the model.
	headerClass = "Sesamestand-Class"
	// defaultMaxTokens applies if neither the request nor the model specifies a
	// maximum.
	defaultMaxTokens = 256
	// maxRequestIDBytes is the maximum length of a request ID. Request IDs are
	// stored in tables and written to logs.
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
	gen.Caller, refusal = c.gate.Admit(r, func(set *declare.Set) bool { return set.PublicModel(gen.Model) })
	if refusal != nil {
		httpapi.WriteRefusal(w, id, refusal)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), c.timeout(r))
	defer stop()
	response := newResponse(w, id, gen.Model, stream)
	if !supplied {
		c.respond(ctx, gen, nil, response)
		return
	}
	claimed, err := c.claimAttempt(ctx, gen.Caller.QualifyID(id), claimFingerprint(gen))
	if err != nil {
		response.refuse(asRefusal(err))
		return
	}
	defer claimed.cancel()
	if claimed.grant.Replayed {
		c.recorder.Count("answers_replayed_total")
		if err := response.replay(claimed.grant.Replay); err != nil {
			klog.ErrorS(err, "failed to replay the recorded response", "request_id", id)
		}
		return
	}
	c.respond(ctx, gen, claimed, response)
}

// respond runs the generation and writes the response or the refusal. If this
// host generated the request ID, claimed is nil.
func (c *Controller) respond(ctx context.Context, gen cluster.Generation, claimed *claimedAttempt, response *response) {
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
	err := c.generateUnlessRefused(ctx, gen, reached, response.addChunk)
	if err == nil && claimed != nil && !claimed.complete(ctx, response.encodeRecord()) {
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
		if refusal.Outcome == cluster.OutcomeNotRun && c.reachedElsewhere(ctx, claimed.id) {
			copied := *refusal
			copied.Outcome = cluster.OutcomeUnknown
			refusal = &copied
		}
		claimed.release(ctx, refusal.Outcome != cluster.OutcomeNotRun)
	}
	response.refuse(refusal)
}

// generateUnlessRefused runs the generation if this host still takes it.
func (c *Controller) generateUnlessRefused(ctx context.Context, gen cluster.Generation, reached bool, sink func(engine.Chunk) error) error {
	limit, limited := ctx.Deadline()
	if !limited {
		limit = time.Now().Add(c.config.RequestTimeout)
	}
	refusal := c.refuser.Refuse(gen.RequestID, limit)
	switch {
	case refusal != nil && reached:
		// An earlier attempt may have run.
		return &cluster.Refusal{Outcome: cluster.OutcomeUnknown, Reason: refusal.Reason, Message: refusal.Message}
	case refusal != nil:
		return refusal
	}
	return c.generate(ctx, gen, reached, sink)
}

var errSuperseded = eris.New("a newer attempt of the request superseded this one")

var errMayHaveReached = eris.New("an attempt may have reached a backend server in another data centre")

// asRefusal converts an error to the refusal that is written to the caller.
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

// decodedCopies is the memory of a decoded request in sizes of its body.
const decodedCopies = 3

// parse decodes and validates the request. It returns the generation to run and
// whether the response is streamed, or a refusal.
func (c *Controller) parse(w http.ResponseWriter, r *http.Request, id string) (cluster.Generation, bool, *cluster.Refusal) {
	refuse := func(reason cluster.Reason, message string) (cluster.Generation, bool, *cluster.Refusal) {
		return cluster.Generation{}, false, &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: reason, Message: message}
	}
	if len(id) > maxRequestIDBytes {
		return refuse(cluster.ReasonBadRequest, "the request ID is longer than 128 bytes")
	}
	var body completionRequest
	data, err := intake.ReadBody(w, r, c.config.MaxBodyBytes)
	if err == nil {
		err = intake.Hold(r.Context(), decodedCopies*int64(len(data)))
	}
	if err != nil {
		return cluster.Generation{}, false, intake.BodyRefusal(err)
	}
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&body); err != nil {
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
	class, ok := requestClass(r.Header.Get(headerClass), set, body.Model)
	if !ok {
		return refuse(cluster.ReasonBadRequest, headerClass+" must be interactive, batch or training")
	}
	return cluster.Generation{
		RequestID: id, Model: body.Model, Adapter: body.Adapter, Prompt: body.Prompt,
		MaxTokens: maxTokens(body.MaxTokens, model), Temperature: body.Temperature, Seed: body.Seed, Class: class,
	}, body.Stream, nil
}

// maxTokens returns the maximum number of tokens to generate: the requested
// number, limited by the model's declaration, or the default.
func maxTokens(requested int, model *declare.Model) int {
	limit := defaultMaxTokens
	if model != nil && model.MaxTokens > 0 {
		limit = model.MaxTokens
		requested = min(requested, limit)
	}
	if requested == 0 {
		return limit
	}
	return requested
}

// requestClass returns the class given in the header. Without the header, it
// returns the most urgent class among the needs declared for the model, or batch
// if there are none. It returns false for an unknown class.
func requestClass(header string, set *declare.Set, model string) (declare.Class, bool) {
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

// timeout returns the timeout given in the request header, or the default if the
// header is absent, invalid or longer than 24 hours.
func (c *Controller) timeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(httpapi.HeaderRequestTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return c.config.RequestTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// claimFingerprint identifies everything that the response depends on, so that a
// recorded response is not replayed for a request that reuses the request ID
// with different content.
func claimFingerprint(gen cluster.Generation) string {
	return suspect.Fingerprint(gen.Model, gen.Adapter, gen.Prompt, gen.MaxTokens, gen.Temperature) +
		"/" + strconv.FormatInt(gen.Seed, 10)
}

// chunkEvent is one event of a streamed response.
type chunkEvent struct {
	ID            string `json:"id"`
	Token         string `json:"token"`
	Index         int    `json:"index"`
	WeightVersion int64  `json:"weight_version"`
	FinishReason  string `json:"finish_reason,omitempty"`
}

func newChunkEvent(id string, chunk engine.Chunk) chunkEvent {
	return chunkEvent{
		ID: id, Token: chunk.Token, Index: chunk.Index,
		WeightVersion: chunk.WeightVersion, FinishReason: chunk.FinishReason,
	}
}
