package sample

import (
	"slices"
	"time"
)

// maxPredecessors bounds the epochs remembered as older than the current one.
// A call under a forgotten one costs one more epoch.
const maxPredecessors = 32

// CallStatus says how a call of a trainer ended.
type CallStatus int

// Verdicts.
const (
	Accepted       CallStatus = iota
	EpochChanged              // the trainer has to submit again what it lacks
	AtCapacity                // the memory bound is reached; try later
	TooLarge                  // the call can never fit
	Conflict                  // a group ID is in use with another prompt or step
	UnknownTrainer            // not declared
)

// enter checks the epoch of a call. It returns false when the trainer has to
// move to the row's epoch first.
//
// The row's epoch may be told again only to calls under an epoch that is older
// than it, and only while nothing was offered under it. Any other foreign epoch
// means that the trainer worked with another home since, and may have taken
// groups there, so that only a new epoch, under which it submits what it lacks,
// keeps delivery once. The same holds for a trainer without an epoch that this
// home has met before.
func (h *Coordinator) enter(t *trainer, epoch string, now time.Duration) bool {
	switch {
	case t.epoch == "":
		h.newEpoch(t, epoch, now)
		return epoch == ""
	case epoch == t.epoch:
		return true
	case t.seq() == 0 && slices.Contains(t.predecessors, epoch):
		return false
	}
	h.newEpoch(t, epoch, now)
	return false
}

// seq is the last sequence number given under the epoch.
func (t *trainer) seq() int64 { return t.acknowledged + int64(len(t.offered)) }

// newEpoch starts an epoch. All groups are parked until the trainer submits
// them again; their samples go on and are kept.
func (h *Coordinator) newEpoch(t *trainer, cause string, now time.Duration) {
	for _, e := range []string{t.epoch, cause} {
		if e != "" && !slices.Contains(t.predecessors, e) {
			t.predecessors = append(t.predecessors, e)
		}
	}
	if extra := len(t.predecessors) - maxPredecessors; extra > 0 {
		t.predecessors = slices.Delete(t.predecessors, 0, extra)
	}
	t.epoch = h.config.NewEpoch()
	t.acknowledged = 0
	t.offered = nil
	t.done = make(map[string]bool)
	t.counts.Epochs++
	t.groups.Each(func(_ string, g *group) bool {
		if g.phase == offered {
			t.makeReady(g)
		}
		if !g.parked {
			g.parked, g.parkedAt = true, now
		}
		return true
	})
	h.dropStale(t)
	h.act(RetryPull{Trainer: t.params.Name})
}

// expireParked frees parked groups that were not submitted again in time.
func (h *Coordinator) expireParked(t *trainer, now time.Duration) {
	t.groups.Each(func(_ string, g *group) bool {
		if g.parked && now-g.parkedAt >= h.config.ParkedTTL {
			h.cancelRunning(t, g)
			t.remove(g)
		}
		return true
	})
}

// GroupSpec is one group of a submission.
type GroupSpec struct{ ID, Prompt string }

// Submit takes the groups of one step. It takes all of them or none. Groups
// that are known, or were acknowledged under this epoch, are not taken twice.
func (h *Coordinator) Submit(now time.Duration, name, epoch string, step int64, groups []GroupSpec) (CallStatus, string) {
	t := h.trainers.Get(name)
	if t == nil {
		return UnknownTrainer, ""
	}
	if !h.enter(t, epoch, now) {
		return EpochChanged, t.epoch
	}
	if len(t.done) >= h.config.MaxAcknowledgedIDs {
		h.newEpoch(t, "", now)
		return EpochChanged, t.epoch
	}
	if v := h.fits(t, step, groups); v != Accepted {
		return v, t.epoch
	}
	for _, n := range groups {
		h.submit(t, step, n)
	}
	return Accepted, t.epoch
}

// fits checks a whole submission against the bounds before any of it is taken.
func (h *Coordinator) fits(t *trainer, step int64, groups []GroupSpec) CallStatus {
	count, prompts, held := 0, int64(0), int64(0)
	for _, n := range groups {
		if t.done[n.ID] {
			continue
		}
		g := t.groups.Get(n.ID)
		if g != nil && g.prompt == n.Prompt && g.step == step {
			continue
		}
		if g != nil && !g.parked {
			return Conflict
		}
		count++
		prompts += int64(groupBytes + len(n.ID) + len(n.Prompt))
	}
	if count == 0 {
		return Accepted
	}
	t.groups.Each(func(_ string, g *group) bool {
		held += int64(groupBytes + len(g.id) + len(g.prompt))
		return true
	})
	// Prompts get half of the memory, so that one group always has room to run.
	budget := h.config.MaxBytes / 2
	switch {
	case count > h.config.MaxGroups || prompts > budget:
		return TooLarge
	case t.groups.Len()+count > h.config.MaxGroups || held+prompts > budget || t.bytes+prompts > h.config.MaxBytes:
		return AtCapacity
	}
	return Accepted
}

func (h *Coordinator) submit(t *trainer, step int64, n GroupSpec) {
	if t.done[n.ID] {
		return
	}
	g := t.groups.Get(n.ID)
	if g != nil && !g.parked {
		return
	}
	t.orders++
	if g != nil && g.prompt == n.Prompt && g.step == step {
		g.parked, g.order = false, t.orders
		if g.phase == ready {
			h.act(RetryPull{Trainer: t.params.Name})
		}
		return
	}
	if g != nil {
		h.cancelRunning(t, g)
		t.remove(g)
	}
	g = t.groups.Put(n.ID, group{
		id: n.ID, prompt: n.Prompt, step: step, order: t.orders, need: t.params.GroupSize,
	})
	t.recount(g)
}
