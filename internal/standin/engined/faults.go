package engined

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sesamestand/sesamestand/internal/standin"
)

// defaultCrashDowntime is the time until a crashed engine restarts.
const defaultCrashDowntime = time.Second

// Faults are the injected faults, which can be changed at run time.
type Faults struct {
	SlowFactor        float64  `json:"slow_factor"`         // multiplies the time per token; 0 means 1
	Hang              bool     `json:"hang"`                // connections are accepted, but there are no responses and no tokens
	CrashPrompt       string   `json:"poison"`              // prompts that contain this text crash the engine; empty disables the fault
	MisdirectedShare  float64  `json:"cross_share"`         // share of chunks that are preceded by a chunk of another request
	FailLoads         int      `json:"fail_loads"`          // number of upcoming loads that fail; negative means all
	CrashDowntimeMS   int      `json:"crash_time_ms"`       // time until a crashed engine restarts; 0 means 1000
	Lengths           *Lengths `json:"lengths,omitempty"`   // replaces the configured lengths
	RequestsPerSecond float64  `json:"requests_per_second"` // rate limit named in responses; 0 names none
	Leaving           bool     `json:"leaving"`             // says in all responses that it is leaving until it restarts, whatever the host list says
}

func (f Faults) crashDowntime() time.Duration {
	if f.CrashDowntimeMS == 0 {
		return defaultCrashDowntime
	}
	return time.Duration(f.CrashDowntimeMS) * time.Millisecond
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// handleFaults merges the JSON body into the faults. A body with "crash": true or
// "freeze": true also crashes or freezes the engine once.
func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	var events struct {
		Crash  bool `json:"crash"`
		Freeze bool `json:"freeze"`
	}
	var err error
	s.faults.Update(func(f *Faults) { err = json.Unmarshal(body, f) })
	if err == nil {
		err = json.Unmarshal(body, &events)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.faults.Get())
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	// The response must be sent before its connection is reset or frozen.
	time.AfterFunc(20*time.Millisecond, func() {
		if events.Freeze {
			s.Freeze()
		}
		if events.Crash {
			s.Crash(s.faults.Get().crashDowntime())
		}
	})
}

// Crash aborts all requests, refuses connections for downFor and then restarts
// the engine with its base version.
func (s *Server) Crash(downFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked(downFor)
}

func (s *Server) crashLocked(downFor time.Duration) {
	if s.down {
		return
	}
	s.down = true
	s.journal.Crashes = append(s.journal.Crashes, time.Now())
	s.endAllLocked(OutcomeCrashed)
	s.stopLoadLocked()
	endpoint := s.endpoint
	if endpoint != nil {
		endpoint.SetDown(true)
	}
	time.AfterFunc(downFor, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.resetStateLocked()
		s.faults.Update(func(f *Faults) { f.Leaving = false })
		s.down = false
		if endpoint != nil {
			endpoint.SetDown(false)
		}
	})
}

// Freeze freezes the connections that are open now; see standin.Endpoint.Freeze.
func (s *Server) Freeze() {
	s.mu.Lock()
	endpoint := s.endpoint
	s.mu.Unlock()
	if endpoint != nil {
		endpoint.Freeze()
	}
}
