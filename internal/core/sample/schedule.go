package sample

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// minHedgeAllowance is the number of hedges permitted in addition to the share.
const minHedgeAllowance = 2

// startSamples starts missing samples in the order in which the trainer needs
// them.
func (c *Coordinator) startSamples(t *trainer, now time.Duration) {
	t.progress.advance(now, t.oldestOpenStep())
	if t.running >= c.config.MaxRunning {
		return
	}
	blocked := false
	for _, g := range t.startableGroups(now) {
		// Groups with reserved memory continue even behind a group that waits
		// for memory, because they may hold the memory that it waits for.
		if !g.memoryReserved && (blocked || !c.reserveMemory(t, g)) {
			blocked = true
			continue
		}
		for len(g.samples) < g.reservedSamples {
			if t.running >= c.config.MaxRunning {
				return
			}
			c.startSample(t, g, now, nil)
		}
	}
}

// startableGroups returns the groups that still need samples: lower steps
// first, then groups that need fewer samples, then earlier submissions.
func (t *trainer) startableGroups(now time.Duration) []*group {
	latest := t.latestAllowedStep()
	var groups []*group
	t.groups.Each(func(_ string, g *group) bool {
		// A group with reserved memory is completed even if an earlier step was
		// submitted since, because only its completion frees the memory.
		if g.phase != collecting || g.parked || now < g.retryAt || (!g.memoryReserved && (g.step > latest || t.tooEarly(g, now))) {
			return true
		}
		if !g.memoryReserved || len(g.samples) < g.reservedSamples {
			groups = append(groups, g)
		}
		return true
	})
	slices.SortFunc(groups, func(a, b *group) int {
		if t.params.Policy.FIFO {
			return cmp.Compare(a.submissionOrder, b.submissionOrder)
		}
		return cmp.Or(
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.required-a.completeCount(), b.required-b.completeCount()),
			cmp.Compare(a.submissionOrder, b.submissionOrder),
		)
	})
	return groups
}

// latestAllowedStep returns the latest step whose groups may start now.
func (t *trainer) latestAllowedStep() int64 {
	if t.params.Policy.StepsAhead < 0 {
		return noStep
	}
	return t.progress.currentStep + t.params.Policy.StepsAhead
}

// oldestOpenStep returns the step that the trainer needs next: the lowest step
// that has groups which are not parked.
func (t *trainer) oldestOpenStep() int64 {
	oldest := noStep
	t.groups.Each(func(_ string, g *group) bool {
		if !g.parked {
			oldest = min(oldest, g.step)
		}
		return true
	})
	return oldest
}

// reserveMemory reserves memory for all samples of a group. If no other group
// will free memory by itself, retained samples of later groups are evicted to
// make room.
func (c *Coordinator) reserveMemory(t *trainer, g *group) bool {
	missing := g.required - g.completeCount()
	g.reservedSamples = g.required + min(t.params.Policy.Surplus, missing)
	g.memoryReserved = true
	t.updateCharge(g)
	for t.chargedBytes > c.config.MaxBytes {
		if t.willFreeMemory(g) || !c.evictSamples(t, g) {
			g.memoryReserved = false
			t.updateCharge(g)
			return false
		}
	}
	return true
}

// willFreeMemory reports whether another group will free memory without an
// eviction: by being completed, delivered or, if it is parked, removed.
func (t *trainer) willFreeMemory(except *group) bool {
	found := false
	t.groups.Each(func(_ string, g *group) bool {
		found = g != except && (g.memoryReserved || g.phase != collecting || g.parked)
		return !found
	})
	return found
}

// evictSamples drops the retained samples of the last group in step and
// submission order that has any.
func (c *Coordinator) evictSamples(t *trainer, except *group) bool {
	var last *group
	t.groups.Each(func(_ string, g *group) bool {
		if g != except && len(g.samples) > 0 &&
			(last == nil || cmp.Or(cmp.Compare(g.step, last.step), cmp.Compare(g.submissionOrder, last.submissionOrder)) > 0) {
			last = g
		}
		return true
	})
	if last == nil {
		return false
	}
	t.counts.Evicted += int64(len(last.samples))
	last.samples = nil
	t.updateCharge(last)
	return true
}

func (c *Coordinator) startSample(t *trainer, g *group, now time.Duration, straggler *sample) {
	t.startedCount++
	t.counts.Started++
	t.running++
	s := &sample{
		id:      fmt.Sprintf("%s-%s-%d", t.params.Name, t.epoch, t.startedCount),
		trainer: t, group: g, started: now, isHedge: straggler != nil,
	}
	a := StartSample{
		Trainer: t.params.Name, Group: g.id, SampleID: s.id, Prompt: g.prompt,
		MaxTokens: t.params.MaxTokens, MinVersion: t.minVersion(g, now),
		Priority: g.step<<16 + int64(g.required-g.completeCount()), Hedge: s.isHedge,
	}
	if straggler != nil {
		straggler.hasHedge = true
		t.counts.Hedged++
		if straggler.replica != "" {
			a.Avoid = []string{straggler.replica}
		}
	}
	g.samples = append(g.samples, s)
	c.samples[s.id] = s
	t.updateCharge(g)
	c.emit(a)
}

// expectedVersions estimates how many versions appear before a sample of the
// step that starts now is delivered: those during its run, or those until the
// trainer reaches the step, whichever are more.
func (t *trainer) expectedVersions(step int64, now time.Duration) int64 {
	return max(t.cadence.expectedWithin(t.recentDurations.median()), t.versionsUntilStep(step, now))
}

// versionsUntilStep estimates how many versions appear before the trainer
// reaches a step. Until the intervals of versions and steps are known, each
// step counts as one version.
func (t *trainer) versionsUntilStep(step int64, now time.Duration) int64 {
	ahead := step - t.progress.currentStep
	if ahead <= 0 || !t.cadenceKnown() {
		return max(ahead, 0)
	}
	return t.cadence.expectedWithin(time.Duration(ahead)*t.progress.interval - (now - t.progress.reachedAt))
}

// cadenceKnown reports whether the intervals between versions and between steps
// are known.
func (t *trainer) cadenceKnown() bool { return t.progress.interval > 0 && t.cadence.interval > 0 }

// minVersion returns the oldest version on which a sample is expected to be
// within the staleness bound at delivery. It never exceeds the newest version.
func (t *trainer) minVersion(g *group, now time.Duration) int64 {
	if t.params.Policy.FIFO {
		return 0
	}
	return max(0, min(t.newestVersion, t.newestVersion+t.expectedVersions(g.step, now)-t.params.MaxStaleness))
}

// tooEarly reports whether a group's samples, even on the newest version, would
// exceed the staleness bound when the trainer reaches the group's step.
func (t *trainer) tooEarly(g *group, now time.Duration) bool {
	return !t.params.Policy.FIFO && t.cadenceKnown() && t.versionsUntilStep(g.step, now) > t.params.MaxStaleness
}

// startHedges starts a duplicate of each straggler for which its group would
// otherwise have to wait.
func (c *Coordinator) startHedges(t *trainer, now time.Duration) {
	p := t.params.Policy
	if p.HedgeAfter <= 0 || p.HedgeShare <= 0 || !t.recentDurations.sufficient() {
		return
	}
	stragglerAge := time.Duration(p.HedgeAfter * float64(t.recentDurations.median()))
	t.groups.Each(func(_ string, g *group) bool {
		if g.memoryReserved && !g.parked {
			c.hedgeGroup(t, g, now, stragglerAge)
		}
		return t.running < c.config.MaxRunning
	})
}

func (c *Coordinator) hedgeGroup(t *trainer, g *group, now, stragglerAge time.Duration) {
	onTime := 0
	for _, s := range g.samples {
		if s.finishReason != "" || now-s.started <= stragglerAge {
			onTime++
		}
	}
	for _, s := range slices.Clone(g.samples) {
		if onTime >= g.required || t.running >= c.config.MaxRunning || t.chargedBytes+t.maxSampleBytes > c.config.MaxBytes ||
			float64(t.counts.Hedged) >= t.params.Policy.HedgeShare*float64(t.startedCount)+minHedgeAllowance {
			return
		}
		if s.finishReason == "" && !s.hasHedge && now-s.started > stragglerAge {
			c.startSample(t, g, now, s)
			onTime++
		}
	}
}

// Counts returns the totals of a trainer.
func (c *Coordinator) Counts(name string) Counts {
	if t := c.trainers.Get(name); t != nil {
		return t.counts
	}
	return Counts{}
}

// Usage returns the number of running samples, the number of groups held and
// the memory charged for a trainer.
func (c *Coordinator) Usage(name string) (running, groups int, bytes int64) {
	if t := c.trainers.Get(name); t != nil {
		return t.running, t.groups.Len(), t.chargedBytes
	}
	return 0, 0, 0
}
