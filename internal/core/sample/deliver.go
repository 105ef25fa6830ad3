package sample

import (
	"cmp"
	"slices"
	"time"
)

// DeliveredGroup is a complete group as delivered to the trainer. Its content
// is the same each time it is delivered under its sequence number.
type DeliveredGroup struct {
	Seq      int64
	ID       string
	Step     int64
	Unscored bool // scoring failed and the trainer does not require scores
	// RefusalReason is the reason why the group cannot be run, if any. Such a
	// group has no samples.
	RefusalReason string
	Samples       []DeliveredSample
}

// DeliveredSample is a complete sample of a group.
type DeliveredSample struct {
	ID           string
	Tokens       []string
	Versions     []int64 // in order of first appearance
	Score        float64
	HasScore     bool
	FinishReason string
}

// Pull acknowledges all groups up to and including cursor and returns the
// groups that follow, at most limit. An empty result means that no group is
// ready.
func (c *Coordinator) Pull(now time.Duration, name, epoch string, cursor int64, limit int) (CallStatus, string, []DeliveredGroup) {
	t := c.trainers.Get(name)
	if t == nil {
		return UnknownTrainer, "", nil
	}
	if !c.checkEpoch(t, epoch, now) || epoch == "" {
		return EpochChanged, t.epoch, nil
	}
	if cursor < t.acknowledgedSeq || cursor > t.lastSeq() {
		// The trainer restored an older state of its own, or the cursor
		// acknowledges groups that this coordinator never delivered.
		c.startEpoch(t, epoch, now)
		return EpochChanged, t.epoch, nil
	}
	c.acknowledge(t, cursor)
	if len(t.offered) > 0 && t.staleGroup(t.offered[0]) {
		// The trainer may already have accepted this group, so its sequence
		// number can neither be delivered again nor be reused for other
		// content.
		c.startEpoch(t, epoch, now)
		return EpochChanged, t.epoch, nil
	}
	return Accepted, t.epoch, c.offerGroups(t, limit)
}

func (c *Coordinator) acknowledge(t *trainer, cursor int64) {
	for t.acknowledgedSeq < cursor {
		g := t.offered[0]
		t.offered = t.offered[1:]
		t.acknowledgedSeq++
		t.acknowledgedIDs[g.id] = true
		t.removeGroup(g)
		t.counts.Delivered++
	}
}

// offerGroups returns the offered groups that are not acknowledged yet,
// followed by groups that are ready now. It stops before an offered group that
// has become too stale.
func (c *Coordinator) offerGroups(t *trainer, limit int) []DeliveredGroup {
	limit = max(limit, 1)
	remainingBytes := c.config.MaxPullBytes
	full := func(out []DeliveredGroup, g *group) bool {
		remainingBytes -= g.chargedBytes
		return len(out) == limit || (remainingBytes < 0 && len(out) > 0)
	}
	var out []DeliveredGroup
	for i, g := range t.offered {
		if full(out, g) || t.staleGroup(g) {
			return out
		}
		out = append(out, t.deliveredGroup(g, t.acknowledgedSeq+int64(i)+1))
		t.counts.Redelivered++
	}
	for _, g := range t.deliverableGroups() {
		if full(out, g) {
			break
		}
		g.phase = offered
		t.offered = append(t.offered, g)
		out = append(out, t.deliveredGroup(g, t.lastSeq()))
	}
	return out
}

// deliverableGroups returns the ready groups in delivery order.
func (t *trainer) deliverableGroups() []*group {
	var groups []*group
	t.groups.Each(func(_ string, g *group) bool {
		if g.phase == ready && !g.parked && !t.staleGroup(g) {
			groups = append(groups, g)
		}
		return true
	})
	slices.SortFunc(groups, func(a, b *group) int {
		if c := cmp.Compare(a.step, b.step); c != 0 && !t.params.Policy.FIFO {
			return c
		}
		return cmp.Compare(a.readyOrder, b.readyOrder)
	})
	return groups
}

func (t *trainer) deliveredGroup(g *group, seq int64) DeliveredGroup {
	d := DeliveredGroup{Seq: seq, ID: g.id, Step: g.step, Unscored: g.unscored, RefusalReason: g.refusalReason}
	for i, s := range g.samples {
		out := DeliveredSample{ID: s.id, Tokens: s.tokens, Versions: s.versions, FinishReason: s.finishReason}
		if i < len(g.scores) {
			out.Score, out.HasScore = g.scores[i], true
		}
		d.Samples = append(d.Samples, out)
	}
	return d
}

// AdvanceVersion sets the newest weight version of a trainer. Versions that are
// not newer are ignored.
func (c *Coordinator) AdvanceVersion(now time.Duration, name string, version int64) {
	t := c.trainers.Get(name)
	if t == nil || version <= t.newestVersion {
		return
	}
	t.cadence.record(now, version-t.newestVersion)
	t.newestVersion = version
	c.dropStaleSamples(t)
}

func (t *trainer) staleSample(s *sample) bool {
	return len(s.versions) > 0 && t.newestVersion-s.lowestVersion > t.params.MaxStaleness
}

func (t *trainer) staleGroup(g *group) bool {
	return slices.ContainsFunc(g.samples, t.staleSample)
}

// dropStaleSamples drops every sample that exceeds the staleness bound,
// including running ones. Offered groups are skipped, because their content is
// fixed.
func (c *Coordinator) dropStaleSamples(t *trainer) {
	t.groups.Each(func(_ string, g *group) bool {
		if g.phase != offered && t.staleGroup(g) {
			c.dropStaleFromGroup(t, g)
		}
		return true
	})
}

func (c *Coordinator) dropStaleFromGroup(t *trainer, g *group) {
	retained := make([]*sample, 0, len(g.samples))
	for _, s := range g.samples {
		if !t.staleSample(s) {
			retained = append(retained, s)
			continue
		}
		t.counts.Stale++
		if s.finishReason == "" {
			c.cancel(s)
		}
	}
	g.samples = retained
	g.phase, g.scores, g.unscored, g.scoringInFlight = collecting, nil, false, false
	g.scoringAttempt++
	t.updateCharge(g)
}
