package sample

import (
	"cmp"
	"slices"
	"time"
)

// DeliveredGroup is a whole group as it is given to the trainer. It is the same
// each time that it is given under its sequence number.
type DeliveredGroup struct {
	Seq      int64
	ID       string
	Step     int64
	Unscored bool // scoring failed and the declaration allows that
	// RefusalReason is the reason why the group can't be run; it has no samples then.
	RefusalReason string
	Samples       []DeliveredSample
}

// DeliveredSample is one sample of a delivered group.
type DeliveredSample struct {
	ID           string
	Tokens       []string
	Versions     []int64 // in order of first appearance
	Score        float64
	HasScore     bool
	FinishReason string
}

// Pull confirms all groups up to cursor and returns the next ones, at most
// limit. An empty result means that nothing is ready.
func (h *Coordinator) Pull(now time.Duration, name, epoch string, cursor int64, limit int) (CallStatus, string, []DeliveredGroup) {
	t := h.trainers.Get(name)
	if t == nil {
		return UnknownTrainer, "", nil
	}
	if !h.enter(t, epoch, now) || epoch == "" {
		return EpochChanged, t.epoch, nil
	}
	if cursor < t.acknowledged || cursor > t.seq() {
		// The trainer went back to an older state of its own, or the home was
		// told of groups that it never gave.
		h.newEpoch(t, epoch, now)
		return EpochChanged, t.epoch, nil
	}
	h.acknowledge(t, cursor)
	if len(t.offered) > 0 && t.staleGroup(t.offered[0]) {
		// The trainer may hold this group already, so its place in the sequence
		// can neither be given again nor be filled with other content.
		h.newEpoch(t, epoch, now)
		return EpochChanged, t.epoch, nil
	}
	return Accepted, t.epoch, h.give(t, limit)
}

func (h *Coordinator) acknowledge(t *trainer, cursor int64) {
	for t.acknowledged < cursor {
		g := t.offered[0]
		t.offered = t.offered[1:]
		t.acknowledged++
		t.done[g.id] = true
		t.remove(g)
		t.counts.Delivered++
	}
}

// give lists the offered groups again and adds ready ones behind them. It
// stops before an offered group that became too stale.
func (h *Coordinator) give(t *trainer, limit int) []DeliveredGroup {
	limit = max(limit, 1)
	room := h.config.MaxPullBytes
	full := func(out []DeliveredGroup, g *group) bool {
		room -= g.cost
		return len(out) == limit || (room < 0 && len(out) > 0)
	}
	var out []DeliveredGroup
	for i, g := range t.offered {
		if full(out, g) || t.staleGroup(g) {
			return out
		}
		out = append(out, t.delivered(g, t.acknowledged+int64(i)+1))
		t.counts.Redelivered++
	}
	for _, g := range t.deliverable() {
		if full(out, g) {
			break
		}
		g.phase = offered
		t.offered = append(t.offered, g)
		out = append(out, t.delivered(g, t.seq()))
	}
	return out
}

// deliverable returns the ready groups in the order in which they are given.
func (t *trainer) deliverable() []*group {
	var found []*group
	t.groups.Each(func(_ string, g *group) bool {
		if g.phase == ready && !g.parked && !t.staleGroup(g) {
			found = append(found, g)
		}
		return true
	})
	slices.SortFunc(found, func(a, b *group) int {
		if c := cmp.Compare(a.step, b.step); c != 0 && !t.params.Policy.FIFO {
			return c
		}
		return cmp.Compare(a.readyOrder, b.readyOrder)
	})
	return found
}

func (t *trainer) delivered(g *group, seq int64) DeliveredGroup {
	d := DeliveredGroup{Seq: seq, ID: g.id, Step: g.step, Unscored: g.unscored, RefusalReason: g.refused}
	for i, s := range g.samples {
		out := DeliveredSample{ID: s.id, Tokens: s.tokens, Versions: s.versions, FinishReason: s.finish}
		if i < len(g.scores) {
			out.Score, out.HasScore = g.scores[i], true
		}
		d.Samples = append(d.Samples, out)
	}
	return d
}

// AdvanceVersion raises the newest weight version of a trainer; lower values are
// ignored.
func (h *Coordinator) AdvanceVersion(now time.Duration, name string, version int64) {
	t := h.trainers.Get(name)
	if t == nil || version <= t.newest {
		return
	}
	t.pace.raise(now, version-t.newest)
	t.newest = version
	h.dropStale(t)
}

func (t *trainer) staleSample(s *sample) bool {
	return len(s.versions) > 0 && t.newest-s.lowest > t.params.MaxStaleness
}

func (t *trainer) staleGroup(g *group) bool {
	return slices.ContainsFunc(g.samples, t.staleSample)
}

// dropStale drops every sample that can no longer be delivered, also while it
// runs. Offered groups are left as they are, because their content is fixed.
func (h *Coordinator) dropStale(t *trainer) {
	t.groups.Each(func(_ string, g *group) bool {
		if g.phase != offered && t.staleGroup(g) {
			h.dropStaleOf(t, g)
		}
		return true
	})
}

func (h *Coordinator) dropStaleOf(t *trainer, g *group) {
	kept := make([]*sample, 0, len(g.samples))
	for _, s := range g.samples {
		if !t.staleSample(s) {
			kept = append(kept, s)
			continue
		}
		t.counts.Stale++
		if s.finish == "" {
			h.cancel(s)
		}
	}
	g.samples = kept
	g.phase, g.scores, g.unscored, g.scoreBusy = collecting, nil, false, false
	g.attempt++
	t.recount(g)
}
