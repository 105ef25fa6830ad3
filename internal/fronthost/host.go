// Package fronthost runs an entry host on a platform with a partitioned log
// store: it follows what the store holds, answers requests and jobs, and holds
// the duties that the store deals to it. Decisions lie in internal/core.
package fronthost

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/forward"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Names in the store.
const (
	// topicWork holds jobs, results and placements.
	topicWork = "work"
	// groupDuties deals the partitions of topicWork.
	groupDuties = "duties"
	// writerName is the fenced writer of every partition.
	writerName = "runner"
)

// controlPartition is the partition whose holder sends orders. Jobs lie in the
// others.
const controlPartition = 0

// housekeepingInterval is the time between two looks at waiting removals.
const housekeepingInterval = 250 * time.Millisecond

// Feed is a partition that others write, with its decoder.
type Feed struct {
	Partition logstore.Partition
	Decode    func(logstore.Record) deployment.Change
}

// Feeds are the partitions that the platform's writers use.
type Feeds struct {
	Operators Feed
	Servers   Feed
}

// Backends speaks to backend servers and can forget connections.
type Backends interface {
	backend.Client
	CloseUnregistered(registered func(backend.Target) bool)
}

// Host is one entry host.
type Host struct {
	settings settings.Settings
	store    logstore.Store
	backends Backends
	feeds    Feeds
	recorder *telemetry.Recorder
	member   string // unique for this start of the process
	group    *logstore.Group
	blobs    *blobs

	operators *logstore.Follower
	servers   *logstore.Follower

	work     context.Context // ends with the process; runs end with it
	draining atomic.Bool
	inFlight atomic.Int64

	mu        sync.Mutex
	state     *deployment.State
	jobs      *jobs.Table
	placed    map[string]*placement
	lags      map[string]int64 // versions behind the newest that a model's trainer allows
	forward   *forward.Balancer
	suspects  *suspect.Table
	followers map[int]*logstore.Follower // of topicWork
	runners   map[int]*runner
	known     []deployment.Server // copy of the registry for choices, by service
	byService map[string][]deployment.Server
}

// New returns a host that is not running yet.
func New(s settings.Settings, store logstore.Store, backends Backends, feeds Feeds, recorder *telemetry.Recorder) *Host {
	store = &meteredStore{Store: store, recorder: recorder}
	h := &Host{
		settings: s, store: store, backends: backends, feeds: feeds, recorder: recorder,
		member: s.Host.ID + "-" + uuid.NewString()[:8],
		state:  deployment.NewState(), jobs: jobs.NewTable(), placed: make(map[string]*placement),
		lags: make(map[string]int64), forward: forward.New(forward.Defaults()), suspects: suspect.New(suspect.Defaults()),
		followers: make(map[int]*logstore.Follower), runners: make(map[int]*runner),
	}
	if h.small() {
		h.member = s.Host.ID + smallMark + uuid.NewString()[:8]
	}
	h.blobs = newBlobs(store, s.Platform.Store.RecordBytes, s.Platform.Store.AppendBytes)
	h.operators = logstore.NewFollower(store, feeds.Operators.Partition, h.applyOperators)
	h.servers = logstore.NewFollower(store, feeds.Servers.Partition, h.applyServers)
	return h
}

// start starts the followers and duties; they end with ctx.
func (h *Host) start(ctx context.Context) {
	h.work = ctx
	go h.operators.Run(ctx)
	go h.servers.Run(ctx)
	h.follow(ctx, controlPartition)
	changed := make(chan struct{}, 1)
	h.group = logstore.NewGroup(h.store, logstore.Membership{
		Group: groupDuties, Member: h.member, Topic: topicWork, TTL: h.memberTTL(),
	}, func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	if h.small() {
		h.group.SetPaused(ctx, true)
		go h.standBy(ctx)
	}
	go h.group.Run(ctx)
	go h.keepDuties(ctx, changed)
	go h.housekeep(ctx)
}

// memberTTL is the time after which the duties of a silent host move. Orders of
// two holders must lie a lease apart, so it stays well under the lease.
func (h *Host) memberTTL() time.Duration {
	return max(h.settings.Platform.Store.MinTTL, h.settings.Timing.OrderLease/2)
}

// follow starts to follow a partition of topicWork unless that was done.
func (h *Host) follow(ctx context.Context, partition int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.followers[partition] != nil {
		return
	}
	klog.InfoS("partition is followed", "partition", partition)
	f := logstore.NewFollower(h.store, workPartition(partition), func(b logstore.Batch) { h.applyWork(partition, b) })
	h.followers[partition] = f
	go f.Run(ctx)
}

func workPartition(n int) logstore.Partition { return logstore.Partition{Topic: topicWork, Number: n} }

// partitionOf returns the partition that holds a model's jobs. The models of a
// service share one, so that one runner knows all runs on the service's replicas.
// The caller holds mu.
func (h *Host) partitionOf(model string) int {
	key := model
	if h.state.Config != nil {
		key = cmp.Or(h.state.Config.ServiceOf(model), model)
	}
	jobPartitions := uint64(h.settings.Platform.Store.Partitions - 1)
	return 1 + int(xxhash.Sum64String(key)%jobPartitions)
}

func (h *Host) follower(partition int) *logstore.Follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.followers[partition]
}

// modelPartitions returns the partitions that hold jobs of a configuration's models.
func (h *Host) modelPartitions(config *deployment.Config) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var partitions []int
	for _, model := range config.Models() {
		partitions = append(partitions, h.partitionOf(model))
	}
	slices.Sort(partitions)
	return slices.Compact(partitions)
}

// followModels follows the partitions of all models of a configuration.
func (h *Host) followModels(config *deployment.Config) {
	for _, p := range h.modelPartitions(config) {
		h.follow(h.work, p)
	}
}

// housekeep carries out removals that waited, and forgets what belongs to
// servers that are gone.
func (h *Host) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.mu.Lock()
		gone := h.state.Expire(time.Now())
		if len(gone) > 0 {
			h.refreshServers()
		}
		registered := make(map[backend.Target]bool, len(h.known))
		for _, s := range h.known {
			registered[backend.Target{ID: s.ID, Addr: s.Addr}] = true
		}
		h.forward.RetainServers(func(id string) bool { return h.state.Servers.Get(id) != nil })
		h.mu.Unlock()
		for _, id := range gone {
			klog.InfoS("backend server is gone", "server", id, "reason", "did not come back after an outage of the store")
		}
		h.backends.CloseUnregistered(func(t backend.Target) bool { return registered[t] })
	}
}

// Ready says whether the host can serve: it knows a configuration, the backend
// servers and all jobs.
func (h *Host) Ready() bool {
	return !h.draining.Load() && h.CaughtUp()
}

// CaughtUp says whether the host has read what it needs to answer requests.
func (h *Host) CaughtUp() bool {
	h.mu.Lock()
	config := h.state.Config
	h.mu.Unlock()
	if config == nil || !h.servers.HasSynced() {
		return false
	}
	for _, p := range h.modelPartitions(config) {
		f := h.follower(p)
		if f == nil || !f.HasSynced() {
			return false
		}
	}
	return true
}

// RefuseNotReady refuses a request that came before the host knows what it needs.
func (h *Host) RefuseNotReady(id string) *Refusal {
	h.recorder.Decision("request", id, "outcome", "refused", "reason", string(cluster.ReasonNotReady), "config", h.Config() != nil)
	refusal := notRun(cluster.ReasonNotReady, "the host has not read its configuration yet")
	refusal.RetryAfter = busyRetry
	return refusal
}

// Config returns the newest configuration, or nil.
func (h *Host) Config() *deployment.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Config
}

// wakeRunners lets all runners look at their jobs again. The caller holds mu.
func (h *Host) wakeRunners() {
	for _, r := range h.runners {
		r.wake()
	}
}
