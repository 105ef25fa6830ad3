// Package engined is a stand-in for a model engine. It simulates continuous
// batching and prefix caching, swaps weights when ordered to, and injects faults.
// Tokens are a function of model, prompt, seed and index, so that a checker can
// verify complete answers. Every request and order that reaches the engine is
// recorded in its journal.
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

// Config holds the parameters of one engine.
type Config struct {
	ID      string
	Token   string
	Model   string
	Version int64 // base version, served at the start and after each crash
	// WeightsAddr is the address of the weight store. If it is empty, a load
	// without a peer engine as its source just takes LoadTime.
	WeightsAddr string
	LoadTime    time.Duration
	// WeightBytes and PeerBytesPerSecond are the size and the rate of weight
	// copies to peer engines. A zero size means 256 KiB, a zero rate no limit.
	WeightBytes         int
	PeerBytesPerSecond  int
	IgnoreFence         bool          // accept orders with outdated fencing numbers
	MaxBatch            int           // requests that run together; 0 means 16
	TokenTime           time.Duration // time per token while one request runs; 0 means 2 ms
	BatchSlope          float64       // relative growth of the time per token with each further request
	PrefillPerBlock     time.Duration // prefill time per prompt block that is not cached
	CacheBlocks         int           // capacity of the prefix cache; 0 means 1024
	CacheEventDelay     time.Duration // time until GET /cache/events returns an event
	CacheEventLossShare float64       // share of cache events that are lost
	LoadReportDelay     time.Duration // age of the running and waiting counts of GET /state
	SwapPause           time.Duration // time without tokens after a weight swap
	Lengths             Lengths       // answer lengths; a zero mean means 32 tokens
	Seed                uint64        // seed of random faults
}

// Server is the stand-in for one engine.
type Server struct {
	config      Config
	mux         *http.ServeMux
	faults      standin.Faults[Faults]
	peerLimiter *rate.Limiter
	client      *http.Client

	mu               sync.Mutex
	endpoint         *standin.Endpoint
	random           *rand.Rand
	state            engine.State // without Running and Waiting
	down             bool
	batchLoopRunning bool
	pausedUntil      time.Time
	waiting          []*run
	active           []*run
	loadSamples      []loadSample
	cache            *prefixCache
	loading          *weightLoad
	journal          Journal
}

// loadSample is the load at one time, recorded for delayed reports.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// New returns an engine that serves its base version. Start makes it listen.
func New(config Config) *Server {
	setDefaults(&config)
	s := &Server{
		config:      config,
		mux:         http.NewServeMux(),
		peerLimiter: rate.NewLimiter(rate.Inf, maxWriteBytes),
		client:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		random:      rand.New(rand.NewPCG(config.Seed, 1)),
	}
	if config.PeerBytesPerSecond > 0 {
		s.peerLimiter.SetLimit(rate.Limit(config.PeerBytesPerSecond))
	}
	s.resetStateLocked()
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

// resetStateLocked resets the engine to the state of a newly started process.
func (s *Server) resetStateLocked() {
	s.state = engine.State{
		Model:       s.config.Model,
		Version:     s.config.Version,
		Adapters:    []string{},
		Role:        engine.RoleMixed,
		Incarnation: s.state.Incarnation + 1,
	}
	s.cache = newPrefixCache(s.config.CacheBlocks)
	s.loadSamples = nil
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

// guard aborts requests while the engine is down, blocks them while it hangs,
// and checks the token.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			standin.Abort()
		}
		for s.faults.Get().Hang {
			select {
			case <-time.After(hangPollInterval):
			case <-r.Context().Done():
				return
			}
		}
		standin.SayLeaving(w, s.faults.Get().Leaving)
		if standin.Authorized(w, r, s.config.Token) {
			next(w, r)
		}
	}
}

// hangPollInterval is the interval at which blocked requests check whether the
// engine still hangs.
const hangPollInterval = 10 * time.Millisecond

// Handler returns the HTTP handler of the engine, for use without Start. A crash
// then aborts requests instead of refusing connections, and Freeze has no effect.
func (s *Server) Handler() http.Handler { return s.mux }

// Start serves the engine on addr and returns the address with the actual port.
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

// Close ends all requests and stops serving.
func (s *Server) Close() error {
	s.mu.Lock()
	endpoint := s.endpoint
	s.endAllLocked(OutcomeCrashed)
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

// State returns the current state, without the report delay.
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
	sample := s.reportedLoadLocked(time.Now())
	state.Running, state.Waiting = sample.running, sample.waiting
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, state)
}

// recordLoadLocked records the current load for later reports and removes samples
// that no later report needs.
func (s *Server) recordLoadLocked(now time.Time) {
	s.reportedLoadLocked(now)
	s.loadSamples = append(s.loadSamples, loadSample{at: now, running: len(s.active), waiting: len(s.waiting)})
}

// reportedLoadLocked returns the newest sample that is older than the report
// delay and removes the samples before it.
func (s *Server) reportedLoadLocked(now time.Time) loadSample {
	cutoff := now.Add(-s.config.LoadReportDelay)
	newest := -1
	for i, sample := range s.loadSamples {
		if sample.at.After(cutoff) {
			break
		}
		newest = i
	}
	if newest < 0 {
		return loadSample{}
	}
	s.loadSamples = s.loadSamples[newest:]
	return s.loadSamples[0]
}
