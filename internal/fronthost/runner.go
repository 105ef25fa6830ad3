package fronthost

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/schedule"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Times of a runner.
const (
	// tickInterval is the time between two decisions when nothing happens.
	tickInterval = 50 * time.Millisecond
	// tickPause is the least time between two decisions: with some 200 runs that
	// end in a second, each of them wakes the runner.
	tickPause = 10 * time.Millisecond
	// listDelay gathers results that finish together into one append.
	listDelay = 25 * time.Millisecond
	// giveUpMargin keeps items from being given up too early by a host whose
	// view of the submission is late or early.
	giveUpMargin = time.Second
	// partialInterval is the time between two appends of unfinished texts.
	partialInterval = time.Second
	// partialEvents is the least growth of a text that is worth an append.
	partialEvents = 15
	// cleanUpInterval is the time between two looks for jobs to remove.
	cleanUpInterval = 5 * time.Second
	// textLifetime is how long the text of an item is kept that no job wants. A
	// trainer asks for a group again within a few steps.
	textLifetime = time.Minute
)

// runs are the items of a partition that wait or run, with their texts. They
// stay when this host holds the partition again under another epoch. All fields
// are guarded by host.mu.
type runs struct {
	board   *schedule.Scheduler
	cancels map[int64]func() // ends a run
	seen    map[string]int   // events of texts in the log, by job and item
	// loaded holds the payloads of jobs; nil while they are being read.
	loaded map[string][]jobs.Payload
	// texts holds the unfinished texts of items that are not run now.
	texts map[string]keptText
}

// keptText is an unfinished text and when it was kept.
type keptText struct {
	partial jobs.Partial
	since   time.Time
}

func newRuns() *runs {
	return &runs{
		board: schedule.NewScheduler(schedule.Defaults()), cancels: make(map[int64]func()), seen: make(map[string]int),
		loaded: make(map[string][]jobs.Payload), texts: make(map[string]keptText),
	}
}

// runner holds one partition: it runs the items of its jobs and lists results,
// or, on the control partition, plans versions and sends orders.
type runner struct {
	host      *Host
	partition int
	epoch     int64
	cancel    context.CancelFunc
	writer    *logstore.FencedWriter
	woken     chan struct{}

	*runs
	orders *orderer // control partition only

	mu       sync.Mutex
	pending  []schedule.Commit
	waiters  []chan bool     // told whether the queued records were appended
	queued   map[string]bool // results on their way, by job and item
	records  []logstore.Record
	grown    []schedule.ItemPartial // unfinished texts to be stored
	appends  chan struct{}
	stopping bool
	idle     chan struct{} // closed when the appender has ended
}

func newRunner(h *Host, partition int, epoch int64) *runner {
	return &runner{
		host: h, partition: partition, epoch: epoch, woken: make(chan struct{}, 1), runs: newRuns(),
		queued: make(map[string]bool), appends: make(chan struct{}, 1), idle: make(chan struct{}),
	}
}

// wake makes the runner decide soon.
func (r *runner) wake() {
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

// run holds the duty until ctx ends.
func (r *runner) run(ctx context.Context) {
	if err := r.takeOver(ctx); err != nil {
		close(r.idle)
		return
	}
	go r.appendLoop(ctx)
	if r.partition == controlPartition {
		r.orders = newOrderer(r)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	partials, cleanUp := time.Now(), time.Now()
	var decided time.Time
	for {
		select {
		case <-ctx.Done():
			r.stopRuns()
			return
		case <-ticker.C:
		case <-r.woken:
		}
		time.Sleep(tickPause - min(time.Since(decided), tickPause))
		decided = time.Now()
		if r.orders != nil {
			r.orders.tick(ctx)
			continue
		}
		r.tick()
		if now := time.Now(); now.Sub(partials) >= partialInterval {
			partials = now
			r.storePartials(partialEvents)
		}
		if now := time.Now(); now.Sub(cleanUp) >= cleanUpInterval {
			cleanUp = now
			r.forgetOld(now)
			r.removeOld(now)
		}
	}
}

// tick lets the board decide and carries its decisions out.
func (r *runner) tick() {
	h := r.host
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.isStopping() {
		return
	}
	h.jobs.Each(func(e *jobs.Entry) bool {
		if e.Partition == r.partition && !e.Ended && r.load(e) {
			r.board.AddJob(e, r.stored)
		}
		return true
	})
	actions := r.board.Tick(r.view(now))
	for _, s := range actions.Stops {
		if stop := r.cancels[s.Run]; stop != nil {
			stop()
			delete(r.cancels, s.Run)
		}
		h.recorder.Decision("run-stop", "", "partition", r.partition, "run", s.Run, "reason", s.Reason)
	}
	for _, s := range actions.Starts {
		r.start(s)
	}
	r.forget()
	for _, p := range actions.Cancelled {
		r.texts[p.Item] = keptText{p.Partial, now}
	}
	r.list(actions.Commits)
}

// view collects what the board needs to know. The caller holds host.mu.
func (r *runner) view(now time.Time) schedule.View {
	h := r.host
	return schedule.View{
		Now:      now,
		Replicas: r.replicas,
		SingleVersion: func(e *jobs.Entry) bool {
			route := h.routeOf(e)
			return route != nil && route.SingleVersion
		},
		Finished: h.jobs.Finished,
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
			return route == nil || now.Sub(e.ReadAt) > route.Retention+giveUpMargin
		},
	}
}

// routeOf returns the route of a job under the newest configuration. The caller
// holds mu.
func (h *Host) routeOf(e *jobs.Entry) *deployment.Route {
	if h.state.Config == nil {
		return nil
	}
	return h.state.Config.Match(e.Job.Host, e.Job.Path)
}

// serviceOf returns the service of a route for a request or a job: always the
// same one for an ID while the route stays.
func serviceOf(route *deployment.Route, id string) string {
	const steps = 1 << 53 // numbers that a float64 can hold exactly
	return route.Pick(float64(xxhash.Sum64String(id)>>11) / steps)
}

// replicas returns the replicas for a job as the board sees them. The caller
// holds host.mu.
func (r *runner) replicas(e *jobs.Entry) []schedule.Replica {
	h := r.host
	route := h.routeOf(e)
	if route == nil {
		return nil
	}
	service := serviceOf(route, e.Job.ID)
	servers := h.byService[service]
	memory := h.state.Config.Services[service].MemoryTokens
	rows := make([]schedule.Replica, 0, len(servers))
	chosen := false
	for _, s := range servers {
		p := h.placement(s.ID)
		row := schedule.Replica{ID: s.ID, DataCentre: s.DataCentre, Slots: s.Slots, MemoryTokens: memory, Version: p.Versions[e.Job.Model]}
		row.Usable = !s.Leaving && p.Loading != e.Job.Model
		if p.serves(e.Job.Model) {
			chosen = true
		} else {
			row.Unassigned = true
		}
		rows = append(rows, row)
	}
	if !chosen {
		for i := range rows {
			rows[i].Unassigned = false
		}
	}
	return rows
}

// start runs an item. The caller holds host.mu.
func (r *runner) start(s schedule.Start) {
	h := r.host
	server := h.state.Servers.Get(s.Replica)
	route := h.routeOf(s.Job)
	if server == nil || route == nil {
		r.board.RecordEnd(s.Run, schedule.NotRun, 1, time.Now())
		return
	}
	target := backend.Target{ID: server.ID, Addr: server.Addr}
	runCtx, cancel := context.WithCancel(h.work)
	r.cancels[s.Run] = cancel
	payload := r.loaded[s.Job.Job.ID][s.Job.Index(s.Item.ID)]
	request := &backend.Run{
		ID: s.Item.ID, HostName: s.Job.Job.Host, Path: payload.Path, Headers: payload.Headers, Body: payload.Body,
		Version: s.Version, LastEventID: s.Partial.LastID, Resumed: len(s.Partial.Events) > 0,
	}
	h.recorder.Decision("run", s.Item.ID, "job", s.Job.Job.ID, "run", s.Run, "replica", s.Replica, "version", s.Version, "events", len(s.Partial.Events), "expected", s.Item.ExpectedOutput, "why", s.Reason)
	go h.execute(runCtx, cancel, r.runs, target, request, s, route.MaxAttempts)
}

// execute runs an item to its end and tells the board. The runner that started
// it may have been replaced meanwhile.
func (h *Host) execute(ctx context.Context, cancel func(), r *runs, target backend.Target, request *backend.Run, s schedule.Start, attempts int) {
	defer cancel()
	started := time.Now()
	events := 0
	end := h.backends.Run(ctx, target, request, func(e backend.Event) {
		events++
		now := time.Now()
		h.mu.Lock()
		r.board.RecordEvent(s.Run, e.ID, e.Data, e.Version, now)
		h.placement(target.ID).learn(s.Job.Job.Model, e.Version)
		h.mu.Unlock()
	})
	outcome := runOutcome(end)
	now := time.Now()
	h.mu.Lock()
	delete(r.cancels, s.Run)
	r.board.RecordEnd(s.Run, outcome, attempts, now)
	h.wakeRunners()
	h.mu.Unlock()
	details := []any{"job", s.Job.Job.ID, "run", s.Run, "replica", target.ID, "outcome", outcome.String(), "events", events, "took_ms", now.Sub(started).Milliseconds()}
	if end.Err != nil {
		details = append(details, "err", end.Err.Error())
	}
	if end.Answer != nil {
		details = append(details, "status", end.Answer.Status)
	}
	h.recorder.Decision("run-end", request.ID, details...)
	h.recorder.Count("runs_total", "outcome", outcome.String())
}

func runOutcome(end backend.RunEnd) schedule.Outcome {
	switch {
	case end.Complete:
		return schedule.Complete
	case errors.Is(end.Err, backend.ErrNotSent):
		return schedule.Broken
	case end.Answer == nil:
		return schedule.Broken
	case end.Answer.InstanceMismatch, end.Answer.VersionMismatch:
		return schedule.WrongState
	case end.Answer.NotRun:
		return schedule.NotRun
	case end.Answer.Status == statusImpossible:
		return schedule.Impossible
	case end.Answer.Status == statusFailed:
		return schedule.Failed
	}
	return schedule.Broken
}

// Statuses of answers to items.
const (
	statusFailed     = 500 // a failed attempt
	statusImpossible = 422 // the item can never be done
)

func (r *runner) stopRuns() {
	r.host.mu.Lock()
	defer r.host.mu.Unlock()
	for id, stop := range r.cancels {
		stop()
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

// removeOld removes jobs whose results need not be kept any more.
func (r *runner) removeOld(now time.Time) {
	h := r.host
	h.mu.Lock()
	var records, old []logstore.Record
	h.jobs.Each(func(e *jobs.Entry) bool {
		if e.Partition == r.partition && now.Sub(e.ReadAt) > 2*h.settings.Timing.JobRetention && (e.Ended || len(e.Results) == len(e.Job.Items)) {
			records = append(records, jobs.Tombstones(e)...)
			old = append(old, jobs.BlobTombstones(e)...)
			klog.InfoS("job is removed", "job", e.Job.ID, "age", now.Sub(e.ReadAt))
		}
		return len(records) < maxRemovals
	})
	h.mu.Unlock()
	r.write(records)
	if len(old) > 0 {
		go r.removeBlobs(old)
	}
}

// removeBlobs removes blobs that no record refers to any more.
func (r *runner) removeBlobs(records []logstore.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), takeOverTimeout)
	defer cancel()
	for len(records) > 0 {
		n := fitting(records, r.host.settings.Platform.Store.AppendBytes)
		if _, err := logstore.AppendUnfenced(ctx, r.host.store, blobPartition(r.partition), records[:n]); err != nil {
			klog.InfoS("blobs are not removed", "partition", r.partition, "records", len(records), "err", err)
			return
		}
		records = records[n:]
	}
}

// maxRemovals bounds the records of one clean-up.
const maxRemovals = 2000
