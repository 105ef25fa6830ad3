// Package schedule decides which item of a model's jobs runs next, on which
// replica, and when a run is moved to another one.
//
// It is designed for synchronous trainers. At the start of a step a trainer
// submits some dozens of items per model, a few of them several times as long as
// the mean, and it waits for most groups of items, not for all. The tokens of one
// item arrive at a nearly constant rate, so a step lasts as long as the longest
// item of the groups that the trainer waits for.
//
// The package has no I/O and no clock.
package schedule

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/spill"
	"github.com/sesamestand/sesamestand/internal/core/table"
)

// Config holds the parameters of a Scheduler.
type Config struct {
	// FirstEventTimeout bounds the time from the start of a run to its first event.
	FirstEventTimeout time.Duration
	// EventTimeout bounds the time between two events of a run.
	EventTimeout time.Duration
	// PreemptTimeout is the time without an event after which a run counts as
	// preempted if its replica produces events for other runs. A preempted run is
	// stopped when another replica has capacity for it.
	PreemptTimeout time.Duration
	// TickDelayThreshold is the time between two ticks from which this host counts
	// as delayed: it may not have read events that have arrived. Until DelayGrace
	// has passed, event timeouts are extended and no run counts as preempted or is
	// moved.
	TickDelayThreshold time.Duration
	DelayGrace         time.Duration
	// MinEvents is the number of measured events from which the pace of a replica
	// counts as reliable.
	MinEvents int
	// RefusalBackoff is how long a replica gets no runs after it refused one; the
	// backoff is doubled after a mismatch of identity or weight version.
	RefusalBackoff time.Duration
	// FailureBackoff is the delay before an item runs again after a failure, and
	// how long a replica gets no runs after a broken or stalled one. For the
	// replica it doubles with each further failure.
	FailureBackoff time.Duration
	// MaxScoreBackoff bounds the delay before a reward call is repeated.
	MaxScoreBackoff time.Duration
}

// Defaults returns the default parameters.
func Defaults() Config {
	return Config{
		FirstEventTimeout:  1500 * time.Millisecond, // covers the queue of a full replica and a prompt
		EventTimeout:       time.Second,             // about 20 events of a healthy replica
		PreemptTimeout:     450 * time.Millisecond,  // about 8 events
		TickDelayThreshold: 150 * time.Millisecond,  // three tick intervals
		DelayGrace:         500 * time.Millisecond,
		MinEvents:          8,
		RefusalBackoff:     60 * time.Millisecond,
		FailureBackoff:     100 * time.Millisecond,
		MaxScoreBackoff:    800 * time.Millisecond, // several calls within the time until a step is due
	}
}

// Replica is the state of a replica for the items of one job.
type Replica struct {
	ID         string
	DataCentre string
	Slots      int
	// Usable is set if the replica is registered, is not leaving and accepts runs
	// of the model.
	Usable bool
	// LeavesAt is the time at which a replica that is leaving will be gone, or zero if
	// that is unknown.
	LeavesAt time.Time
	// Version is the weight version of the model that the replica runs.
	Version int64
	// Unassigned is set if the replica is not assigned to the model.
	Unassigned bool
	// RateLimited is set if the replica accepts a limited number of runs per second.
	// Grants is the number of runs that may then be started now.
	RateLimited bool
	Grants      int
	// MemoryTokens is the number of tokens that the replica can hold in memory for
	// its runs, or 0 if unknown.
	MemoryTokens int
}

// task is an item whose result is not committed yet.
type task struct {
	job      *jobs.Entry
	item     *jobs.Item
	partial  jobs.Partial
	failures int // runs that the replica reported as failed
	// notBefore delays the next run.
	notBefore time.Time
	run       *run
	// outputComplete is set when the output is known to its end, and score when
	// the reward call for that output succeeded.
	outputComplete bool
	completedAt    time.Time
	score          string
	scoring        *scoreCall
	scoreRetries   int
	scoreNotBefore time.Time
	// decided is set when the result is known and its commit is pending.
	decided bool
	failed  bool // the result is a failure
	// reused is the result from another job that is committed for this item.
	reused *jobs.Result
	// storedEvents is the number of events stored from earlier runs of the item.
	storedEvents int
	ranFor       time.Duration // time of the runs that ended
	group        string        // see groupKey
	latestStart  time.Time     // time at which the item must start to be done when due
}

// run is one run of an item.
type run struct {
	id            int64
	replica       string
	started       time.Time
	lastEvent     time.Time
	pendingGap    time.Duration // time before the last event; not part of the pace yet
	events        int
	singleVersion bool   // the job requires a single weight version
	countedTokens int    // tokens that usage includes for this run
	countedGroup  string // group that usage includes for this run
}

// usage is the capacity of one replica that the runs of this scheduler occupy.
type usage struct {
	runs   int
	tokens int            // expected memory at the end of the runs
	groups map[string]int // number of runs by group
}

// pace is the measured time between events of a replica, with its failures.
type pace struct {
	perEvent    time.Duration // exponential moving average
	events      int
	measuredAt  time.Time
	wasReliable bool // perEvent was once measured from at least MinEvents events
	// blockedUntil is the end of the backoff after a refusal or a failure.
	blockedUntil time.Time
	failures     int
}

// Scheduler holds the waiting and running items of the jobs of one partition. It
// tracks only its own runs: a replica that also serves models of other partitions
// has runs that it does not know of. It is not safe for concurrent use.
type Scheduler struct {
	config        Config
	tasks         *table.Table[string, task] // by job and item ID
	byRun         map[int64]string
	byScoreCall   map[int64]string
	scoreCalls    map[string]int // reward calls in progress, by service
	paces         map[string]*pace
	usages        map[string]*usage // by replica
	addedJobs     map[string]bool   // IDs of the jobs whose items were added
	nextRun       int64
	lastMoveCheck time.Time // last search for moves
	lastTick      time.Time // time of the last tick
	delayedUntil  time.Time // end of DelayGrace
	// median and fastest summarize the replicas' paces at the last tick.
	median  time.Duration
	fastest time.Duration
	// eligible caches the candidates for each job, and blocked holds the replicas
	// that failed during the tick. Both are valid for one tick.
	eligible map[*jobs.Entry][]candidate
	blocked  map[string]bool
	// leaves caches the times at which replicas leave, for each job and one tick.
	leaves map[*jobs.Entry]map[string]time.Time
	// granted counts the runs that this tick started on replicas with a rate limit.
	granted map[string]int
}

// NewScheduler returns a Scheduler without items.
func NewScheduler(config Config) *Scheduler {
	return &Scheduler{
		config: config, tasks: table.New[string, task](), byRun: make(map[int64]string),
		byScoreCall: make(map[int64]string), scoreCalls: make(map[string]int),
		paces: make(map[string]*pace), usages: make(map[string]*usage),
		addedJobs: make(map[string]bool),
	}
}

// Start requests a run of an item on a replica.
type Start struct {
	Run     int64
	Job     *jobs.Entry
	Item    *jobs.Item
	Replica string
	Version int64 // weight version that the replica must have
	// Partial is the output to continue from; empty to start from the beginning.
	Partial jobs.Partial
	// Reason explains the choice of the replica in the decision log.
	Reason string
	// Verdict says why the run leaves the data centre of the scheduler or stays. It is
	// zero if TickInput.Leaving is not set.
	Verdict spill.Verdict
}

// Stop requests the end of a run or of a reward call. Their IDs are distinct.
type Stop struct {
	Run    int64
	Reason string
}

// Commit requests that a result be appended to the log. Each tick returns it again
// until the result has been read from the log or the job has ended.
type Commit struct {
	Job    string
	Result jobs.Result
	// Output is the output of the item, to be stored before the result is
	// committed. It is empty if the result already refers to a stored output.
	Output string
}

// Actions holds the decisions of a tick.
type Actions struct {
	Stops   []Stop
	Starts  []Start
	Scores  []ScoreStart
	Commits []Commit
	// NeedGrant holds the replicas with a rate limit that could run waiting items if
	// more runs were granted.
	NeedGrant []string
	// Cancelled holds the partial outputs of removed items without a decided
	// result. A later job may contain the same items and continue from them.
	Cancelled []ItemPartial
}

// HeldOutputs returns the memory of the outputs of items that are not running. That of a
// running one counts with its response.
func (s *Scheduler) HeldOutputs() int64 {
	held := int64(0)
	s.tasks.Each(func(_ string, t *task) bool {
		if t.run == nil {
			held += t.partial.Bytes()
		}
		return true
	})
	return held
}

func taskKey(job, item string) string { return job + "/" + item }

// AddJob adds the uncommitted items of a job unless the job was added before or
// has ended. stored returns the partial output of an item from earlier runs.
func (s *Scheduler) AddJob(e *jobs.Entry, stored func(item string) (jobs.Partial, bool)) {
	if s.addedJobs[e.Job.ID] || e.Ended {
		return
	}
	s.addedJobs[e.Job.ID] = true
	for i := range e.Job.Items {
		item := &e.Job.Items[i]
		k := taskKey(e.Job.ID, item.ID)
		if _, committed := e.Committed[item.ID]; committed {
			continue
		}
		t := task{job: e, item: item}
		if partial, ok := stored(item.ID); ok {
			t.storedEvents = len(partial.Events)
			if jobs.VersionsAllowed(partial.Versions, e.Job.MinVersion, false) {
				t.partial = partial
			}
			if partial.ScoreJob != e.Job.ID {
				t.partial.ScoreFailures, t.partial.ScoreJob = 0, ""
			}
		}
		s.tasks.Put(k, t)
	}
}

// RemoveJob removes an ended job from the set of added jobs. Tick removes its
// items.
func (s *Scheduler) RemoveJob(job string) { delete(s.addedJobs, job) }

// RetainReplicas removes the usage and pace of replicas that are no longer
// registered and have no runs.
func (s *Scheduler) RetainReplicas(registered func(replica string) bool) {
	for id, u := range s.usages {
		if u.runs == 0 && !registered(id) {
			delete(s.usages, id)
			delete(s.paces, id)
		}
	}
}

// RecordEvent records the next event of a run, with its ID and the weight version
// that generated it.
func (s *Scheduler) RecordEvent(runID, id int64, data string, version int64, now time.Time) {
	t := s.taskOfRun(runID)
	if t == nil {
		return
	}
	r := t.run
	if r.pendingGap > 0 {
		s.measure(r.replica, r.pendingGap, now)
	}
	// The last event of an item may hold fewer tokens than the others, so a gap is
	// measured only when another event follows.
	r.pendingGap = 0
	if r.events > 0 {
		r.pendingGap = now.Sub(r.lastEvent)
	}
	r.events++
	r.lastEvent = now
	t.partial.Events = append(t.partial.Events, data)
	t.partial.Versions = append(t.partial.Versions, version)
	t.partial.LastID = id
}

// hasAllowedOutput reports whether the job allows the weight versions of a task's output
// so far. A replica may load another version under a run that began before the order.
func (t *task) hasAllowedOutput() bool {
	return jobs.VersionsAllowed(t.partial.Versions, t.job.Job.MinVersion, t.run.singleVersion)
}

// paceLifetime is how long the pace of a replica is valid without new events.
// Afterwards a replica that was slow gets runs again.
const paceLifetime = 3 * time.Second

// hasRecentPace reports whether a pace was measured from enough recent events.
func (s *Scheduler) hasRecentPace(p *pace, now time.Time) bool {
	return p.events >= s.config.MinEvents && now.Sub(p.measuredAt) <= paceLifetime
}

// paceWeight is the minimum weight of one event in the moving average of a
// replica. Single gaps vary by some tens of percent because engines process
// prompts between tokens. A replica that becomes four times as slow is detected
// within three events.
const paceWeight = 0.06

// measure adds the gap before an event to the pace of a replica.
func (s *Scheduler) measure(replica string, gap time.Duration, now time.Time) {
	p := s.pace(replica)
	if now.Sub(p.measuredAt) > paceLifetime {
		p.events = 0
	}
	p.measuredAt = now
	p.events++
	p.wasReliable = p.wasReliable || p.events >= s.config.MinEvents
	p.failures = 0
	if p.events == 1 {
		p.perEvent = gap
		return
	}
	p.perEvent += time.Duration(max(paceWeight, 1/float64(p.events)) * float64(gap-p.perEvent))
}

// pace returns the pace of a replica, creating it if absent.
func (s *Scheduler) pace(replica string) *pace {
	p := s.paces[replica]
	if p == nil {
		p = &pace{}
		s.paces[replica] = p
	}
	return p
}

func (s *Scheduler) taskOfRun(runID int64) *task {
	k, ok := s.byRun[runID]
	if !ok {
		return nil
	}
	return s.tasks.Get(k)
}

// release removes the run of a task and its usage of the replica.
func (s *Scheduler) release(t *task) {
	if t.run == nil {
		return
	}
	u := s.usage(t.run.replica)
	u.runs--
	u.tokens -= t.run.countedTokens
	if u.groups[t.run.countedGroup]--; u.groups[t.run.countedGroup] == 0 {
		delete(u.groups, t.run.countedGroup)
	}
	delete(s.byRun, t.run.id)
	t.ranFor += t.run.lastEvent.Sub(t.run.started)
	t.run = nil
}

// usage returns the usage of a replica, creating it if absent.
func (s *Scheduler) usage(replica string) *usage {
	u := s.usages[replica]
	if u == nil {
		u = &usage{groups: make(map[string]int)}
		s.usages[replica] = u
	}
	return u
}

// groupKey returns the key of an item's group, whose items share a prompt. An item
// without a group forms one of its own.
func groupKey(t *task) string {
	if t.group == "" {
		t.group = "item " + t.item.ID
		if t.item.Group != "" {
			t.group = "group " + t.job.Job.ID + "/" + t.item.Group
		}
	}
	return t.group
}

// addUsage adds a run to the usage of its replica.
func (s *Scheduler) addUsage(t *task, in TickInput) {
	t.run.countedTokens, t.run.countedGroup = s.memoryNeed(t, in), groupKey(t)
	u := s.usage(t.run.replica)
	u.runs++
	u.tokens += t.run.countedTokens
	u.groups[t.run.countedGroup]++
}

// updateUsage updates the expected memory need of all runs to the output that
// they have generated so far.
func (s *Scheduler) updateUsage(in TickInput) {
	s.tasks.Each(func(_ string, t *task) bool {
		if t.run != nil {
			tokens := s.memoryNeed(t, in)
			s.usage(t.run.replica).tokens += tokens - t.run.countedTokens
			t.run.countedTokens = tokens
		}
		return true
	})
}
