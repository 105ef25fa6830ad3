package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// View is what a tick needs to know of the outside.
type View struct {
	Now time.Time
	// Replicas returns the replicas of a job's service and model.
	Replicas func(*jobs.Entry) []Replica
	// Single says whether results of a job may have one version only.
	Single func(*jobs.Entry) bool
	// Finished returns an earlier result of an item that was listed in another
	// job, if there is one.
	Finished func(item string) (jobs.Result, bool)
	// GivenUp says whether a job's items are given up for good.
	GivenUp func(*jobs.Entry) bool
}

// Tick decides what to stop, list and start.
func (b *Board) Tick(v View) Actions {
	var actions Actions
	b.median = b.medianPace(v.Now)
	v.Replicas = onceEach(v.Replicas)
	b.sweep(v, &actions)
	b.stopStalled(v, &actions)
	b.startWaiting(v, &actions)
	b.moveSlow(v, &actions)
	return actions
}

// onceEach makes a function's results last for a tick.
func onceEach(f func(*jobs.Entry) []Replica) func(*jobs.Entry) []Replica {
	known := make(map[*jobs.Entry][]Replica)
	return func(e *jobs.Entry) []Replica {
		rows, ok := known[e]
		if !ok {
			rows = f(e)
			known[e] = rows
		}
		return rows
	}
}

// sweep lists decided items, and drops items of ended jobs and listed ones.
func (b *Board) sweep(v View, actions *Actions) {
	b.tasks.Each(func(k string, t *task) bool {
		e := t.job
		if _, listed := e.Listed[t.item.ID]; listed || e.Ended || e.Removed {
			b.drop(k, t, actions)
			return true
		}
		if !t.done {
			b.reuse(v, t)
		}
		if !t.done && v.GivenUp(e) {
			t.fail()
		}
		if t.done {
			if t.run != nil {
				actions.Stops = append(actions.Stops, Stop{Run: t.run.id, Reason: "result is decided"})
				b.release(t)
			}
			actions.Listings = append(actions.Listings, t.listing())
		}
		return true
	})
}

func (b *Board) drop(k string, t *task, actions *Actions) {
	if t.run != nil {
		actions.Stops = append(actions.Stops, Stop{Run: t.run.id, Reason: "job ended or item listed"})
		b.release(t)
	}
	if !t.done && len(t.partial.Events) > 0 {
		actions.Dropped = append(actions.Dropped, PartialOf{Job: t.job.Job.ID, Item: t.item.ID, Partial: t.partial})
	}
	b.tasks.Delete(k)
}

// reuse takes an earlier result of an item whose versions fit this job.
func (b *Board) reuse(v View, t *task) {
	if t.run != nil {
		return
	}
	r, ok := v.Finished(t.item.ID)
	if !ok || !jobs.Fits(r.Versions, t.job.Job.MinVersion, v.Single(t.job)) {
		return
	}
	t.reused, t.done = &r, true
}

// stopStalled ends runs without progress.
func (b *Board) stopStalled(v View, actions *Actions) {
	b.tasks.Each(func(_ string, t *task) bool {
		r := t.run
		if r == nil {
			return true
		}
		limit, since := b.config.EventTimeout, r.lastEvent
		if r.events == 0 {
			limit, since = b.config.FirstEventTimeout, r.started
		}
		if v.Now.Sub(since) < limit {
			return true
		}
		actions.Stops = append(actions.Stops, Stop{Run: r.id, Reason: fmt.Sprintf("no event for %s", v.Now.Sub(since))})
		p := b.pace(r.replica)
		b.blockAfterFailure(p, v.Now)
		b.release(t)
		return true
	})
}

// startWaiting starts items in the order of urgency while replicas have room.
func (b *Board) startWaiting(v View, actions *Actions) {
	for _, t := range b.waiting(v) {
		choice, reason := b.choose(t, v, "")
		if choice == nil {
			continue
		}
		actions.Starts = append(actions.Starts, b.start(t, choice, v, reason))
	}
}

func (b *Board) start(t *task, choice *Replica, v View, reason string) Start {
	b.nextRun++
	least, single := t.job.Job.MinVersion, v.Single(t.job)
	if !jobs.Fits(t.partial.Versions, least, single) || (single && len(t.partial.Versions) > 0 && t.partial.Versions[0] != choice.Version) {
		t.partial = jobs.Partial{}
	}
	t.run = &run{id: b.nextRun, replica: choice.ID, started: v.Now, lastEvent: v.Now}
	b.byRun[t.run.id] = taskKey(t.job.Job.ID, t.item.ID)
	b.running[choice.ID]++
	return Start{
		Run: t.run.id, Job: t.job, Item: t.item, Replica: choice.ID, Version: choice.Version,
		Stored: t.partial, Reason: reason,
	}
}

// waiting returns the items that may start now, most urgent first: jobs by the
// time at which they came, in a job the groups that the trainer waits for, and
// among those the longest items.
func (b *Board) waiting(v View) []*task {
	var tasks []*task
	b.tasks.Each(func(_ string, t *task) bool {
		if t.run == nil && !t.done && !v.Now.Before(t.notBefore) {
			tasks = append(tasks, t)
		}
		return true
	})
	if len(tasks) == 0 {
		return nil
	}
	surplus := b.surplusGroups()
	slices.SortStableFunc(tasks, func(x, y *task) int {
		return cmp.Or(
			x.job.Seen.Compare(y.job.Seen),
			cmp.Compare(rank(x, surplus), rank(y, surplus)),
			cmp.Compare(remaining(y), remaining(x)),
		)
	})
	return tasks
}

// Ranks of items in a job.
const (
	rankCarried = iota // the trainer waits for these in any case
	rankWanted
	rankSurplus
)

func rank(t *task, surplus map[string]bool) int {
	switch {
	case t.carried:
		return rankCarried
	case surplus[taskKey(t.job.Job.ID, t.item.Group)]:
		return rankSurplus
	}
	return rankWanted
}

// remaining estimates the tokens that an item still has to generate.
func remaining(t *task) int { return t.item.Expected }

// surplusGroups returns the groups of each job that are expected to take
// longest and that the trainer does not wait for.
func (b *Board) surplusGroups() map[string]bool {
	type group struct {
		key     string
		longest int
	}
	groups := make(map[*jobs.Entry]map[string]int)
	b.tasks.Each(func(_ string, t *task) bool {
		if groups[t.job] == nil {
			groups[t.job] = longestByGroup(t.job.Job)
		}
		return true
	})
	surplus := make(map[string]bool)
	for e, longest := range groups {
		extra := len(longest) - e.Job.Wanted
		if e.Job.Wanted <= 0 || extra <= 0 {
			continue
		}
		var sorted []group
		for name, n := range longest {
			sorted = append(sorted, group{taskKey(e.Job.ID, name), n})
		}
		slices.SortFunc(sorted, func(x, y group) int {
			return cmp.Or(cmp.Compare(y.longest, x.longest), cmp.Compare(x.key, y.key))
		})
		for _, g := range sorted[:extra] {
			surplus[g.key] = true
		}
	}
	return surplus
}

func longestByGroup(job *jobs.Job) map[string]int {
	longest := make(map[string]int)
	for i := range job.Items {
		item := &job.Items[i]
		longest[item.Group] = max(longest[item.Group], item.Expected)
	}
	return longest
}
