// Package deployment holds the state that operators, trainers and backend servers
// publish: routes, services, limits, the newest weight versions and the registry
// of backend servers. It has no I/O and no clock.
package deployment

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/leaving"
	"github.com/sesamestand/sesamestand/internal/core/table"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
)

// Kind determines how the requests of a route are executed.
type Kind int

// Kinds of routes.
const (
	Idempotent    Kind = iota // can be executed more than once
	NonIdempotent             // executed at most once per request ID
	Stream                    // response is a stream of events
	Jobs                      // submits batch jobs, executed asynchronously
)

func (k Kind) String() string {
	return [...]string{"idempotent", "non-idempotent", "stream", "jobs"}[k]
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Route maps requests by host name and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Kind          Kind
	Shares        []Share
	Timeout       time.Duration // maximum time that a request may wait
	Objective     time.Duration // latency objective; later responses are worth less to the caller
	MaxAttempts   int           // maximum number of backend servers tried for one request
	Priority      int           // 0 is the most urgent
	Resumable     bool          // a stream can continue on another replica
	SingleVersion bool          // a result must be generated under a single weight version
	Due           time.Duration // time after its submission at which a job's results are due
	Retention     time.Duration // time after its submission from which an item may be abandoned
	Public        bool          // requests need no key
}

// Pick maps a number in [0, 1) to a service, in proportion to the weights of the
// shares. It returns "" if the route has no shares.
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

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	MaxConnections int // limit over all callers together
	// Slots is the number of requests that an engine runs concurrently, or 0 if the
	// servers of the service are not engines.
	Slots  int
	Models []string
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// MemoryTokens is the number of tokens that an engine can hold in memory for
	// running requests and shared prompts, or 0 if unknown.
	MemoryTokens int
	// Scale has the terms under which servers of the service can be ordered, or nil if
	// their number is fixed.
	Scale *Scale
}

// Scale has the terms under which the number of a service's servers can be changed.
type Scale struct {
	// Min and Max bound the servers of both kinds together in each data centre.
	Min, Max int
	// StartUp is the time from an order until its servers serve.
	StartUp time.Duration
	// SpotPrice is the price of a spot server as a share of that of an on-demand one, or 0
	// if there are no spot servers.
	SpotPrice float64
	// Prices has the price of a server by data centre.
	Prices map[string]float64
}

// Limits bounds the requests and connections of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration published by operators.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces are the declared workspaces; nil if there are none.
	Workspaces *workspace.Directory

	byHost map[string][]*Route // routes by host name, longest prefix first
}

// Index builds the index that Match requires. It must be called again after a
// change of Routes.
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

// Match returns the route of the host with the longest prefix of path, or nil if
// none matches.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// JobRoute returns the route for jobs of the host with the given prefix or, if there is
// none, the one with the longest prefix of path. It returns nil if no route for jobs
// matches.
func (c *Config) JobRoute(host, path, prefix string) *Route {
	var longest *Route
	for _, r := range c.byHost[host] {
		if r.Kind != Jobs || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if r.Prefix == prefix {
			return r
		}
		if longest == nil {
			longest = r
		}
	}
	return longest
}

// Models returns the sorted names of the models of all services.
func (c *Config) Models() []string {
	var models []string
	for _, s := range c.Services {
		models = append(models, s.Models...)
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// ServiceOf returns the name of the service that declares a model, or "" if none
// does. If several do, the first by name is returned.
func (c *Config) ServiceOf(model string) string {
	found := ""
	for name, s := range c.Services {
		if slices.Contains(s.Models, model) && (found == "" || name < found) {
			found = name
		}
	}
	return found
}

// Server is a backend server, as reported by itself.
type Server struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	Slots      int
	// Leaving is set if the server's record or one of its responses says that it is
	// leaving.
	Leaving bool
	// LastResortUntil is the time until which a server that is leaving may get requests
	// that no other server can take. It is zero if the record says that it is leaving.
	LastResortUntil time.Time
	// LeavesAt is the time at which a server that is leaving will be gone, or zero if the
	// server does not say.
	LeavesAt time.Time
	// Spot is set if the platform may reclaim the server at short notice.
	Spot bool
	// Incarnation distinguishes successive processes with the same ID.
	Incarnation int64
	// ColdUntil is the time at which the server expects to be warm.
	ColdUntil time.Time
	// Versions holds the weight version of each model. It lags behind the versions
	// that the server actually has.
	Versions map[string]int64
}

// IsLastResort reports whether the server is leaving, but may still get requests that no
// other server can take.
func (s *Server) IsLastResort(now time.Time) bool {
	return s.Leaving && now.Before(s.LastResortUntil)
}

// RecordSaysLeaving reports whether the server is leaving according to its record.
func (s *Server) RecordSaysLeaving() bool { return s.Leaving && s.LastResortUntil.IsZero() }

func (s *Server) instance() leaving.Instance {
	return leaving.Instance{ID: s.ID, Incarnation: s.Incarnation}
}

// CheckAddr checks that an address is an IP and a port that can be dialled.
func CheckAddr(addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return fmt.Errorf("address %q is not IP:PORT", addr)
	}
	return nil
}

// Change is one change published on the platform. One field is set, except that an
// unusable report of a backend server sets both Invalid and Server, which removes
// the server.
type Change struct {
	Config  *Config        // a new configuration
	Version *ModelVersion  // a new newest version of a model
	Server  *ServerChange  // a backend server's report
	Invalid *InvalidChange // an unusable record
}

// ModelVersion declares the newest weight version of a model.
type ModelVersion struct {
	Model   string
	Version int64
}

// ServerChange is the report of a backend server or its removal.
type ServerChange struct {
	ID     string
	Server *Server // nil if the server was removed
}

// InvalidChange identifies an unusable record and gives the reason.
type InvalidChange struct {
	Key    string
	Reason string
}

// State holds the newest published state. It is not safe for concurrent use.
type State struct {
	Config   *Config
	Versions *table.Table[string, int64]
	Servers  *table.Table[string, Server]
	// pendingRemovals maps the servers whose removal is deferred to the time at
	// which it is executed.
	pendingRemovals map[string]time.Time
	// discarded holds the servers whose entry was replaced by an invalid one.
	discarded map[string]bool
	notices   *leaving.Notices
}

// NewState returns an empty State.
func NewState() *State {
	return &State{
		Versions:        table.New[string, int64](),
		Servers:         table.New[string, Server](),
		pendingRemovals: make(map[string]time.Time),
		discarded:       make(map[string]bool),
		notices:         leaving.NewNotices(),
	}
}

// outageGrace is the time after an outage of the store within which servers
// renew the entries that expired during the outage.
const outageGrace = 2 * time.Second

// SetConfig applies a configuration unless the current one is as new or newer. It
// reports whether the configuration was applied.
func (s *State) SetConfig(c *Config) bool {
	if s.Config != nil && c.Version <= s.Config.Version {
		return false
	}
	s.Config = c
	return true
}

// SetVersion applies the newest version of a model unless the current one is as
// new or newer. It reports whether the version was applied.
func (s *State) SetVersion(v ModelVersion) bool {
	if known := s.Versions.Get(v.Model); known != nil && *known >= v.Version {
		return false
	}
	s.Versions.Put(v.Model, v.Version)
	return true
}

// Newest returns the newest published version of a model. It is 1, the version
// with which replicas start, until another one is published.
func (s *State) Newest(model string) int64 {
	if v := s.Versions.Get(model); v != nil {
		return *v
	}
	return 1
}

// SetServer applies a server's report and cancels its pending removal.
func (s *State) SetServer(server Server) {
	delete(s.pendingRemovals, server.ID)
	delete(s.discarded, server.ID)
	s.applyNotice(&server)
	s.keepEarliestLeave(&server)
	s.Servers.Put(server.ID, server)
}

// keepEarliestLeave keeps the earliest time at which a process said that it will be gone.
// The record gives the remaining time, and is read late by an unknown time.
func (s *State) keepEarliestLeave(server *Server) {
	known := s.Servers.Get(server.ID)
	if known == nil || known.Incarnation != server.Incarnation || known.LeavesAt.IsZero() || !server.Leaving {
		return
	}
	if server.LeavesAt.IsZero() || known.LeavesAt.Before(server.LeavesAt) {
		server.LeavesAt = known.LeavesAt
	}
}

// applyNotice marks a server as leaving if it has said so in a response. A record that
// says so as well is older by an unknown time, so it allows no use as a last resort.
func (s *State) applyNotice(server *Server) {
	if until, known := s.notices.LastResortUntil(server.instance()); known && !server.Leaving {
		server.Leaving, server.LastResortUntil = true, until
	}
}

// LearnLeaving records that a server said in a response that it is leaving. It reports
// whether that was not known from a response before.
func (s *State) LearnLeaving(i leaving.Instance, now time.Time) bool {
	isRegistered := func(i leaving.Instance) bool {
		server := s.Servers.Get(i.ID)
		return server != nil && server.Incarnation == i.Incarnation
	}
	if !s.notices.Add(i, now, isRegistered) {
		return false
	}
	if isRegistered(i) {
		s.applyNotice(s.Servers.Get(i.ID))
	}
	return true
}

// RemoveServer removes a server. Within outageGrace after the last outage of the
// store, the removal is deferred to the end of that time: the entry may have
// expired only because the store was unavailable, and a server that is alive
// renews it by then.
func (s *State) RemoveServer(id string, lastOutageEnd, now time.Time) {
	delete(s.discarded, id)
	if s.Servers.Get(id) == nil {
		return
	}
	if until := lastOutageEnd.Add(outageGrace); now.Before(until) {
		s.pendingRemovals[id] = until
		return
	}
	s.Servers.Delete(id)
}

// DiscardServer removes a server at once, also shortly after an outage: its entry did
// not expire, but was replaced by one that names no server.
func (s *State) DiscardServer(id string) {
	if s.Servers.Get(id) == nil {
		return
	}
	delete(s.pendingRemovals, id)
	s.Servers.Delete(id)
	s.discarded[id] = true
}

// MayReturn reports whether a server is registered, or was until its entry was replaced
// by an invalid one. What is known of it is retained.
func (s *State) MayReturn(id string) bool { return s.Servers.Get(id) != nil || s.discarded[id] }

// Expire executes the deferred removals that are due, and returns the sorted IDs
// of the removed servers.
func (s *State) Expire(now time.Time) []string {
	var removed []string
	for id, until := range s.pendingRemovals {
		if !now.Before(until) {
			delete(s.pendingRemovals, id)
			s.Servers.Delete(id)
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// RemoveAbsent calls RemoveServer for every server that is missing from a complete
// listing. The listing also has the servers whose entry is invalid.
func (s *State) RemoveAbsent(present map[string]bool, lastOutageEnd, now time.Time) {
	for _, id := range s.Servers.Keys() {
		if !present[id] {
			s.RemoveServer(id, lastOutageEnd, now)
		}
	}
	maps.DeleteFunc(s.discarded, func(id string, _ bool) bool { return !present[id] })
}
