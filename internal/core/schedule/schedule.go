// Package schedule decides which item of a model's jobs runs next, on which
// replica, and when a run is moved to another one.
//
// It answers the load of synchronous trainers: a burst of some dozens of items
// a model at the start of a step, with a few items several times as long as
// the mean, of which the trainer waits for most groups, not for all. Tokens of
// one item come at a nearly fixed pace, so a step ends when its longest wanted
// item ends.
//
// The package has no I/O and no clock.
package schedule

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/table"
)

// Config holds the parameters of a Board.
type Config struct {
	// FirstEventTimeout is how long a run may take to its first event.
	FirstEventTimeout time.Duration
	// EventTimeout is the longest pause between two events.
	EventTimeout time.Duration
	// PreemptTimeout is how long a run may be silent on a replica that makes
	// events of other runs, while another replica has room for it.
	PreemptTimeout time.Duration
	// TickDelayThreshold is the time between two ticks from which this host counts as late:
	// it may not have read events that have come. Silence is not judged then, nor
	// for LatePause after it.
	TickDelayThreshold time.Duration
	DelayGrace         time.Duration
	// MinEvents is the number of events of a replica that its pace needs.
	MinEvents int
	// RefusalBackoff is the pause after a run that was not accepted.
	RefusalBackoff time.Duration
	// FailureBackoff is the pause after a run that broke.
	FailureBackoff time.Duration
	// MaxBrokenRuns is the number of runs of an item that may break with its
	// replica before the item is tried only once every SuspectPause.
	MaxBrokenRuns  int
	SuspectBackoff time.Duration
}

// Defaults returns the default parameters.
func Defaults() Config {
	return Config{
		FirstEventTimeout:  1500 * time.Millisecond, // a full replica's queue and a prompt
		EventTimeout:       time.Second,             // some 20 events of a healthy replica
		PreemptTimeout:     450 * time.Millisecond,  // some 8 events
		TickDelayThreshold: 150 * time.Millisecond,  // three times the time between two ticks
		DelayGrace:         500 * time.Millisecond,
		MinEvents:          8,
		RefusalBackoff:     60 * time.Millisecond,
		FailureBackoff:     100 * time.Millisecond,
		MaxBrokenRuns:      3,
		SuspectBackoff:     4 * time.Second,
	}
}

// Replica is one replica as it is for the items of one job.
type Replica struct {
	ID         string
	DataCentre string
	Slots      int
	// Usable says that the replica is registered, does not leave and takes
	// runs of the model.
	Usable bool
	// Version is the weight version of the model that the replica runs.
	Version int64
	// Unassigned says that the replica was not chosen to serve the model.
	Unassigned bool
	// MemoryTokens is how many tokens the replica keeps for its runs; 0 if that is
	// unknown.
	MemoryTokens int
}

// task is one item that is not listed yet.
type task struct {
	job      *jobs.Entry
	item     *jobs.Item
	partial  jobs.Partial
	failures int // answers that count as failed attempts
	broken   int // runs that broke with their replica before any event
	// notBefore delays the next run.
	notBefore time.Time
	run       *run
	// done says that the result was decided and is on its way to the log.
	done   bool
	failed bool // the result is a failure
	// reused is an earlier result that is listed again.
	reused *jobs.Result
	// longest is the number of events that an earlier run was seen to make.
	longest int
	group   string    // see groupKey
	latest  time.Time // when the item should start at the latest
}

// run is one run of an item.
type run struct {
	id        int64
	replica   string
	started   time.Time
	lastEvent time.Time
	gap       time.Duration // before the last event; not measured yet
	events    int
	tokens    int    // of memory that the run was counted with
	group     string // that the run was counted with
}

// usage is what the runs of this board take of one replica.
type usage struct {
	runs   int
	tokens int            // expected at the ends of the runs
	groups map[string]int // runs by group
}

// pace is how fast a replica's events come.
type pace struct {
	perEvent time.Duration // moving average
	events   int
	measured time.Time
	settled  bool // the average once rested on enough events
	// blockedUntil keeps new runs away after a refusal or a failure.
	blockedUntil time.Time
	failures     int
}

// Scheduler holds the items of the jobs of one partition that wait or run. It knows
// all runs on the replicas that it uses, unless models of other partitions are
// served there too. It is not safe for concurrent use.
type Scheduler struct {
	config  Config
	tasks   *table.Table[string, task] // by job and item ID
	byRun   map[int64]string
	paces   map[string]*pace
	usages  map[string]*usage // by replica
	jobs    map[string]bool   // whose items were taken
	nextRun int64
	moved   time.Time // when moves were last decided
	ticked  time.Time // when the last tick was
	late    time.Time // until when silence is not judged
	// median and fastest are of the replicas' paces at the last tick.
	median  time.Duration
	fastest time.Duration
	// eligible holds the replicas for each job, and blocked those that failed,
	// for the tick that is under way.
	eligible map[*jobs.Entry][]candidate
	blocked  map[string]bool
}

// NewScheduler returns an empty board.
func NewScheduler(config Config) *Scheduler {
	return &Scheduler{
		config: config, tasks: table.New[string, task](), byRun: make(map[int64]string),
		paces: make(map[string]*pace), usages: make(map[string]*usage),
		jobs: make(map[string]bool),
	}
}

// Start asks for a run of an item.
type Start struct {
	Run     int64
	Job     *jobs.Entry
	Item    *jobs.Item
	Replica string
	Version int64 // weight version that the replica must have
	// Partial is the text to go on from; empty means from the start.
	Partial jobs.Partial
	// Reason explains the choice for the decision line.
	Reason string
}

// Stop asks for the end of a run.
type Stop struct {
	Run    int64
	Reason string
}

// Commit asks for a result to be appended to the log.
type Commit struct {
	Job    string
	Result jobs.Result
	// Output is the result's text, unless the result refers to a stored one.
	Output string
}

// Actions is what a tick decided.
type Actions struct {
	Stops   []Stop
	Starts  []Start
	Commits []Commit
	// Cancelled holds the unfinished texts of items that are not wanted any more.
	// They may come again in a later job.
	Cancelled []ItemPartial
}

func taskKey(job, item string) string { return job + "/" + item }

// AddJob takes the items of a job when it is new. stored returns what is known of
// an item's text from earlier runs.
func (b *Scheduler) AddJob(e *jobs.Entry, stored func(item string) (jobs.Partial, bool)) {
	if b.jobs[e.Job.ID] || e.Ended {
		return
	}
	b.jobs[e.Job.ID] = true
	for i := range e.Job.Items {
		item := &e.Job.Items[i]
		k := taskKey(e.Job.ID, item.ID)
		if _, listed := e.Committed[item.ID]; listed {
			continue
		}
		t := task{job: e, item: item}
		if partial, ok := stored(item.ID); ok {
			t.longest = len(partial.Events)
			if jobs.VersionsAllowed(partial.Versions, e.Job.MinVersion, false) {
				t.partial = partial
			}
		}
		b.tasks.Put(k, t)
	}
}

// RemoveJob drops what is known of a job that ended.
func (b *Scheduler) RemoveJob(job string) { delete(b.jobs, job) }

// RetainReplicas forgets replicas without runs that are not registered any more.
func (b *Scheduler) RetainReplicas(registered func(replica string) bool) {
	for id, u := range b.usages {
		if u.runs == 0 && !registered(id) {
			delete(b.usages, id)
			delete(b.paces, id)
		}
	}
}

// RecordEvent notes the next event of a run with its ID and the version that made it.
func (b *Scheduler) RecordEvent(runID, id int64, data string, version int64, now time.Time) {
	t := b.taskOf(runID)
	if t == nil {
		return
	}
	r := t.run
	if r.gap > 0 {
		b.measure(r.replica, r.gap, now)
	}
	// The last event of an item may hold fewer tokens than the others, so a gap
	// counts only when another event follows.
	r.gap = 0
	if r.events > 0 {
		r.gap = now.Sub(r.lastEvent)
	}
	r.events++
	r.lastEvent = now
	t.broken = 0
	t.partial.Events = append(t.partial.Events, data)
	t.partial.Versions = append(t.partial.Versions, version)
	t.partial.LastID = id
}

// paceLifetime is how long a replica's pace counts without new events. A
// replica that was slow is tried again after it.
const paceLifetime = 3 * time.Second

// known says whether a pace rests on enough and recent events.
func (b *Scheduler) known(p *pace, now time.Time) bool {
	return p.events >= b.config.MinEvents && now.Sub(p.measured) <= paceLifetime
}

// paceWeight is the least weight of one event in a replica's moving average.
// Single gaps differ by some tens of percent, because engines read prompts
// between tokens; a replica that turns four times as slow shows within three.
const paceWeight = 0.06

func (b *Scheduler) measure(replica string, gap time.Duration, now time.Time) {
	p := b.pace(replica)
	if now.Sub(p.measured) > paceLifetime {
		p.events = 0
	}
	p.measured = now
	p.events++
	p.settled = p.settled || p.events >= b.config.MinEvents
	p.failures = 0
	if p.events == 1 {
		p.perEvent = gap
		return
	}
	p.perEvent += time.Duration(max(paceWeight, 1/float64(p.events)) * float64(gap-p.perEvent))
}

func (b *Scheduler) pace(replica string) *pace {
	p := b.paces[replica]
	if p == nil {
		p = &pace{}
		b.paces[replica] = p
	}
	return p
}

func (b *Scheduler) taskOf(runID int64) *task {
	k, ok := b.byRun[runID]
	if !ok {
		return nil
	}
	return b.tasks.Get(k)
}

func (b *Scheduler) release(t *task) {
	if t.run == nil {
		return
	}
	u := b.usage(t.run.replica)
	u.runs--
	u.tokens -= t.run.tokens
	if u.groups[t.run.group]--; u.groups[t.run.group] == 0 {
		delete(u.groups, t.run.group)
	}
	delete(b.byRun, t.run.id)
	t.run = nil
}

// usage returns the row of a replica, made when absent.
func (b *Scheduler) usage(replica string) *usage {
	u := b.usages[replica]
	if u == nil {
		u = &usage{groups: make(map[string]int)}
		b.usages[replica] = u
	}
	return u
}

// groupKey names the group of an item, which shares its prompt; an item without
// one has a group of its own.
func groupKey(t *task) string {
	if t.group == "" {
		t.group = "item " + t.item.ID
		if t.item.Group != "" {
			t.group = "group " + t.job.Job.ID + "/" + t.item.Group
		}
	}
	return t.group
}

// count takes a run into its replica's usage.
func (b *Scheduler) count(t *task, v View) {
	t.run.tokens, t.run.group = b.memory(t, v), groupKey(t)
	u := b.usage(t.run.replica)
	u.runs++
	u.tokens += t.run.tokens
	u.groups[t.run.group]++
}

// recount brings the memory that runs are expected to need up to what they have
// made so far.
func (b *Scheduler) recount(v View) {
	b.tasks.Each(func(_ string, t *task) bool {
		if t.run != nil {
			tokens := b.memory(t, v)
			b.usage(t.run.replica).tokens += tokens - t.run.tokens
			t.run.tokens = tokens
		}
		return true
	})
}
