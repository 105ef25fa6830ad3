// Package owner implements the owner role of an entry host: it admits
// generations to the replicas that the host owns, sends them to the engines,
// and exchanges load rows, suspicions and weight versions with the other entry
// hosts. A load row reports the load and health of one replica; a suspicion
// counts the engine crashes attributed to requests with the same fingerprint.
//
// A refusal from this package has the outcome "not-run" only if the engine was
// not contacted for the request.
package owner

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/admit"
	"github.com/sesamestand/sesamestand/internal/core/leaving"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// PolicyBaseline admits requests first in, first out up to a fixed limit,
// without suspicions and early refusal. Experiments compare the default policy
// with it.
const PolicyBaseline = admit.PolicyBaseline

const (
	tickInterval                = 100 * time.Millisecond
	defaultExchangeInterval     = 500 * time.Millisecond
	defaultFullExchangeInterval = 10 * time.Second
	defaultCacheEventInterval   = time.Second
)

// Config holds the parameters of a Controller. Zero values mean defaults.
type Config struct {
	Policy  string
	Admit   admit.Config
	Suspect suspect.Config
	// ExchangeInterval is the time between two rounds of the exchange. In a large
	// data centre a round does not reach every member, because the exchange is
	// rate-limited.
	ExchangeInterval time.Duration
	// FullExchangeInterval is the time between two messages with all rows to the
	// same member.
	FullExchangeInterval time.Duration
	// CacheEventInterval is the time between two reads of an engine's cache
	// events.
	CacheEventInterval time.Duration
}

func (c Config) withDefaults() Config {
	if c.Admit == (admit.Config{}) {
		c.Admit = admit.Defaults()
	}
	c.Admit.Policy = c.Policy
	if c.Suspect == (suspect.Config{}) {
		c.Suspect = suspect.Defaults()
	}
	if c.ExchangeInterval <= 0 {
		c.ExchangeInterval = defaultExchangeInterval
	}
	if c.FullExchangeInterval <= 0 {
		c.FullExchangeInterval = defaultFullExchangeInterval
	}
	if c.CacheEventInterval <= 0 {
		c.CacheEventInterval = defaultCacheEventInterval
	}
	return c
}

// Controller implements the owner role of this host. It is safe for concurrent
// use.
type Controller struct {
	config    Config
	members   cluster.Members
	ownership cluster.Ownership
	states    cluster.ReplicaStates
	configs   cluster.Configs
	engines   *engine.Client
	peers     peer.Clients
	recorder  *telemetry.Recorder
	gate      *access.Gate

	mu                 sync.Mutex
	admit              *admit.Controller
	limits             *ratelimit.Limits // rate limits that owned replicas name
	notices            *leaving.Notices  // engines that have said that they are leaving
	suspects           *suspect.Table
	prefixes           *route.PrefixIndex
	replicas           map[string]cluster.Replica // currently owned
	excludedUntil      map[string]time.Time       // replicas excluded after a failure
	progressTimeouts   map[string]int             // consecutive streams with a progress timeout
	unconfirmedCrashes map[string]crash           // last crash of each owned replica, until a state read resolves it
	// remoteCrashes holds the last crash of each replica of another owner.
	remoteCrashes map[string]crash
	cacheCursors  map[string]cacheCursor
	waiting       map[uint64]chan admit.Action // where to send the admission decision, by request ID
	turns         *workspace.Turns             // of callers' requests at owned replicas
	nextID        uint64                       // last request ID assigned
	routing       routingTable
	exchange      exchangeState
	versions      cluster.Versions // nil if weight versions are not exchanged
}

var (
	_ peer.RunHandler      = (*Controller)(nil)
	_ peer.ExchangeHandler = (*Controller)(nil)
)

// New returns a controller. RunLoops does its periodic work.
func New(config Config, members cluster.Members, ownership cluster.Ownership, states cluster.ReplicaStates,
	configs cluster.Configs, engines *engine.Client, peers peer.Clients, recorder *telemetry.Recorder) *Controller {
	config = config.withDefaults()
	c := &Controller{
		config: config, members: members, ownership: ownership, states: states,
		configs: configs, engines: engines, peers: peers, recorder: recorder,
		admit:              admit.New(config.Admit),
		suspects:           suspect.New(config.Suspect),
		prefixes:           route.NewPrefixIndex(),
		replicas:           make(map[string]cluster.Replica),
		excludedUntil:      make(map[string]time.Time),
		progressTimeouts:   make(map[string]int),
		unconfirmedCrashes: make(map[string]crash),
		remoteCrashes:      make(map[string]crash),
		cacheCursors:       make(map[string]cacheCursor),
		waiting:            make(map[uint64]chan admit.Action),
		routing:            newRoutingTable(),
		exchange:           newExchangeState(),
		limits:             ratelimit.NewLimits(),
		notices:            leaving.NewNotices(),
		turns:              workspace.NewTurns(),
	}
	engines.ObserveResponses(c.observeResponse)
	return c
}

// AdmitBy sets what admits requests with keys before they are sent to an engine. It must be
// called before the first request; without it, all are admitted.
func (c *Controller) AdmitBy(gate *access.Gate) { c.gate = gate }

// ShareVersions adds weight versions to the exchange. It must be called before
// RunLoops.
func (c *Controller) ShareVersions(versions cluster.Versions) { c.versions = versions }

// RunLoops runs the periodic work until ctx ends. Run, by contrast, handles one
// call of the peer service.
func (c *Controller) RunLoops(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, tickInterval, func() { c.tick(time.Now()) }) })
	loops.Go(func() {
		every(ctx, c.config.ExchangeInterval, func() { c.sendExchange(ctx, time.Now()) })
	})
	loops.Go(func() {
		every(ctx, c.config.CacheEventInterval, func() { c.readCacheEvents(ctx) })
	})
	<-ctx.Done()
	loops.Wait()
	return nil
}

// every calls f once per interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// tick refreshes the owned replicas and handles all timeouts and expirations.
func (c *Controller) tick(now time.Time) {
	c.refresh(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(c.admit.Tick(now))
	c.suspects.Tick(now)
	c.routing.expire(now)
	c.expireRemoteCrashes(now)
	c.turns.Retain(c.gate.Workspaces())
}

// refresh reads the owned replicas and updates the admission controller. For a
// newly owned replica it adopts the concurrency limit that the last load row of
// its previous owner reported.
func (c *Controller) refresh(now time.Time) {
	owned := c.states.OwnedReplicas()
	c.mu.Lock()
	defer c.mu.Unlock()
	replicas := make(map[string]cluster.Replica, len(owned))
	for _, r := range owned {
		r = c.applyNotice(r)
		replicas[r.ID] = r
		c.resolveCrash(r, now)
		_, known := c.admit.Load(r.ID, now)
		c.setReplica(r, now)
		if row, ok := c.routing.received[c.routing.hash(r.ID)]; ok && !known {
			c.dispatch(c.admit.AdoptLimit(r.ID, int(row.row.Limit), now))
		}
	}
	c.replicas = replicas
	for _, id := range c.admit.Replicas() {
		if _, ok := replicas[id]; !ok {
			c.dispatch(c.admit.RemoveReplica(id, now))
			delete(c.excludedUntil, id)
			delete(c.progressTimeouts, id)
			delete(c.unconfirmedCrashes, id)
			delete(c.cacheCursors, id)
		}
	}
	c.limits.Retain(func(id string) bool {
		_, owned := replicas[id]
		return owned
	})
}

// setReplica passes the health of an owned replica to the admission controller.
// The caller must hold c.mu.
func (c *Controller) setReplica(r cluster.Replica, now time.Time) {
	healthy := r.Healthy && !now.Before(c.excludedUntil[r.ID])
	c.dispatch(c.admit.SetReplica(r.ID, healthy, r.Leaving, now))
}

// dispatch delivers admission decisions to the requests that wait for them. The
// caller must hold c.mu.
func (c *Controller) dispatch(actions []admit.Action) {
	for _, action := range actions {
		if result := c.waiting[action.ID]; result != nil {
			delete(c.waiting, action.ID)
			result <- action
		} else {
			klog.InfoS("admission decision for a request that is not waiting", "id", action.ID)
		}
	}
}

// Verdict returns how a request with the fingerprint may run: normally,
// isolated or not at all.
func (c *Controller) Verdict(fingerprint string) suspect.Verdict {
	if c.config.Policy == PolicyBaseline {
		return suspect.Run
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Verdict(fingerprint)
}

// WithPrefixIndex calls f with the index of cached prefixes, which the router of
// this host shares, while it holds c.mu.
func (c *Controller) WithPrefixIndex(f func(*route.PrefixIndex)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.prefixes)
}
