// Package owner is the owner role of an entry host: it admits generations to
// the replicas that the host owns, sends them to the engines, and shares load
// rows, suspicions and weight versions with the other entry hosts.
//
// A refusal from this package says "not-run" only when the engine was not
// contacted for the request.
package owner

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/admit"
	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// PolicyBaseline admits first come, first served up to a fixed limit, without
// suspicions and early refusal. It exists for comparisons.
const PolicyBaseline = admit.PolicyBaseline

const (
	tickInterval       = 100 * time.Millisecond
	defaultExchange    = 500 * time.Millisecond
	defaultFullRows    = 10 * time.Second
	defaultCacheEvents = time.Second
)

// Config holds the parameters of a Controller. Zero values mean defaults.
type Config struct {
	Policy  string
	Admit   admit.Config
	Suspect suspect.Config
	// ExchangeInterval is the time between load summaries to a small data
	// centre; larger ones get them less often.
	ExchangeInterval time.Duration
	// FullExchangeInterval is the time between summaries with all rows.
	FullExchangeInterval time.Duration
	// CacheEventInterval is the time between reads of an engine's cache events.
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
		c.ExchangeInterval = defaultExchange
	}
	if c.FullExchangeInterval <= 0 {
		c.FullExchangeInterval = defaultFullRows
	}
	if c.CacheEventInterval <= 0 {
		c.CacheEventInterval = defaultCacheEvents
	}
	return c
}

// Controller is the owner role of this host. It is safe for concurrent use.
type Controller struct {
	config    Config
	members   cluster.Members
	ownership cluster.Ownership
	states    cluster.ReplicaStates
	configs   cluster.Configs
	engines   *engine.Client
	peers     peer.Clients
	recorder  *telemetry.Recorder

	mu       sync.Mutex
	admit    *admit.Controller
	suspects *suspect.Table
	prefixes *route.PrefixIndex
	replicas map[string]cluster.Replica // owned now
	out      map[string]time.Time       // replicas that failed, until when
	silent   map[string]int             // silent streams in a row
	crashes  map[string]crash           // last crash of an owned replica, unconfirmed
	// remoteCrashes holds the last crash of replicas of other owners.
	remoteCrashes map[string]crash
	caches        map[string]cacheCursor
	waiting       map[uint64]chan admit.Action
	nextID        uint64
	rows          rows
	exchange      exchangeState
	versions      cluster.Versions
}

var (
	_ peer.RunHandler      = (*Controller)(nil)
	_ peer.ExchangeHandler = (*Controller)(nil)
)

// New returns the owner role of this host.
func New(config Config, members cluster.Members, ownership cluster.Ownership, states cluster.ReplicaStates,
	configs cluster.Configs, engines *engine.Client, peers peer.Clients, recorder *telemetry.Recorder) *Controller {
	config = config.withDefaults()
	return &Controller{
		config: config, members: members, ownership: ownership, states: states,
		configs: configs, engines: engines, peers: peers, recorder: recorder,
		admit:         admit.New(config.Admit),
		suspects:      suspect.New(config.Suspect),
		prefixes:      route.NewPrefixIndex(),
		replicas:      make(map[string]cluster.Replica),
		out:           make(map[string]time.Time),
		silent:        make(map[string]int),
		crashes:       make(map[string]crash),
		remoteCrashes: make(map[string]crash),
		caches:        make(map[string]cacheCursor),
		waiting:       make(map[uint64]chan admit.Action),
		rows:          newRows(),
		exchange:      newExchangeState(),
	}
}

// ShareVersions makes the exchange carry weight versions. It must be called
// before RunLoops.
func (c *Controller) ShareVersions(versions cluster.Versions) { c.versions = versions }

// RunLoops does the periodic work until ctx ends. (Run is the handler of the
// peer service's call of that name.)
func (c *Controller) RunLoops(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, tickInterval, func() { c.tick(time.Now()) }) })
	loops.Go(func() {
		every(ctx, c.config.ExchangeInterval, func() { c.sendExchange(ctx, time.Now()) })
	})
	loops.Go(func() {
		every(ctx, c.config.CacheEventInterval, func() { c.followCaches(ctx) })
	})
	<-ctx.Done()
	loops.Wait()
	return nil
}

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

// tick takes over which replicas this host owns and lets time pass in the queues.
func (c *Controller) tick(now time.Time) {
	c.refresh(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(c.admit.Tick(now))
	c.suspects.Tick(now)
	c.rows.expire(now)
	c.forgetCrashes(now)
}

// refresh reads the owned replicas and passes changes to the queues.
func (c *Controller) refresh(now time.Time) {
	owned := c.states.OwnedReplicas()
	c.mu.Lock()
	defer c.mu.Unlock()
	replicas := make(map[string]cluster.Replica, len(owned))
	for _, r := range owned {
		replicas[r.ID] = r
		c.noteState(r, now)
		_, known := c.admit.Load(r.ID)
		c.setReplica(r, now)
		if row, ok := c.rows.received[c.rows.hash(r.ID)]; ok && !known {
			c.dispatch(c.admit.AdoptLimit(r.ID, int(row.row.Limit), now))
		}
	}
	c.replicas = replicas
	for _, id := range c.admit.Replicas() {
		if _, ok := replicas[id]; !ok {
			c.dispatch(c.admit.RemoveReplica(id, now))
			delete(c.out, id)
			delete(c.silent, id)
			delete(c.crashes, id)
			delete(c.caches, id)
		}
	}
}

func (c *Controller) setReplica(r cluster.Replica, now time.Time) {
	healthy := r.Healthy && !now.Before(c.out[r.ID])
	c.dispatch(c.admit.SetReplica(r.ID, healthy, r.Leaving, now))
}

// dispatch hands actions to the requests that wait for them.
func (c *Controller) dispatch(actions []admit.Action) {
	for _, action := range actions {
		if result := c.waiting[action.ID]; result != nil {
			delete(c.waiting, action.ID)
			result <- action
		} else {
			klog.InfoS("admission for an unknown request", "id", action.ID)
		}
	}
}

// Verdict returns how a request with a fingerprint may run.
func (c *Controller) Verdict(fingerprint string) suspect.Verdict {
	if c.config.Policy == PolicyBaseline {
		return suspect.Run
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Verdict(fingerprint)
}

// WithPrefixIndex runs f with the memory of cached prefixes, which the router of
// this host shares.
func (c *Controller) WithPrefixIndex(f func(*route.PrefixIndex)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.prefixes)
}
