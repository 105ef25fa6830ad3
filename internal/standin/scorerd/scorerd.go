// Package scorerd is a stand-in for a scoring service. A score is a function of
// the sample's text, so that a checker can recompute it.
package scorerd

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestand/sesamestand/internal/standin"
)

// Config holds the parameters of the service.
type Config struct {
	Token string
	Delay time.Duration // time per call
}

// Faults are the injected faults, which can be changed at run time.
type Faults struct {
	DropConnections   bool    `json:"dead"`   // closes connections without a response
	Silent            bool    `json:"silent"` // never responds
	DelayMS           int     `json:"delay_ms"`
	RequestsPerSecond float64 `json:"requests_per_second"` // rate limit named in responses; 0 names none
	Leaving           bool    `json:"leaving"`             // says in responses that it is leaving, whatever the host list says
}

// Request is the body of POST /score. Each sample is a list of tokens.
type Request struct {
	Group   string     `json:"group"`
	Samples [][]string `json:"samples"`
}

// Reply is the response of POST /score: one score per sample, in the order of the
// request.
type Reply struct {
	Scores []float64 `json:"scores"`
}

// Server is the scoring service.
type Server struct {
	config Config
	faults standin.Faults[Faults]
	mux    *http.ServeMux

	mu     sync.Mutex
	scored int
}

// New returns a scoring service.
func New(config Config) *Server {
	s := &Server{config: config, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /score", s.handleScore)
	s.mux.Handle("POST /faults", &s.faults)
	return s
}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler { return s.mux }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Scored returns the number of scored samples.
func (s *Server) Scored() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scored
}

// Score returns the score of a sample's tokens, in [0, 1).
func Score(tokens []string) float64 {
	return float64(xxhash.Sum64String(strings.Join(tokens, ""))%1000) / 1000
}

func (s *Server) handleScore(w http.ResponseWriter, r *http.Request) {
	var request Request
	if !standin.Authorized(w, r, s.config.Token) || !standin.ReadJSON(w, r, &request) {
		return
	}
	faults := s.faults.Get()
	standin.NameLimit(w, faults.RequestsPerSecond)
	standin.SayLeaving(w, faults.Leaving)
	if faults.DropConnections {
		standin.Abort()
	}
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(s.config.Delay + time.Duration(faults.DelayMS)*time.Millisecond):
	case <-r.Context().Done():
		return
	}
	reply := Reply{Scores: make([]float64, 0, len(request.Samples))}
	for _, sample := range request.Samples {
		reply.Scores = append(reply.Scores, Score(sample))
	}
	s.mu.Lock()
	s.scored += len(request.Samples)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, reply)
}
