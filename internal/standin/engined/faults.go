package engined

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sesamestand/sesamestand/internal/standin"
)

// defaultCrashTime is how long a crashed engine refuses connections.
const defaultCrashTime = time.Second

// Faults are the faults that can be set at run time.
type Faults struct {
	SlowFactor       float64  `json:"slow_factor"` // multiplies the time per token; 0 means 1
	Hang             bool     `json:"hang"`        // connections are accepted, but nothing is answered or produced
	CrashPrompt      string   `json:"poison"`      // a prompt that contains it crashes the engine
	MisdirectedShare float64  `json:"cross_share"` // share of chunks that follow one of another request
	FailLoads        int      `json:"fail_loads"`  // coming loads that fail; negative means all
	CrashDowntimeMS  int      `json:"crash_time_ms"`
	Lengths          *Lengths `json:"lengths,omitempty"` // replaces the configured lengths
}

func (f Faults) crashTime() time.Duration {
	if f.CrashDowntimeMS == 0 {
		return defaultCrashTime
	}
	return time.Duration(f.CrashDowntimeMS) * time.Millisecond
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// handleFaults merges lasting faults and carries out {"crash": true} and
// {"freeze": true}.
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
	// The answer has to leave before its connection is dropped or silenced.
	time.AfterFunc(20*time.Millisecond, func() {
		if events.Freeze {
			s.Freeze()
		}
		if events.Crash {
			s.Crash(s.faults.Get().crashTime())
		}
	})
}

// Crash drops all streams, refuses connections for the given time and then
// starts the engine afresh at its base version.
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
	s.dropRunsLocked(OutcomeCrashed)
	s.stopLoadLocked()
	endpoint := s.endpoint
	if endpoint != nil {
		endpoint.SetDown(true)
	}
	time.AfterFunc(downFor, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startLocked()
		s.down = false
		if endpoint != nil {
			endpoint.SetDown(false)
		}
	})
}

// Freeze silences the connections that are open now; new ones work.
func (s *Server) Freeze() {
	s.mu.Lock()
	endpoint := s.endpoint
	s.mu.Unlock()
	if endpoint != nil {
		endpoint.Freeze()
	}
}
