// Package hostsd is a stand-in for the platform's host list. Changes become
// visible to readers after a lag.
package hostsd

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/standin"
)

// Config sets the lag of the list.
type Config struct {
	Token string
	Lag   time.Duration
}

// Faults are the faults that can be set at run time.
type Faults struct {
	Unavailable bool `json:"down"` // answers 503
	DelayMS     int  `json:"delay_ms"`
}

// Change is one recorded change of the list. A checker reads them.
type Change struct {
	Time      time.Time              `json:"time"`
	VisibleAt time.Time              `json:"visible"` // when readers see it
	Server    platform.BackendServer `json:"row"`
	Removed   bool                   `json:"removed"`
}

// Server is the stand-in.
type Server struct {
	config Config
	faults standin.Faults[Faults]
	mux    *http.ServeMux

	mu      sync.Mutex
	changes []Change
}

// New returns an empty host list.
func New(config Config) *Server {
	s := &Server{config: config, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /hosts", s.handleList)
	s.mux.HandleFunc("POST /hosts", s.handlePut)
	s.mux.HandleFunc("DELETE /hosts/{id}", s.handleRemove)
	s.mux.HandleFunc("GET /changes", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, map[string]any{"changes": s.Changes()})
	})
	s.mux.Handle("POST /faults", &s.faults)
	return s
}

// Handler returns the HTTP interface of the list.
func (s *Server) Handler() http.Handler { return s.mux }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Put adds or replaces a row.
func (s *Server) Put(row platform.BackendServer) { s.add(Change{Server: row}) }

// SetLeaving marks the row of id as leaving.
func (s *Server) SetLeaving(id string) bool {
	row, found := s.row(id)
	if found {
		row.Leaving = true
		s.add(Change{Server: row})
	}
	return found
}

// Remove takes the row of id off the list.
func (s *Server) Remove(id string) bool {
	row, found := s.row(id)
	if found {
		s.add(Change{Server: row, Removed: true})
	}
	return found
}

// Changes returns all changes in order.
func (s *Server) Changes() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.changes)
}

func (s *Server) add(change Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change.Time = time.Now()
	change.VisibleAt = change.Time.Add(s.config.Lag)
	s.changes = append(s.changes, change)
}

// row returns the newest row of id, whether or not it is visible yet.
func (s *Server) row(id string) (platform.BackendServer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range slices.Backward(s.changes) {
		if change.Server.ID == id {
			return change.Server, !change.Removed
		}
	}
	return platform.BackendServer{}, false
}

// Visible returns the rows that readers see now, ordered by ID.
func (s *Server) Visible() []platform.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	rows := make(map[string]platform.BackendServer)
	for _, change := range s.changes {
		if change.VisibleAt.After(now) {
			break
		}
		rows[change.Server.ID] = change.Server
		if change.Removed {
			delete(rows, change.Server.ID)
		}
	}
	list := make([]platform.BackendServer, 0, len(rows))
	for _, row := range rows {
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b platform.BackendServer) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.Get()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.Unavailable {
		http.Error(w, "host list is not available", http.StatusServiceUnavailable)
		return
	}
	if !standin.Authorized(w, r, s.config.Token) {
		return
	}
	visible := s.Visible()
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64String(fmt.Sprint(visible)))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	standin.WriteJSON(w, http.StatusOK, map[string]any{"hosts": visible})
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var row platform.BackendServer
	if standin.ReadJSON(w, r, &row) {
		s.Put(row)
		standin.WriteJSON(w, http.StatusOK, row)
	}
}

func (s *Server) handleRemove(w http.ResponseWriter, r *http.Request) {
	if !s.Remove(r.PathValue("id")) {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
