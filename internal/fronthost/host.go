// Package fronthost runs an entry host on a platform with a partitioned log
// store. The host follows the partitions of the store, forwards requests, accepts
// jobs, and does the work of the partitions that the store assigns to it. The
// decision logic is in internal/core.
//
// A job is a batch of items, that is, of inference requests. A run is one execution
// of an item on a replica, which is a backend server that holds model weights. A
// load order instructs a replica to load a weight version of a model. At most one host
// at a time, the order owner, sends load orders.
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
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/drain"
	"github.com/sesamestand/sesamestand/internal/core/forward"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/keepup"
	"github.com/sesamestand/sesamestand/internal/core/spill"
	"github.com/sesamestand/sesamestand/internal/core/suspect"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/intake"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Names used in the log store.
const (
	// topicWork holds jobs, results, placements and suspicions.
	topicWork = "work"
	// partitionGroup is the consumer group that assigns the partitions of
	// topicWork to hosts.
	partitionGroup = "duties"
	// writerName is the name of the fenced writer of each partition.
	writerName = "runner"
)

// controlPartition is the partition whose owner, the order owner, sends load
// orders to replicas. Jobs are stored in the other partitions.
const controlPartition = 0

// housekeepingInterval is the interval at which due removals of backend servers are
// carried out.
const housekeepingInterval = 250 * time.Millisecond

// assignedCheckInterval is the interval at which an owner checks the partitions that it
// does not follow for records. With the second at which runners are reconciled, it is
// below the 5 s within which an item of an open job must run.
const assignedCheckInterval = 2 * time.Second

// Feed is a partition that other systems write to, with the decoder of its records.
type Feed struct {
	Partition logstore.Partition
	Decode    func(logstore.Record) deployment.Change
}

// Feeds are the partitions that the platform writes to and hosts only read.
type Feeds struct {
	Operators Feed
	Servers   Feed
}

// Backends is the client for backend servers. CloseUnused closes the idle connections
// to servers that are no longer used.
type Backends interface {
	backend.Client
	// ObserveLimits sets the observer of the rate limits that servers name.
	ObserveLimits(backend.LimitObserver)
	// ObserveLeaving sets the observer of servers that say that they are leaving.
	ObserveLeaving(backend.LeavingObserver)
	CloseUnused(used func(backend.Target) bool)
}

// Host is one entry host.
type Host struct {
	settings settings.Settings
	store    *meteredStore
	backends Backends
	feeds    Feeds
	recorder *telemetry.Recorder
	account  *account.Account // of what clients make the process hold
	member   string           // name in partitionGroup, unique to this process
	group    *logstore.Group
	limits   *limits.Controller
	// limitAllocator grants the requests to servers with a rate limit; nil if unknown.
	limitAllocator atomic.Pointer[limits.Allocator]
	duties         hostDuties
	blobs          *blobStore
	loads          *semaphore.Weighted // bytes of payloads and partial outputs that runners read at a time
	submissions    *semaphore.Weighted // bytes of jobs that are being stored
	keepUp         keepup.Config
	behind         chan struct{} // receives when a runner does not keep up

	permission       *permission
	operatorFollower *logstore.Follower
	serverFollower   *logstore.Follower

	baseCtx  context.Context // cancelled when the process ends; runs derive from it
	draining atomic.Bool
	surveyed chan struct{} // closed when all job partitions were checked for records
	active   httpapi.ActiveConns
	guard    *intake.Guard // of the addresses
	jobCalls callStats
	// window is the time that the host has for requests, or nil while it is not stopping.
	window atomic.Pointer[drain.Window]
	// serving ends, by stopServing, when callers' requests must be given up so that they
	// are answered before the process ends.
	serving     context.Context
	stopServing context.CancelFunc

	// mu is locked after the lock of a Follower, and before those of a runner and of
	// limits. No method of a Follower is called under it.
	mu                sync.Mutex
	state             *deployment.State
	jobs              *jobs.Table
	placements        map[string]*placement
	lags              map[string]int64 // number of versions behind the newest that a model's trainer allows
	forward           *forward.Balancer
	spill             *spill.Gate // nil: servers in other data centres have a fixed cost
	suspects          *suspect.Table
	configOffset      int64                    // of the newest configuration record that was read
	contentSends      map[string]*contentSends // by fingerprint
	turns             *workspace.Turns
	durations         *drain.Durations           // of the requests of each route
	followers         map[int]*logstore.Follower // of topicWork
	runners           map[int]*runner
	lastTenures       map[int]*tenure // newest tenure of each partition, also after its release
	skipped           skippedRecords
	registeredServers []deployment.Server // copy of the registry for server selection
	serversByService  map[string][]deployment.Server
}

// New returns a host that is not running yet. control is nil if the platform has no control
// API.
func New(s settings.Settings, store logstore.Store, backends Backends, feeds Feeds, peers Peers, control duties.ControlAPI, recorder *telemetry.Recorder, held *account.Account) *Host {
	metered := &meteredStore{Store: store, recorder: recorder}
	h := &Host{
		settings: s, store: metered, feeds: feeds, recorder: recorder, account: held,
		member: s.Host.ID + "-" + uuid.NewString()[:8],
		state:  deployment.NewState(), jobs: jobs.NewTable(), placements: make(map[string]*placement),
		lags: make(map[string]int64), forward: forward.New(forward.Defaults()), suspects: suspect.New(suspect.Defaults()), contentSends: make(map[string]*contentSends), turns: workspace.NewTurns(), durations: drain.NewDurations(),
		followers: make(map[int]*logstore.Follower), runners: make(map[int]*runner), lastTenures: make(map[int]*tenure), skipped: make(skippedRecords),
	}
	h.backends = &countedBackends{Backends: backends, host: h}
	if s.Limits.Spillover {
		h.spill = spill.NewGate(spill.Defaults())
	}
	h.guard = intake.New(intake.Options{MemoryMB: s.Limits.MemoryMB, MaxConnections: s.Limits.MaxConnections, Account: held, Recorder: recorder, Heads: h.headLimits})
	h.keepUp, h.behind = keepup.Defaults(), make(chan struct{}, 1)
	h.loads = semaphore.NewWeighted(maxLoadBytes)
	h.submissions = semaphore.NewWeighted(submissionBytes(held))
	h.surveyed = make(chan struct{})
	h.serving, h.stopServing = context.WithCancel(context.Background())
	if h.isSmall() {
		h.member = s.Host.ID + smallMarker + uuid.NewString()[:8]
	}
	h.limits = limits.New(h.member, (*limitDirectory)(h), peers, recorder)
	h.duties = h.newDuties(peers, control)
	backends.ObserveLimits(h.observeLimit)
	backends.ObserveLeaving(h.observeLeaving)
	h.blobs = newBlobStore(metered, s.Platform.Store.RecordBytes, s.Platform.Store.AppendBytes)
	h.blobs.account = held
	h.operatorFollower = logstore.NewFollower(metered, feeds.Operators.Partition, h.applyOperators)
	h.permission = newPermission(s, h.operatorFollower.CompleteAsOf)
	if h.permission.terms.Strict {
		h.operatorFollower.KeepFresh(s.Timing.RevokeWithin / freshChecks)
	}
	h.serverFollower = logstore.NewFollower(metered, feeds.Servers.Partition, h.applyServers)
	return h
}

// start starts the followers and the work of assigned partitions. Both stop when
// ctx ends.
func (h *Host) start(ctx context.Context) {
	h.baseCtx = ctx
	changed := make(chan struct{}, 1)
	h.group = logstore.NewGroup(h.store, logstore.Membership{
		Group: partitionGroup, Member: h.member, Topic: topicWork, TTL: h.memberTTL(),
	}, func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	go h.operatorFollower.Run(ctx)
	go h.serverFollower.Run(ctx)
	h.followPartition(ctx, controlPartition)
	if h.isSmall() {
		h.group.StartPaused()
		go h.standBy(ctx)
	} else {
		go h.handOverWhenBehind(ctx)
	}
	go h.group.Run(ctx)
	go h.watchAssignments(ctx, changed)
	go every(ctx, assignedCheckInterval, func() { h.followAssigned(ctx) })
	go every(ctx, housekeepingInterval, h.removeServers)
	go every(ctx, housekeepingInterval, h.observePermission)
	go h.survey(ctx)
	go h.watchReadiness(ctx, time.Now())
	if h.duties.usage != nil {
		go h.duties.usage.Run(ctx)
	}
}

// memberTTL returns the time after which the partitions of a host that does not
// renew its membership are reassigned. Orders of two order owners must be at least
// a lease apart, so the TTL is half the lease, or the store's minimum if that is
// longer.
func (h *Host) memberTTL() time.Duration {
	return max(h.settings.Platform.Store.MinTTL, h.settings.Timing.OrderLease/2)
}

// followPartition starts the follower of a partition of topicWork unless it is
// already running.
func (h *Host) followPartition(ctx context.Context, partition int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.followPartitionLocked(ctx, partition)
}

// followPartitionLocked is followPartition for a caller that holds mu.
func (h *Host) followPartitionLocked(ctx context.Context, partition int) {
	if h.followers[partition] != nil {
		return
	}
	klog.InfoS("following partition", "partition", partition)
	f := logstore.NewFollower(h.store, workPartition(partition), func(b logstore.Batch) { h.applyWork(partition, b) })
	if partition != controlPartition {
		f.StartFromLog()
	}
	// The owner of a partition needs it to go on with the jobs. That is a large host, unless
	// there is none, and callers are served by the first hosts that have read all jobs, not
	// by all hosts at once that are halfway.
	f.YieldWhile(func() bool { _, owned := h.group.Owned()[partition]; return h.isSmall() && !owned })
	h.followers[partition] = f
	go f.Run(ctx)
	if partition != controlPartition {
		go h.learnRetained(ctx, partition, f)
	}
}

// learnRetained finds out which blobs of a partition were deleted from the log, once the
// jobs of the partition were read.
func (h *Host) learnRetained(ctx context.Context, partition int, f *logstore.Follower) {
	h.blobs.claimEarlyListing(partition)
	for !f.HasSynced() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(housekeepingInterval):
		}
	}
	h.mu.Lock()
	end := h.jobs.EndOfBlobs(partition)
	h.mu.Unlock()
	if end > 0 {
		h.blobs.learnRetained(ctx, partition, end)
	}
}

func workPartition(n int) logstore.Partition { return logstore.Partition{Topic: topicWork, Number: n} }

// partitionOf returns the partition that holds a model's jobs. The models of a
// service share one partition, so that a single runner knows all runs on the
// replicas of the service. The caller holds mu.
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
	return h.modelPartitionsLocked(config)
}

// modelPartitionsLocked is modelPartitions for a caller that holds mu.
func (h *Host) modelPartitionsLocked(config *deployment.Config) []int {
	var partitions []int
	for _, model := range config.Models() {
		partitions = append(partitions, h.partitionOf(model))
	}
	slices.Sort(partitions)
	return slices.Compact(partitions)
}

// followModels follows the partitions of all models of a configuration. The caller holds mu.
func (h *Host) followModels(config *deployment.Config) {
	for _, p := range h.modelPartitionsLocked(config) {
		h.followPartitionLocked(h.baseCtx, p)
	}
}

// followWritten follows the job partitions that hold records. A partition holds jobs that
// no model of the current configuration selects if another configuration selected it
// when they were submitted.
func (h *Host) followWritten(ctx context.Context) error {
	var reads errgroup.Group
	for p := controlPartition + 1; p < h.settings.Platform.Store.Partitions; p++ {
		if h.follower(p) == nil {
			reads.Go(func() error { return h.followIfWritten(ctx, p) })
		}
	}
	return reads.Wait()
}

func (h *Host) followIfWritten(ctx context.Context, partition int) error {
	written, err := logstore.HasRecords(ctx, h.store, workPartition(partition))
	if err == nil && written {
		h.followPartition(h.baseCtx, partition)
	}
	return err
}

// followAssigned follows the assigned partitions that hold records, so that
// open jobs run even if no model of the current configuration selects their partition.
func (h *Host) followAssigned(ctx context.Context) {
	for p := range h.group.Owned() {
		if h.follower(p) != nil {
			continue
		}
		checkCtx, cancel := context.WithTimeout(ctx, assignedCheckInterval)
		err := h.followIfWritten(checkCtx, p)
		cancel()
		if err != nil {
			klog.V(1).InfoS("could not check an assigned partition for records", "partition", p, "err", err)
		}
	}
}

// every calls f at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f()
	}
}

// removeServers carries out the removals of backend servers that are due, and releases
// the balancer state and the limits of servers that are gone, and the idle connections of
// those that are unregistered or leaving.
func (h *Host) removeServers() {
	synced := h.serverFollower.HasSynced()
	h.mu.Lock()
	now := time.Now()
	removed := h.state.Expire(now)
	if len(removed) > 0 {
		h.refreshServers()
	}
	inUse := make(map[backend.Target]bool, len(h.registeredServers))
	for _, s := range h.registeredServers {
		inUse[targetOf(&s)] = !s.Leaving || s.IsLastResort(now)
	}
	h.forward.RetainServers(h.state.MayReturn)
	var unlimited []string
	if synced {
		unlimited = h.limits.Retain(h.state.MayReturn)
	}
	h.mu.Unlock()
	h.removePublishedLimits(unlimited)
	for _, id := range removed {
		klog.InfoS("backend server removed after a store outage", "server", id, "reason", "not registered again after the outage")
	}
	h.backends.CloseUnused(func(t backend.Target) bool { return inUse[t] })
}

// Ready reports whether the host can serve: it is not draining and has read the
// configuration, the backend servers and all jobs.
func (h *Host) Ready() bool {
	return !h.draining.Load() && h.CaughtUp()
}

// CanForward reports whether the host has read the configuration and the backend
// servers, which plain requests and streams need.
func (h *Host) CanForward() bool {
	return h.Config() != nil && h.serverFollower.HasSynced()
}

// CaughtUp reports whether the host has also read the job partitions, which may take
// seconds longer when many hosts start at once.
func (h *Host) CaughtUp() bool {
	if !h.CanForward() {
		return false
	}
	for _, p := range h.modelPartitions(h.Config()) {
		f := h.follower(p)
		if f == nil || !f.HasSynced() {
			return false
		}
	}
	return true
}

// RefuseNotReady returns the refusal of a request that arrived before the host
// caught up, and logs the decision.
func (h *Host) RefuseNotReady(id string) *Refusal {
	h.recorder.RecordDecision("request", id, "outcome", "refused", "reason", string(cluster.ReasonNotReady), "config", h.Config() != nil)
	refusal := notRunRefusal(cluster.ReasonNotReady, "the host has not read its configuration yet")
	refusal.RetryAfter = busyRetryAfter
	return refusal
}

// Config returns the newest configuration, or nil if none was read.
func (h *Host) Config() *deployment.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Config
}

// wakeRunners makes all runners reschedule their work. The caller holds mu.
func (h *Host) wakeRunners() {
	for _, r := range h.runners {
		r.wake()
	}
}
