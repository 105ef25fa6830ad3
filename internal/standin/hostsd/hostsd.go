// Package hostsd is a stand-in for the platform's host list. Changes become
// visible to readers after a configurable lag.
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

// Config holds the parameters of the host list.
type Config struct {
	Token string
	Lag   time.Duration // time until a change becomes visible
}

// Faults are the injected faults, which can be changed at run time.
type Faults struct {
	Unavailable bool `json:"down"` // responds 503
	DelayMS     int  `json:"delay_ms"`
}

// Change is the record of one change of the list, for a checker.
type Change struct {
	Time      time.Time              `json:"time"`
	VisibleAt time.Time              `json:"visible"` // when the change becomes visible to readers
	Server    platform.BackendServer `json:"row"`
	Removed   bool                   `json:"removed"`
}

// Server is the host list.
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

// Handler returns the HTTP handler of the list.
func (s *Server) Handler() http.Handler { return s.mux }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Put adds or replaces the entry of a backend server.
func (s *Server) Put(server platform.BackendServer) { s.record(Change{Server: server}) }

// SetLeaving marks the backend server with the given ID as leaving. It reports
// whether the server is on the list.
func (s *Server) SetLeaving(id string) bool {
	server, found := s.latest(id)
	if found {
		server.Leaving = true
		s.record(Change{Server: server})
	}
	return found
}

// Remove removes the backend server with the given ID from the list. It reports
// whether the server was on the list.
func (s *Server) Remove(id string) bool {
	server, found := s.latest(id)
	if found {
		s.record(Change{Server: server, Removed: true})
	}
	return found
}

// Changes returns all changes in order.
func (s *Server) Changes() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.changes)
}

func (s *Server) record(change Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change.Time = time.Now()
	change.VisibleAt = change.Time.Add(s.config.Lag)
	s.changes = append(s.changes, change)
}

// latest returns the newest entry of the backend server with the given ID,
// including changes that are not visible yet, and whether it is on the list.
func (s *Server) latest(id string) (platform.BackendServer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range slices.Backward(s.changes) {
		if change.Server.ID == id {
			return change.Server, !change.Removed
		}
	}
	return platform.BackendServer{}, false
}

// Visible returns the entries that are visible to readers now, ordered by ID.
func (s *Server) Visible() []platform.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	servers := make(map[string]platform.BackendServer)
	for _, change := range s.changes {
		if change.VisibleAt.After(now) {
			break
		}
		servers[change.Server.ID] = change.Server
		if change.Removed {
			delete(servers, change.Server.ID)
		}
	}
	list := make([]platform.BackendServer, 0, len(servers))
	for _, server := range servers {
		list = append(list, server)
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
	var server platform.BackendServer
	if standin.ReadJSON(w, r, &server) {
		s.Put(server)
		standin.WriteJSON(w, http.StatusOK, server)
	}
}

func (s *Server) handleRemove(w http.ResponseWriter, r *http.Request) {
	if !s.Remove(r.PathValue("id")) {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
