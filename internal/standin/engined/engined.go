// Package engined is a stand-in for a model engine. It batches continuously,
// caches prompt prefixes, swaps weights on orders and fails on demand. Tokens
// are a function of model, prompt, seed and index, so that a checker can
// verify whole answers. It records every request and order that reached it.
package engined

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/standin"
)

// Config describes one engine.
type Config struct {
	ID      string
	Token   string
	Model   string
	Version int64 // base version, also after a crash
	// WeightsAddr is the weight store; without it a load takes LoadTime.
	WeightsAddr string
	LoadTime    time.Duration
	// WeightBytes and PeerBytesPerSecond describe copies to other engines.
	WeightBytes         int
	PeerBytesPerSecond  int
	IgnoreFence         bool
	MaxBatch            int           // 0 means 16
	TokenTime           time.Duration // per token when one request runs; 0 means 2 ms
	BatchSlope          float64       // growth of TokenTime per further request, as a share
	PrefillPerBlock     time.Duration // per prompt block that is not cached
	CacheBlocks         int           // 0 means 1024
	CacheEventDelay     time.Duration
	CacheEventLossShare float64 // share of events that are lost
	LoadReportDelay     time.Duration
	SwapPause           time.Duration
	Lengths             Lengths // a zero mean is 32 tokens
	Seed                uint64  // of random faults
}

// Server is one engine.
type Server struct {
	config Config
	mux    *http.ServeMux
	faults standin.Faults[Faults]
	peers  *rate.Limiter
	client *http.Client

	mu          sync.Mutex
	endpoint    *standin.Endpoint
	random      *rand.Rand
	state       engine.State // without load
	down        bool
	looping     bool
	pausedUntil time.Time
	waiting     []*run
	active      []*run
	loads       []loadSample
	cache       *prefixCache
	loading     *load
	journal     Journal
}

// loadSample is one value of the lagged load report.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// New returns an engine that serves its base version.
func New(config Config) *Server {
	setDefaults(&config)
	s := &Server{
		config: config,
		mux:    http.NewServeMux(),
		peers:  rate.NewLimiter(rate.Inf, pieceBytes),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		random: rand.New(rand.NewPCG(config.Seed, 1)),
	}
	if config.PeerBytesPerSecond > 0 {
		s.peers.SetLimit(rate.Limit(config.PeerBytesPerSecond))
	}
	s.startLocked()
	s.routes()
	return s
}

func setDefaults(config *Config) {
	if config.MaxBatch == 0 {
		config.MaxBatch = 16
	}
	if config.TokenTime == 0 {
		config.TokenTime = 2 * time.Millisecond
	}
	if config.CacheBlocks == 0 {
		config.CacheBlocks = 1024
	}
	if config.Lengths.Mean == 0 {
		config.Lengths.Mean = 32
	}
	if config.WeightBytes == 0 {
		config.WeightBytes = 256 << 10
	}
}

// startLocked gives the engine the state of a fresh process.
func (s *Server) startLocked() {
	s.state = engine.State{
		Model:       s.config.Model,
		Version:     s.config.Version,
		Adapters:    []string{},
		Role:        engine.RoleMixed,
		Incarnation: s.state.Incarnation + 1,
	}
	s.cache = newPrefixCache(s.config.CacheBlocks)
	s.loads = nil
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/completions", s.guard(s.handleCompletion))
	s.mux.HandleFunc("GET /state", s.guard(s.handleState))
	s.mux.HandleFunc("GET /cache/events", s.guard(s.handleCacheEvents))
	s.mux.HandleFunc("POST /orders", s.guard(s.handleOrder))
	s.mux.HandleFunc("POST /cancel", s.guard(s.handleCancel))
	s.mux.HandleFunc("POST /kv/export", s.guard(s.handleExport))
	s.mux.HandleFunc("POST /kv/import", s.guard(s.handleImport))
	s.mux.HandleFunc("GET /weights/{model}/{version}", s.guard(s.handleWeights))
	s.mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Journal())
	})
	s.mux.HandleFunc("POST /faults", s.handleFaults)
}

// guard drops connections while the engine is down, answers nothing while it
// hangs, and checks the token.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			standin.Abort()
		}
		for s.faults.Get().Hang {
			select {
			case <-time.After(hangPoll):
			case <-r.Context().Done():
				return
			}
		}
		if standin.Authorized(w, r, s.config.Token) {
			next(w, r)
		}
	}
}

// hangPoll is the time between two looks whether the engine still hangs.
const hangPoll = 10 * time.Millisecond

// Handler returns the HTTP interface of the engine. Without Start, a crash
// drops connections instead of refusing them, and Freeze has no effect.
func (s *Server) Handler() http.Handler { return s.mux }

// Start serves the engine on addr and returns the address.
func (s *Server) Start(addr string) (string, error) {
	endpoint, err := standin.Listen(addr, s.mux)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoint = endpoint
	return endpoint.Addr(), nil
}

// Close stops serving.
func (s *Server) Close() error {
	s.mu.Lock()
	endpoint := s.endpoint
	s.dropRunsLocked(OutcomeCrashed)
	s.stopLoadLocked()
	s.mu.Unlock()
	if endpoint == nil {
		return nil
	}
	return endpoint.Close()
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// State returns the state without any lag.
func (s *Server) State() engine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.Running, state.Waiting = len(s.active), len(s.waiting)
	return state
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := s.state
	sample := s.laggedLoadLocked(time.Now())
	state.Running, state.Waiting = sample.running, sample.waiting
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, state)
}

// noteLoadLocked records the present load for later reports.
func (s *Server) noteLoadLocked(now time.Time) {
	s.laggedLoadLocked(now)
	s.loads = append(s.loads, loadSample{at: now, running: len(s.active), waiting: len(s.waiting)})
}

// laggedLoadLocked returns the newest sample older than the lag and drops
// the samples before it.
func (s *Server) laggedLoadLocked(now time.Time) loadSample {
	visible := now.Add(-s.config.LoadReportDelay)
	newest := -1
	for i, sample := range s.loads {
		if sample.at.After(visible) {
			break
		}
		newest = i
	}
	if newest < 0 {
		return loadSample{}
	}
	s.loads = s.loads[newest:]
	return s.loads[0]
}
