package sample

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// hedgeReserve is the number of hedges allowed whatever the share.
const hedgeReserve = 2

// start starts missing samples in the order in which the trainer needs them.
func (h *Coordinator) start(t *trainer, now time.Duration) {
	t.steps.advance(now, t.oldestStep())
	if t.running >= h.config.MaxRunning {
		return
	}
	full := false
	for _, g := range t.startable(now) {
		// Groups that hold their memory already go on behind one that has to
		// wait for memory, because it may be theirs that it waits for.
		if !g.active && (full || !h.activate(t, g)) {
			full = true
			continue
		}
		for len(g.samples) < g.slots {
			if t.running >= h.config.MaxRunning {
				return
			}
			h.startSample(t, g, now, nil)
		}
	}
}

// startable returns the groups that lack samples: lower steps first, then
// groups that lack fewer, then earlier ones.
func (t *trainer) startable(now time.Duration) []*group {
	last := t.lastStep()
	var found []*group
	t.groups.Each(func(_ string, g *group) bool {
		// A group that holds memory is completed even when an earlier step was
		// submitted since, because its memory becomes free only then.
		if g.phase != collecting || g.parked || now < g.retryAt || (!g.active && (g.step > last || t.tooEarly(g, now))) {
			return true
		}
		if !g.active || len(g.samples) < g.slots {
			found = append(found, g)
		}
		return true
	})
	slices.SortFunc(found, func(a, b *group) int {
		if t.params.Policy.FIFO {
			return cmp.Compare(a.order, b.order)
		}
		return cmp.Or(
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.need-a.complete(), b.need-b.complete()),
			cmp.Compare(a.order, b.order),
		)
	})
	return found
}

// lastStep is the latest step that may run now.
func (t *trainer) lastStep() int64 {
	if t.params.Policy.StepsAhead < 0 {
		return noStep
	}
	return t.steps.step + t.params.Policy.StepsAhead
}

// oldestStep is the step that the trainer needs next.
func (t *trainer) oldestStep() int64 {
	oldest := noStep
	t.groups.Each(func(_ string, g *group) bool {
		if !g.parked {
			oldest = min(oldest, g.step)
		}
		return true
	})
	return oldest
}

// activate reserves the memory of a whole group. When nothing else holds
// memory that will become free by itself, kept samples of later groups are
// dropped to make room.
func (h *Coordinator) activate(t *trainer, g *group) bool {
	missing := g.need - g.complete()
	g.slots = g.need + min(t.params.Policy.Surplus, missing)
	g.active = true
	t.recount(g)
	for t.bytes > h.config.MaxBytes {
		if t.busy(g) || !h.evict(t, g) {
			g.active = false
			t.recount(g)
			return false
		}
	}
	return true
}

// busy tells whether another group will free memory without being started.
func (t *trainer) busy(except *group) bool {
	found := false
	t.groups.Each(func(_ string, g *group) bool {
		found = g != except && (g.active || g.phase != collecting || g.parked)
		return !found
	})
	return found
}

// evict drops the kept samples of the last group in order that has any.
func (h *Coordinator) evict(t *trainer, except *group) bool {
	var last *group
	t.groups.Each(func(_ string, g *group) bool {
		if g != except && len(g.samples) > 0 &&
			(last == nil || cmp.Or(cmp.Compare(g.step, last.step), cmp.Compare(g.order, last.order)) > 0) {
			last = g
		}
		return true
	})
	if last == nil {
		return false
	}
	t.counts.Evicted += int64(len(last.samples))
	last.samples = nil
	t.recount(last)
	return true
}

func (h *Coordinator) startSample(t *trainer, g *group, now time.Duration, late *sample) {
	t.started++
	t.counts.Started++
	t.running++
	s := &sample{
		id:      fmt.Sprintf("%s-%s-%d", t.params.Name, t.epoch, t.started),
		trainer: t, group: g, started: now, hedge: late != nil,
	}
	a := StartSample{
		Trainer: t.params.Name, Group: g.id, SampleID: s.id, Prompt: g.prompt,
		MaxTokens: t.params.MaxTokens, MinVersion: t.minVersion(g, now),
		Priority: g.step<<16 + int64(g.need-g.complete()), Hedge: s.hedge,
	}
	if late != nil {
		late.hedged = true
		t.counts.Hedged++
		if late.replica != "" {
			a.Avoid = []string{late.replica}
		}
	}
	g.samples = append(g.samples, s)
	h.samples[s.id] = s
	t.recount(g)
	h.act(a)
}

// expected is the number of versions that appear until a sample of the step
// that is started now is delivered: those that it runs through, or those until
// the trainer gets to the step.
func (t *trainer) expected(step int64, now time.Duration) int64 {
	return max(t.pace.during(t.durations.median()), t.waiting(step, now))
}

// waiting is the number of versions that appear until the trainer gets to a
// step. Before the pace of versions and steps is known, each step counts as one.
func (t *trainer) waiting(step int64, now time.Duration) int64 {
	ahead := step - t.steps.step
	if ahead <= 0 || !t.paced() {
		return max(ahead, 0)
	}
	return t.pace.during(time.Duration(ahead)*t.steps.interval - (now - t.steps.since))
}

// paced tells whether the pace of versions and of steps is known.
func (t *trainer) paced() bool { return t.steps.interval > 0 && t.pace.interval > 0 }

// minVersion is the oldest version on which a sample is expected to be within
// the bound when it is delivered. It is never above the newest version.
func (t *trainer) minVersion(g *group, now time.Duration) int64 {
	if t.params.Policy.FIFO {
		return 0
	}
	return max(0, min(t.newest, t.newest+t.expected(g.step, now)-t.params.MaxStaleness))
}

// tooEarly tells whether a group's samples would be too stale when the trainer
// gets to its step even on the newest version.
func (t *trainer) tooEarly(g *group, now time.Duration) bool {
	return !t.params.Policy.FIFO && t.paced() && t.waiting(g.step, now) > t.params.MaxStaleness
}

// hedge starts another sample for each late one as long as its group would
// otherwise have to wait for a late one.
func (h *Coordinator) hedge(t *trainer, now time.Duration) {
	p := t.params.Policy
	if p.HedgeAfter <= 0 || p.HedgeShare <= 0 || !t.durations.known() {
		return
	}
	late := time.Duration(p.HedgeAfter * float64(t.durations.median()))
	t.groups.Each(func(_ string, g *group) bool {
		if g.active && !g.parked {
			h.hedgeGroup(t, g, now, late)
		}
		return t.running < h.config.MaxRunning
	})
}

func (h *Coordinator) hedgeGroup(t *trainer, g *group, now, late time.Duration) {
	inTime := 0
	for _, s := range g.samples {
		if s.finish != "" || now-s.started <= late {
			inTime++
		}
	}
	for _, s := range slices.Clone(g.samples) {
		if inTime >= g.need || t.running >= h.config.MaxRunning || t.bytes+t.sampleBytes > h.config.MaxBytes ||
			float64(t.counts.Hedged) >= t.params.Policy.HedgeShare*float64(t.started)+hedgeReserve {
			return
		}
		if s.finish == "" && !s.hedged && now-s.started > late {
			h.startSample(t, g, now, s)
			inTime++
		}
	}
}

// Counts returns a trainer's totals.
func (h *Coordinator) Counts(name string) Counts {
	if t := h.trainers.Get(name); t != nil {
		return t.counts
	}
	return Counts{}
}

// Usage returns the samples running, the groups held and the memory counted
// for a trainer.
func (h *Coordinator) Usage(name string) (running, groups int, bytes int64) {
	if t := h.trainers.Get(name); t != nil {
		return t.running, t.groups.Len(), t.bytes
	}
	return 0, 0, 0
}
