// Package serviced is a stand-in for a plain service, i.e. one that is no model
// engine. It executes and records every call that reaches it, so that a checker
// can find calls that ran twice.
package serviced

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/standin"
)

// bodyLimit is the maximum size of a request body.
const bodyLimit = 1 << 20

// Config holds the parameters of the service.
type Config struct {
	ID    string
	Token string
	Delay time.Duration // time per call
}

// Faults are the injected faults, which can be changed at run time.
type Faults struct {
	DelayMS           int     `json:"delay_ms"`            // added to Config.Delay
	LoseResponses     int     `json:"lose_answers"`        // number of upcoming calls that run but whose connection is closed without a response; negative means all
	Refuse            bool    `json:"refuse"`              // responds 503 without running the call
	Silent            bool    `json:"silent"`              // runs the call and never responds
	RequestsPerSecond float64 `json:"requests_per_second"` // rate limit named in responses; 0 names none
	Leaving           bool    `json:"leaving"`             // says in responses that it is leaving, whatever the host list says
}

// Call is one recorded call.
type Call struct {
	Time      time.Time `json:"time"`
	Server    string    `json:"server"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Key       string    `json:"key,omitempty"` // value of the Idempotency-Key header
	RequestID string    `json:"request_id,omitempty"`
	Body      string    `json:"body,omitempty"`
	Ran       bool      `json:"ran"` // false for refused calls
	// RequestsPerSecond is the rate limit that the response names, or 0.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Leaving is set if the response says that the server is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Server is the service.
type Server struct {
	config Config
	faults standin.Faults[Faults]
	mux    *http.ServeMux

	mu      sync.Mutex
	journal []Call
}

// New returns a service with an empty journal.
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

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return s.mux }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Journal returns all calls in order of arrival.
func (s *Server) Journal() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.journal)
}

// Duplicates returns the idempotency keys of calls that ran more than once, with
// the number of times.
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
	if !standin.Authorized(w, r, s.config.Token) {
		return
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	case err != nil: // the client broke off
		standin.Abort()
	}
	faults := s.faults.Get()
	number := s.record(Call{
		Time: time.Now(), Server: s.config.ID, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get("Idempotency-Key"), RequestID: r.Header.Get("Request-Id"),
		Body: string(body), Ran: !faults.Refuse, RequestsPerSecond: faults.RequestsPerSecond, Leaving: faults.Leaving,
	})
	standin.NameLimit(w, faults.RequestsPerSecond)
	standin.SayLeaving(w, faults.Leaving)
	if faults.Refuse {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	// The call runs to completion even if the client disconnects: a real service
	// does not undo the side effects of a call either.
	time.Sleep(s.config.Delay + time.Duration(faults.DelayMS)*time.Millisecond)
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if s.consumeLostResponse() {
		standin.Abort()
	}
	standin.WriteJSON(w, http.StatusOK, map[string]string{
		"receipt": fmt.Sprintf("%s-%d", s.config.ID, number),
		"key":     r.Header.Get("Idempotency-Key"),
		"path":    r.URL.Path,
	})
}

// record adds a call to the journal and returns its sequence number, which starts
// at 1.
func (s *Server) record(call Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = append(s.journal, call)
	return len(s.journal)
}

// consumeLostResponse reports whether the response of the current call is to be
// lost, and decrements Faults.LoseResponses if it is positive.
func (s *Server) consumeLostResponse() bool {
	lose := false
	s.faults.Update(func(f *Faults) {
		lose = f.LoseResponses != 0
		if f.LoseResponses > 0 {
			f.LoseResponses--
		}
	})
	return lose
}
