// Package serviced is a stand-in for a plain service, for example an order
// desk. It runs every call that reaches it and records it, so that a checker
// finds calls that ran twice.
package serviced

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/standin"
)

// bodyLimit bounds the body of a call.
const bodyLimit = 1 << 20

// Config names the service and its usual time per call.
type Config struct {
	ID    string
	Token string
	Delay time.Duration
}

// Faults are the faults that can be set at run time.
type Faults struct {
	DelayMS     int  `json:"delay_ms"`
	LoseAnswers int  `json:"lose_answers"` // coming calls that run and whose connection is dropped; negative means all
	Refuse      bool `json:"refuse"`       // answers 503 without running the call
	Silent      bool `json:"silent"`       // runs the call and never answers
}

// Call is one recorded call.
type Call struct {
	Time      time.Time `json:"time"`
	Server    string    `json:"server"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Key       string    `json:"key,omitempty"` // Idempotency-Key
	RequestID string    `json:"request_id,omitempty"`
	Body      string    `json:"body,omitempty"`
	Ran       bool      `json:"ran"` // false for refused calls
}

// Server is the stand-in.
type Server struct {
	config Config
	faults standin.Faults[Faults]
	mux    *http.ServeMux

	mu      sync.Mutex
	journal []Call
}

// New returns a service without calls.
func New(config Config) *Server {
	s := &Server{config: config, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, map[string]any{"calls": s.Journal()})
	})
	s.mux.Handle("POST /faults", &s.faults)
	s.mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	s.mux.HandleFunc("/", s.handleCall)
	return s
}

// Handler returns the HTTP interface of the service.
func (s *Server) Handler() http.Handler { return s.mux }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Journal returns all calls in order of arrival.
func (s *Server) Journal() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.journal)
}

// Duplicates returns the keys of calls that ran more than once, with their counts.
func (s *Server) Duplicates() map[string]int {
	counts := make(map[string]int)
	for _, call := range s.Journal() {
		if call.Ran && call.Key != "" {
			counts[call.Key]++
		}
	}
	for key, n := range counts {
		if n == 1 {
			delete(counts, key)
		}
	}
	return counts
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil || !standin.Authorized(w, r, s.config.Token) {
		return
	}
	faults := s.faults.Get()
	number := s.record(Call{
		Time: time.Now(), Server: s.config.ID, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get("Idempotency-Key"), RequestID: r.Header.Get("Request-Id"),
		Body: string(body), Ran: !faults.Refuse,
	})
	if faults.Refuse {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	// The call goes on when its caller leaves: an order is baked all the same.
	time.Sleep(s.config.Delay + time.Duration(faults.DelayMS)*time.Millisecond)
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if s.loseAnswer() {
		standin.Abort()
	}
	standin.WriteJSON(w, http.StatusOK, map[string]string{
		"receipt": fmt.Sprintf("%s-%d", s.config.ID, number),
		"key":     r.Header.Get("Idempotency-Key"),
		"path":    r.URL.Path,
	})
}

func (s *Server) record(call Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = append(s.journal, call)
	return len(s.journal)
}

func (s *Server) loseAnswer() bool {
	lose := false
	s.faults.Update(func(f *Faults) {
		lose = f.LoseAnswers != 0
		if f.LoseAnswers > 0 {
			f.LoseAnswers--
		}
	})
	return lose
}
