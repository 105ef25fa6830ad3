// Package deployment holds what operators, trainers and backend servers have
// declared: routes, services, limits, named weight versions and the registry of
// backend servers. It has no I/O and no clock.
package deployment

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// Kind says what may be done with a route's requests.
type Kind int

// Kinds of routes.
const (
	Idempotent    Kind = iota // may run more than once
	NonIdempotent             // at most once per request ID
	Stream                    // answers with events
	Jobs                      // takes jobs of many items that run later
)

func (k Kind) String() string {
	return [...]string{"idempotent", "non-idempotent", "stream", "jobs"}[k]
}

// Share is one part of a route that is split among services.
type Share struct {
	Service string
	Weight  float64
}

// Route maps a host name and a path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Kind          Kind
	Shares        []Share
	Timeout       time.Duration // longest time that a request may wait
	Objective     time.Duration // time within which an answer has its full worth
	MaxAttempts   int           // most backend servers for one request
	Priority      int           // 0 is the most urgent
	Resumable     bool          // a stream may go on at another replica
	SingleVersion bool          // a result has one weight version only
	Due           time.Duration // results are wanted this long after submission
	Retention     time.Duration // an item may be given up this long after submission
}

// Pick returns the service for a number in [0, 1).
func (r *Route) Pick(at float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at *= total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a kind of backend server.
type Service struct {
	Name           string
	MaxConnections int // for all callers together
	// Slots is the number of requests an engine runs at once; 0 for services
	// that are no engines.
	Slots  int
	Models []string
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// MemoryTokens is how many tokens an engine keeps for running requests and
	// shared prompts; 0 if that is unknown.
	MemoryTokens int
}

// Limits bounds what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
}

// Index prepares the configuration for Match.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Models returns all models of all services, sorted.
func (c *Config) Models() []string {
	var models []string
	for _, s := range c.Services {
		models = append(models, s.Models...)
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// ServiceOf returns the service that declares a model, or "" if none does.
func (c *Config) ServiceOf(model string) string {
	found := ""
	for name, s := range c.Services {
		if slices.Contains(s.Models, model) && (found == "" || name < found) {
			found = name
		}
	}
	return found
}

// Server is one backend server as it reports itself.
type Server struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	Slots      int
	Leaving    bool
	// Incarnation tells two starts under one ID apart.
	Incarnation int64
	// ColdUntil is when the server is warm, as far as it knows.
	ColdUntil time.Time
	// Versions holds the weight version of each model; lags behind.
	Versions map[string]int64
}

// Change is one change that a writer of the platform made.
type Change struct {
	Config  *Config        // a new configuration
	Version *ModelVersion  // a named version
	Server  *ServerChange  // a backend server's report
	Invalid *InvalidChange // a record that cannot be used
}

// ModelVersion names the newest version of a model.
type ModelVersion struct {
	Model   string
	Version int64
}

// ServerChange is a report of a backend server, or its removal.
type ServerChange struct {
	ID     string
	Server *Server // nil when the server is gone
}

// InvalidChange is a record that names nothing usable.
type InvalidChange struct {
	Key    string
	Reason string
}

// State is all that has been declared. It is not safe for concurrent use.
type State struct {
	Config   *Config
	Versions *table.Table[string, int64]
	Servers  *table.Table[string, Server]
	// removals holds servers whose removal waits, with the time until then.
	removals map[string]time.Time
}

// NewState returns a state that knows nothing.
func NewState() *State {
	return &State{
		Versions: table.New[string, int64](),
		Servers:  table.New[string, Server](),
		removals: make(map[string]time.Time),
	}
}

// lapseGrace is how long after an outage of the store entries that lapsed
// meanwhile may take to come back.
const lapseGrace = 2 * time.Second

// SetConfig takes a configuration unless a newer one is known. It reports
// whether the configuration changed.
func (s *State) SetConfig(c *Config) bool {
	if s.Config != nil && c.Version <= s.Config.Version {
		return false
	}
	s.Config = c
	return true
}

// SetVersion takes a named version unless a newer one is known.
func (s *State) SetVersion(v ModelVersion) bool {
	if known := s.Versions.Get(v.Model); known != nil && *known >= v.Version {
		return false
	}
	s.Versions.Put(v.Model, v.Version)
	return true
}

// Newest returns the newest named version of a model. Replicas start at 1.
func (s *State) Newest(model string) int64 {
	if v := s.Versions.Get(model); v != nil {
		return *v
	}
	return 1
}

// SetServer takes a server's report.
func (s *State) SetServer(server Server) {
	delete(s.removals, server.ID)
	s.Servers.Put(server.ID, server)
}

// RemoveServer takes a server out, but keeps it until lapseGrace after an
// outage of the store: entries that lapsed while the store was away come back
// until then if the server lives.
func (s *State) RemoveServer(id string, afterOutage, now time.Time) {
	if s.Servers.Get(id) == nil {
		return
	}
	if until := afterOutage.Add(lapseGrace); now.Before(until) {
		s.removals[id] = until
		return
	}
	s.Servers.Delete(id)
}

// Expire carries out removals that have waited, and returns their servers.
func (s *State) Expire(now time.Time) []string {
	var gone []string
	for id, until := range s.removals {
		if !now.Before(until) {
			delete(s.removals, id)
			s.Servers.Delete(id)
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// RemoveAbsent takes out every server that a complete list lacks.
func (s *State) RemoveAbsent(listed map[string]bool, afterOutage, now time.Time) {
	for _, id := range s.Servers.Keys() {
		if !listed[id] {
			s.RemoveServer(id, afterOutage, now)
		}
	}
}
