package engined

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/standin"
)

// Answer is the response body of a completion that is not streamed.
type Answer struct {
	RequestID      string   `json:"request_id"`
	Tokens         []string `json:"tokens"`
	WeightVersions []int64  `json:"weight_versions"` // one per token
	FinishReason   string   `json:"finish_reason"`
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request engine.GenerateRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	if reason := s.refuse(request); reason != "" {
		standin.WriteJSON(w, http.StatusNotFound, map[string]string{"error": reason})
		return
	}
	standin.NameLimit(w, s.faults.Get().RequestsPerSecond)
	current := s.submit(request)
	if request.Stream {
		s.stream(w, r, current)
		return
	}
	s.respondComplete(w, r, current)
}

// refuse returns the reason if the engine cannot run a request, and records the
// request as refused. It returns an empty string otherwise.
func (s *Server) refuse(request engine.GenerateRequest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := ""
	switch {
	case request.Model != s.state.Model:
		reason = "model is not loaded"
	case request.Adapter != "" && !slices.Contains(s.state.Adapters, request.Adapter):
		reason = "adapter is not loaded"
	default:
		return ""
	}
	now := time.Now()
	entry := s.recordLocked(request, now)
	s.journal.Requests[entry].Outcome = OutcomeRefused
	s.journal.Requests[entry].EndedAt = now
	return reason
}

// forwardChunks calls onChunks with the chunks of a run as they are produced and
// reports whether the run finished. It cancels the run if the client disconnects
// and aborts the response if the engine crashes.
func (s *Server) forwardChunks(r *http.Request, current *run, onChunks func([]engine.Chunk)) bool {
	for {
		select {
		case <-current.notify:
		case <-r.Context().Done():
			s.cancel(func(other *run) bool { return other == current })
			return false
		}
		chunks, outcome := s.takeChunks(current)
		if outcome == OutcomeCrashed {
			standin.Abort()
		}
		onChunks(chunks)
		if outcome != "" {
			return outcome == OutcomeFinished
		}
	}
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, current *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	finished := s.forwardChunks(r, current, func(chunks []engine.Chunk) {
		for _, chunk := range chunks {
			data, _ := json.Marshal(chunk)
			_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		}
		_ = controller.Flush()
	})
	if finished {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func (s *Server) respondComplete(w http.ResponseWriter, r *http.Request, current *run) {
	answer := Answer{RequestID: current.request.RequestID}
	finished := s.forwardChunks(r, current, func(chunks []engine.Chunk) {
		for _, chunk := range chunks {
			if chunk.RequestID == answer.RequestID {
				answer.Tokens = append(answer.Tokens, chunk.Token)
				answer.WeightVersions = append(answer.WeightVersions, chunk.WeightVersion)
				answer.FinishReason = chunk.FinishReason
			}
		}
	})
	if finished {
		standin.WriteJSON(w, http.StatusOK, answer)
	}
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	n := s.cancel(func(other *run) bool { return other.request.RequestID == body.RequestID })
	standin.WriteJSON(w, http.StatusOK, map[string]int{"cancelled": n})
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	events := s.cache.eventsAfter(after, time.Now().Add(-s.config.CacheEventDelay))
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"events": events})
}

// KVBlocks is the payload of a KV cache transfer between engines: the response
// of POST /kv/export, for the model and prompt of the request, and the body of
// POST /kv/import.
type KVBlocks struct {
	Model    string   `json:"model"`
	Version  int64    `json:"version"`
	Prefixes []string `json:"prefixes"`
}

func (s *Server) handleExport(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model  string `json:"model"`
		Prompt string `json:"prompt"`
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	s.mu.Lock()
	blocks := KVBlocks{Model: s.state.Model, Version: s.state.Version}
	blocks.Prefixes = slices.Clone(s.cache.cachedPrefix(engine.PrefixHashes(body.Model, body.Prompt)))
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, blocks)
}

// handleImport adds blocks to the cache. It responds 409 if they were computed
// with other weights.
func (s *Server) handleImport(w http.ResponseWriter, r *http.Request) {
	var blocks KVBlocks
	if !standin.ReadJSON(w, r, &blocks) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if blocks.Model != s.state.Model || blocks.Version != s.state.Version {
		http.Error(w, "blocks belong to other weights", http.StatusConflict)
		return
	}
	s.cache.access(blocks.Prefixes, time.Now(), s.loseEventLocked)
	standin.WriteJSON(w, http.StatusOK, map[string]int{"imported": len(blocks.Prefixes)})
}
