// Package weightsd is a stand-in for the platform's weight store. All downloads
// share one rate limit.
package weightsd

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sesamestand/sesamestand/internal/standin"
)

// maxWriteBytes is the maximum size of one write of a blob.
const maxWriteBytes = 16 << 10

// Config holds the parameters of the weight store.
type Config struct {
	Token          string
	BlobBytes      int // size of each version; 0 means 256 KiB
	BytesPerSecond int // for all downloads together; 0 means no limit
}

// Faults are the injected faults, which can be changed at run time.
type Faults struct {
	Unavailable bool `json:"down"` // responds 503
	DelayMS     int  `json:"delay_ms"`
	FailBlobs   bool `json:"fail_blobs"` // aborts downloads after half of the blob
}

// Publication is the record of one published version.
type Publication struct {
	Time    time.Time `json:"time"`
	Model   string    `json:"model"`
	Version int64     `json:"version"`
}

// Server is the weight store.
type Server struct {
	config  Config
	faults  standin.Faults[Faults]
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu           sync.Mutex
	publications []Publication
}

// New returns an empty weight store.
func New(config Config) *Server {
	if config.BlobBytes == 0 {
		config.BlobBytes = 256 << 10
	}
	s := &Server{config: config, limiter: rate.NewLimiter(rate.Inf, maxWriteBytes), mux: http.NewServeMux()}
	if config.BytesPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(config.BytesPerSecond), maxWriteBytes)
	}
	s.mux.HandleFunc("GET /models/{model}/versions", s.handleList)
	s.mux.HandleFunc("POST /models/{model}/versions/{version}", s.handlePublish)
	s.mux.HandleFunc("GET /models/{model}/versions/{version}/blob", s.handleBlob)
	s.mux.Handle("POST /faults", &s.faults)
	return s
}

// Handler returns the HTTP handler of the store.
func (s *Server) Handler() http.Handler { return s.mux }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Publish adds a version of a model, regardless of injected faults.
func (s *Server) Publish(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publications = append(s.publications, Publication{Time: time.Now(), Model: model, Version: version})
}

// Publications returns all publications in order of time.
func (s *Server) Publications() []Publication {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.publications)
}

// Versions returns the versions of a model in ascending order.
func (s *Server) Versions(model string) []int64 {
	versions := []int64{}
	for _, p := range s.Publications() {
		if p.Model == model {
			versions = append(versions, p.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// admit applies the injected delay and outage and checks the token. It reports
// whether the request may proceed, and writes the response if not.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	faults := s.faults.Get()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.Unavailable {
		http.Error(w, "weight store is not available", http.StatusServiceUnavailable)
		return false
	}
	return standin.Authorized(w, r, s.config.Token)
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	if s.admit(w, r) {
		standin.WriteJSON(w, http.StatusOK, map[string]any{"versions": s.Versions(r.PathValue("model"))})
	}
}

func (s *Server) handlePublish(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	s.Publish(r.PathValue("model"), version)
	standin.WriteJSON(w, http.StatusCreated, map[string]int64{"version": version})
}

func (s *Server) handleBlob(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil || !slices.Contains(s.Versions(r.PathValue("model")), version) {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(s.config.BlobBytes))
	buffer := make([]byte, maxWriteBytes)
	for remaining := s.config.BlobBytes; remaining > 0; remaining -= len(buffer) {
		buffer = buffer[:min(remaining, len(buffer))]
		if s.limiter.WaitN(r.Context(), len(buffer)) != nil {
			return
		}
		if s.faults.Get().FailBlobs && remaining <= s.config.BlobBytes/2 {
			standin.Abort()
		}
		if _, err := w.Write(buffer); err != nil {
			return
		}
	}
}
