package engined

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/engine"
)

// Outcome is how a request ended in the engine.
type Outcome string

// Values of Outcome.
const (
	OutcomeFinished  Outcome = "finished"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCrashed   Outcome = "crashed"
	OutcomeRefused   Outcome = "refused" // wrong model or adapter; it did not run
)

// Segment is a range of consecutive tokens that one weight version produced,
// from index From up to but not including To.
type Segment struct {
	Version int64 `json:"version"`
	From    int   `json:"from"`
	To      int   `json:"to"`
}

// RequestEntry is the record of one request that reached the engine.
type RequestEntry struct {
	Time         time.Time `json:"time"`
	Engine       string    `json:"engine"`
	Incarnation  int64     `json:"incarnation"`
	RequestID    string    `json:"request_id"`
	Model        string    `json:"model"`
	PromptTag    string    `json:"prompt_tag"`
	AnswerTag    string    `json:"answer_tag"`
	Seed         int64     `json:"seed"`
	Delivered    int       `json:"delivered"` // number of tokens in GenerateRequest.Delivered
	MaxTokens    int       `json:"max_tokens"`
	CachedBlocks int       `json:"cached_blocks"`
	Segments     []Segment `json:"segments"`
	Outcome      Outcome   `json:"end"` // empty while the request runs
	// RequestsPerSecond is the rate limit that the response names, or 0.
	RequestsPerSecond float64   `json:"requests_per_second,omitempty"`
	EndedAt           time.Time `json:"ended"`
}

// OrderEntry is the record of one order that reached the engine.
type OrderEntry struct {
	Time          time.Time    `json:"time"`
	Engine        string       `json:"engine"`
	Order         engine.Order `json:"order"`
	Accepted      bool         `json:"accepted"` // false if the order was fenced or invalid
	VersionBefore int64        `json:"before"`   // version served when the order arrived
	EndedAt       time.Time    `json:"done"`
	Error         string       `json:"error,omitempty"`
}

// Journal holds the records of one engine. Simulated crashes do not clear it.
type Journal struct {
	Requests          []RequestEntry `json:"requests"`
	Orders            []OrderEntry   `json:"orders"`
	Crashes           []time.Time    `json:"crashes"`
	MisdirectedChunks int            `json:"crossed"` // chunks sent in the stream of another request
}

// Journal returns a copy of the engine's journal.
func (s *Server) Journal() Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.journal
	copied.Requests = slices.Clone(s.journal.Requests)
	for i := range copied.Requests {
		copied.Requests[i].Segments = slices.Clone(copied.Requests[i].Segments)
	}
	copied.Orders = slices.Clone(s.journal.Orders)
	copied.Crashes = slices.Clone(s.journal.Crashes)
	return copied
}

// recordLocked adds an entry for a request to the journal and returns its index.
func (s *Server) recordLocked(request engine.GenerateRequest, now time.Time) int {
	s.journal.Requests = append(s.journal.Requests, RequestEntry{
		Time:        now,
		Engine:      s.config.ID,
		Incarnation: s.state.Incarnation,
		RequestID:   request.RequestID,
		Model:       request.Model,
		PromptTag:   PromptTag(request.Model, request.Prompt),
		AnswerTag:   AnswerTag(request.Model, request.Prompt, request.Seed),
		Seed:        request.Seed,
		Delivered:   len(request.Delivered),
		MaxTokens:   request.MaxTokens,

		RequestsPerSecond: s.faults.Get().RequestsPerSecond,
	})
	return len(s.journal.Requests) - 1
}

// recordTokenLocked adds a produced token to the segments of the request's entry.
func (s *Server) recordTokenLocked(r *run, chunk engine.Chunk) {
	entry := &s.journal.Requests[r.entry]
	if n := len(entry.Segments); n > 0 && entry.Segments[n-1].Version == chunk.WeightVersion {
		entry.Segments[n-1].To = chunk.Index + 1
		return
	}
	entry.Segments = append(entry.Segments, Segment{Version: chunk.WeightVersion, From: chunk.Index, To: chunk.Index + 1})
}
