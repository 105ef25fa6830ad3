package fronthost

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/core/account"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/keepup"
	"github.com/sesamestand/sesamestand/internal/core/permit"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Intervals and limits of a runner.
const (
	// tickInterval is the time between two ticks while nothing changes.
	tickInterval = 50 * time.Millisecond
	// minTickInterval is the least time between two ticks: about 200 runs may end
	// within a second, and each of them wakes the runner.
	minTickInterval = 10 * time.Millisecond
	// commitDelay batches results that finish at about the same time into one append.
	commitDelay = 25 * time.Millisecond
	// expiryMargin is added to a route's retention, so that a host does not abandon
	// items too early because it read their submission at another time than other
	// hosts.
	expiryMargin = time.Second
	// partialInterval is the time between two appends of partial outputs.
	partialInterval = time.Second
	// partialEvents is the least growth, in events, of a partial output that is
	// appended.
	partialEvents = 15
	// cleanUpInterval is the time between two removals of expired jobs and stale state.
	cleanUpInterval = 5 * time.Second
	// partialRetention is how long the partial output of an item that no job requests
	// is retained. A trainer that requests the item again does so within a few
	// training steps.
	partialRetention = time.Minute
)

// runState holds the waiting and running items of a partition with their partial
// outputs. A new runner takes it over if the store assigns the partition to the same
// host again under another epoch. All fields are guarded by host.mu.
type runState struct {
	scheduler *schedule.Scheduler
	cancels   map[int64]func() // cancel functions of runs and reward calls, by ID
	// loggedProgress is the progress of each output in the log, by job and item.
	loggedProgress map[string]schedule.Progress
	// payloads holds the payloads of each job; nil while they are being read.
	payloads map[string][]jobs.Payload
	// partials holds the partial outputs of items that are not running.
	partials map[string]retainedPartial
	// removed holds the jobs whose removal was queued and whose blobs are not removed yet:
	// until their results are removed, items of other jobs may reuse these.
	removed     map[string]*jobs.Entry
	lastCleanUp time.Time
	heldOutputs int64 // partial outputs that the account counts
}

// retainedPartial is a partial output and when its retention began.
type retainedPartial struct {
	partial jobs.Partial
	since   time.Time
}

func newRunState() *runState {
	return &runState{
		scheduler: schedule.NewScheduler(schedule.Defaults()), cancels: make(map[int64]func()), loggedProgress: make(map[string]schedule.Progress),
		payloads: make(map[string][]jobs.Payload), partials: make(map[string]retainedPartial),
		removed: make(map[string]*jobs.Entry), lastCleanUp: time.Now(),
	}
}

// runner does the work of one owned partition: it runs the items of its jobs and
// commits the results or, on the control partition, plans weight versions and sends
// load orders.
type runner struct {
	host      *Host
	partition int
	// assignedAt is when this host learned that the partition is assigned to it. The
	// membership of the former owner had expired by then, or expires within its TTL.
	assignedAt time.Time
	cancel     context.CancelFunc
	wakeups    chan struct{}

	*tenure
	*runState
	orders *orderer // control partition only
	// asOf is the time on the clock of boottime.Now up to which the partition, and alsoRead,
	// were read to their end at the last tick. Only the goroutine of run uses both.
	asOf time.Time
	// alsoRead holds the other partitions in which the end of an open job may lie.
	alsoRead []int
	// outdated is set while nothing is started because asOf is too long ago.
	outdated bool

	mu              sync.Mutex
	pendingCommits  []schedule.Commit
	waiters         []chan appendOutcome // receive the outcome for the queued records
	queuedResults   map[resultKey]bool   // results that are being committed
	pendingRecords  []logstore.Record
	pendingPartials []schedule.ItemPartial // partial outputs to be stored
	appendSignal    chan struct{}
	stopping        bool
}

// tenure is the use of the writer of a partition by one runner.
type tenure struct {
	epoch        int64
	writer       *logstore.FencedWriter
	appenderDone chan struct{} // closed when the runner does not use the writer any more
	// former is the tenure of the former runner under the same epoch, if there was one,
	// whose writer this runner takes over.
	former *tenure
}

func newRunner(h *Host, partition int, epoch int64) *runner {
	return &runner{
		host: h, partition: partition, assignedAt: time.Now(), tenure: &tenure{epoch: epoch, appenderDone: make(chan struct{})}, wakeups: make(chan struct{}, 1),
		runState: newRunState(), queuedResults: make(map[resultKey]bool), appendSignal: make(chan struct{}, 1),
	}
}

// wake triggers a tick soon.
func (r *runner) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// run acquires the partition and does its work until ctx ends.
func (r *runner) run(ctx context.Context) {
	if err := r.acquire(ctx); err != nil {
		close(r.appenderDone)
		return
	}
	go r.appendLoop(ctx)
	if r.partition == controlPartition {
		r.orders = newOrderer(r)
		r.becomeAllocator()
		go r.holdDuties(ctx)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastPartials := time.Now()
	meter := keepup.NewMeter(r.host.keepUp, time.Now())
	var lastTick time.Time
	for {
		select {
		case <-ctx.Done():
			r.stopRuns()
			r.countOutputs(0)
			return
		case <-ticker.C:
		case <-r.wakeups:
		}
		time.Sleep(minTickInterval - min(time.Since(lastTick), minTickInterval))
		lastTick = time.Now()
		if r.orders != nil {
			r.orders.tick(ctx)
			continue
		}
		r.tick()
		if meter.Record(lastTick, time.Now()) {
			r.host.signalBehind()
		}
		if now := time.Now(); now.Sub(lastPartials) >= partialInterval {
			lastPartials = now
			r.queueGrownPartials()
		}
		r.cleanUp(time.Now())
	}
}

// cleanUp releases stale state and removes expired jobs every cleanUpInterval.
func (r *runner) cleanUp(now time.Time) {
	r.host.mu.Lock()
	due := now.Sub(r.lastCleanUp) >= cleanUpInterval
	if due {
		r.lastCleanUp = now
	}
	r.host.mu.Unlock()
	if due {
		r.evictStale(now)
		r.countOutputs(r.outputBytes())
		r.removeExpiredJobs(now)
	}
}

// outputBytes returns the memory of the partial outputs of items that are not running.
func (r *runner) outputBytes() int64 {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	held := r.scheduler.HeldOutputs()
	for _, retained := range r.partials {
		held += retained.partial.Bytes()
	}
	return held
}

// countOutputs sets the memory of partial outputs on the account.
func (r *runner) countOutputs(bytes int64) {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	r.host.account.Add(account.Jobs, bytes-r.heldOutputs)
	r.heldOutputs = bytes
}

// tick runs the scheduler once and carries out its decisions.
func (r *runner) tick() {
	h := r.host
	now := time.Now()
	r.asOf = h.completeAsOf(append(r.alsoRead, r.partition)) // before mu is locked, see there
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.isStopping() {
		return
	}
	r.alsoRead = r.alsoRead[:0]
	h.jobs.Each(func(e *jobs.Entry) bool {
		if e.Partition != r.partition || e.IsDone() {
			return true
		}
		r.alsoRead = append(r.alsoRead, e.AlsoIn...)
		if r.loadPayloads(e) {
			r.scheduler.AddJob(e, r.takePartial)
		}
		return true
	})
	input := r.tickInput(now)
	input.Outdated = r.isOutdated()
	actions := r.scheduler.Tick(input)
	for _, s := range actions.Stops {
		if cancel := r.cancels[s.Run]; cancel != nil {
			cancel()
			delete(r.cancels, s.Run)
		}
		h.recorder.RecordDecision("run-stop", "", "partition", r.partition, "run", s.Run, "reason", s.Reason)
	}
	for _, s := range actions.Starts {
		r.start(s)
	}
	r.requestGrants(actions.NeedGrant)
	for _, s := range actions.Scores {
		r.startScore(s)
	}
	r.releaseEnded()
	for _, p := range actions.Cancelled {
		r.partials[p.Item] = retainedPartial{p.Partial, now}
	}
	r.queueCommits(actions.Commits)
}

// completeAsOf returns the time up to which all of some partitions were read to their end;
// zero if one was not.
func (h *Host) completeAsOf(partitions []int) time.Time {
	var oldest time.Time
	for i, p := range partitions {
		f := h.follower(p)
		if f == nil {
			return time.Time{}
		}
		if asOf := f.CompleteAsOf(); i == 0 || asOf.Before(oldest) {
			oldest = asOf
		}
	}
	return oldest
}

// isOutdated reports whether the partition was read so long ago that its jobs may have
// ended elsewhere, and logs when that changes.
func (r *runner) isOutdated() bool {
	now := boottime.Now()
	outdated := !r.host.permitTerms().Allows(r.asOf, now)
	if outdated != r.outdated {
		r.outdated = outdated
		klog.InfoS("starts of items suspended or resumed", "partition", r.partition, "suspended", outdated, "read_age", now.Sub(r.asOf))
	}
	return outdated
}

func (h *Host) permitTerms() permit.Terms {
	return permit.Terms{EndGrace: h.settings.Timing.JobEndGrace}
}

// tickInput collects the scheduler's input. The caller holds host.mu.
func (r *runner) tickInput(now time.Time) schedule.TickInput {
	h := r.host
	return schedule.TickInput{
		Now:      now,
		Replicas: r.replicas, AnyLeaving: r.anyLeaving,
		SingleVersion: func(e *jobs.Entry) bool {
			route := h.routeOf(e)
			return route != nil && route.SingleVersion
		},
		Finished: func(item string) (jobs.Result, bool) { return h.jobs.Finished(r.partition, item) },
		DueAfter: func(e *jobs.Entry) time.Duration {
			if route := h.routeOf(e); route != nil {
				return route.Due
			}
			return 0
		},
		EventTokens: func(e *jobs.Entry) int {
			if route := h.routeOf(e); route != nil {
				return h.state.Config.Services[serviceOf(route, e.Job.ID)].EventTokens
			}
			return 0
		},
		Expired: func(e *jobs.Entry) bool {
			if h.state.Config == nil {
				return false
			}
			route := h.routeOf(e)
			return route == nil || now.Sub(e.ReadAt) > route.Retention+expiryMargin
		},
		ScoreTarget: r.scoreTarget,
		Leaving:     h.leaving(),
	}
}

// routeOf returns the route of a job under the newest configuration, with the terms
// under which the job was accepted. The caller holds mu.
func (h *Host) routeOf(e *jobs.Entry) *deployment.Route {
	if h.state.Config == nil {
		return nil
	}
	return jobs.RouteOf(h.state.Config, e.Job)
}

// start starts a run of an item. The caller holds host.mu.
func (r *runner) start(s schedule.Start) {
	h := r.host
	server := h.state.Servers.Get(s.Replica)
	route := h.routeOf(s.Job)
	if server == nil || route == nil || !h.limits.Take(candidateOf(server), time.Now()) {
		r.scheduler.RecordEnd(s.Run, schedule.NotRun, 1, time.Now())
		return
	}
	target := targetOf(server)
	runCtx, cancel := context.WithCancel(h.baseCtx)
	r.cancels[s.Run] = cancel
	payload := r.payloads[s.Job.Job.ID][s.Job.Index(s.Item.ID)]
	request := &backend.Run{
		ID: jobs.CallerID(s.Item.ID), HostName: s.Job.Job.Host, Path: payload.Path, Headers: payload.Headers, Body: payload.Body,
		Version: s.Version, LastEventID: s.Partial.LastID, Resumed: len(s.Partial.Events) > 0,
		Expires: h.permitTerms().Expiry(r.asOf), Sender: h.senderOf(s.Job.Job),
	}
	details := []any{"job", jobs.CallerID(s.Job.Job.ID), "run", s.Run, "replica", s.Replica, "version", s.Version, "events", len(s.Partial.Events), "expected", s.Item.ExpectedOutput, "read_age_ms", boottime.Now().Sub(r.asOf).Milliseconds(), "why", s.Reason}
	h.recordLeaving(server.DataCentre, time.Now())
	details = append(details, h.placeDetails(backend.CallRun, server.DataCentre, s.Verdict.Reason)...)
	h.recorder.RecordDecision("run", request.ID, details...)
	go h.execute(runCtx, cancel, r.runState, target, request, s, route.MaxAttempts)
}

// execute runs an item to its end and reports the events and the outcome to the
// scheduler. The runner that started the item may have been replaced in the meantime.
func (h *Host) execute(ctx context.Context, cancel func(), state *runState, target backend.Target, request *backend.Run, s schedule.Start, attempts int) {
	defer cancel()
	started := time.Now()
	events := 0
	end := h.backends.Run(ctx, target, request, func(e backend.Event) {
		events++
		now := time.Now()
		h.mu.Lock()
		state.scheduler.RecordEvent(s.Run, e.ID, e.Data, e.Version, now)
		if events == 1 {
			h.recordReach(target.ID, true, now)
		}
		h.placement(target.ID).observeVersion(s.Job.Job.Model, e.Version)
		h.mu.Unlock()
	})
	outcome := runOutcome(end)
	now := time.Now()
	h.mu.Lock()
	delete(state.cancels, s.Run)
	h.recordRunReach(target.ID, events, end, ctx.Err() != nil, now.Sub(started), now)
	state.scheduler.RecordEnd(s.Run, outcome, attempts, now)
	h.wakeRunners()
	h.mu.Unlock()
	details := []any{"job", jobs.CallerID(s.Job.Job.ID), "run", s.Run, "replica", target.ID, "outcome", outcome.String(), "events", events, "took_ms", now.Sub(started).Milliseconds(), "sent_after_ms", end.SentAfter.Milliseconds()}
	if end.Err != nil {
		details = append(details, "err", end.Err.Error())
	}
	if end.Response != nil {
		details = append(details, "status", end.Response.Status)
	}
	h.recorder.RecordDecision("run-end", request.ID, details...)
	h.recorder.Count("runs_total", "outcome", outcome.String())
}

func runOutcome(end backend.RunEnd) schedule.Outcome {
	switch {
	case end.Complete:
		return schedule.Complete
	case errors.Is(end.Err, backend.ErrExpired) && errors.Is(end.Err, backend.ErrNotSent):
		return schedule.NotRun
	case errors.Is(end.Err, backend.ErrNotSent):
		return schedule.Broken
	case end.Response == nil:
		return schedule.Broken
	case end.Response.InstanceMismatch, end.Response.VersionMismatch:
		return schedule.WrongState
	case end.Response.NotRun:
		return schedule.NotRun
	case end.Response.Status == statusImpossible:
		return schedule.Impossible
	case end.Response.Status == statusFailed:
		return schedule.Failed
	}
	return schedule.Broken
}

// HTTP statuses of a replica's response to an item.
const (
	statusFailed     = 500 // the attempt failed
	statusImpossible = 422 // the item can never succeed
)

// stopRuns cancels all current runs of the partition.
func (r *runner) stopRuns() {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	for id, cancel := range r.cancels {
		cancel()
		delete(r.cancels, id)
	}
}

func (r *runner) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

func isFenced(err error) bool {
	var sequence *logstore.SequenceError
	return errors.Is(err, logstore.ErrFenced) || errors.As(err, &sequence)
}

// removeExpiredJobs removes ended or completed jobs that this host read more than
// twice the job retention ago, and the blobs of jobs that it removed before.
func (r *runner) removeExpiredJobs(now time.Time) {
	h := r.host
	h.mu.Lock()
	var records, blobTombstones []logstore.Record
	for id, e := range r.removed {
		if h.jobs.Get(id) == nil {
			blobTombstones = append(blobTombstones, h.jobs.BlobTombstones(e)...)
			delete(r.removed, id)
		}
	}
	h.jobs.Each(func(e *jobs.Entry) bool {
		if e.Partition == r.partition && now.Sub(e.ReadAt) > 2*h.settings.Timing.JobRetention && (e.Ended || len(e.Results) == len(e.Job.Items)) {
			records = append(records, jobs.Tombstones(e)...)
			r.removed[e.Job.ID] = e
			klog.InfoS("job removed", "job", jobs.CallerID(e.Job.ID), "age", now.Sub(e.ReadAt))
		}
		return len(records) < maxRemovals
	})
	h.mu.Unlock()
	r.queueRecords(records)
	if len(blobTombstones) > 0 {
		go r.removeBlobs(blobTombstones)
	}
}

// removeBlobs appends the tombstones of blobs that no record refers to any more.
func (r *runner) removeBlobs(records []logstore.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	for len(records) > 0 {
		n := recordsThatFit(records, r.host.settings.Platform.Store.AppendBytes)
		if _, err := logstore.AppendUnfenced(ctx, r.host.store, blobPartition(r.partition), records[:n]); err != nil {
			klog.InfoS("blobs not removed", "partition", r.partition, "records", len(records), "err", err)
			return
		}
		records = records[n:]
	}
}

// maxRemovals is the number of tombstones after which one clean-up collects no further
// jobs.
const maxRemovals = 2000
