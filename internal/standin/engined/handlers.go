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

// Answer is the body of a completion that is not streamed.
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
	current := s.submit(request)
	if request.Stream {
		s.stream(w, r, current)
		return
	}
	s.answerWhole(w, r, current)
}

// refuse records and refuses a request that the engine cannot run.
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

// follow passes the chunks of a run to each as they come. It cancels the run
// when the caller leaves, and drops the connection when the engine crashes.
func (s *Server) follow(r *http.Request, current *run, each func([]engine.Chunk)) bool {
	for {
		select {
		case <-current.notify:
		case <-r.Context().Done():
			s.cancel(func(other *run) bool { return other == current })
			return false
		}
		chunks, ended := s.take(current)
		if ended == OutcomeCrashed {
			standin.Abort()
		}
		each(chunks)
		if ended != "" {
			return ended == OutcomeFinished
		}
	}
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, current *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	finished := s.follow(r, current, func(chunks []engine.Chunk) {
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

func (s *Server) answerWhole(w http.ResponseWriter, r *http.Request, current *run) {
	answer := Answer{RequestID: current.request.RequestID}
	finished := s.follow(r, current, func(chunks []engine.Chunk) {
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
	events := s.cache.after(after, time.Now().Add(-s.config.CacheEventDelay))
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"events": events})
}

// KVBlocks is the content of a KV cache transfer. The export request names a
// model and prompt; its answer is the body of the import.
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
	blocks.Prefixes = slices.Clone(s.cache.present(engine.PrefixHashes(body.Model, body.Prompt)))
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, blocks)
}

// handleImport refuses blocks of other weights with 409.
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
	s.cache.use(blocks.Prefixes, time.Now(), s.dropEventLocked)
	standin.WriteJSON(w, http.StatusOK, map[string]int{"imported": len(blocks.Prefixes)})
}
