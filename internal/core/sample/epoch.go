package sample

import (
	"slices"
	"time"
)

// maxPreviousEpochs bounds the epochs retained as older than the current one. A
// call under an older epoch that is no longer retained causes one additional
// epoch.
const maxPreviousEpochs = 32

// CallStatus is the result of a trainer's call.
type CallStatus int

const (
	Accepted       CallStatus = iota
	EpochChanged              // the trainer must resubmit the groups that it still lacks
	AtCapacity                // the group or memory limit is reached; the trainer may retry later
	TooLarge                  // the submission exceeds the limits even of an empty coordinator
	Conflict                  // a group ID is in use with another prompt or step
	UnknownTrainer            // the trainer is not declared
)

// checkEpoch checks the epoch of a call. It returns false if the trainer must
// switch to t.epoch first.
//
// The current epoch may be returned again only to calls under an older epoch,
// and only while no group was offered under it. Any other unknown epoch means
// that the trainer has worked with another coordinator since and may have
// accepted groups from it. Exactly-once delivery then requires a new epoch,
// under which the trainer submits the groups that it still lacks. The same
// applies to a call without an epoch when this coordinator already holds one
// for the trainer.
func (c *Coordinator) checkEpoch(t *trainer, epoch string, now time.Duration) bool {
	switch {
	case t.epoch == "":
		c.startEpoch(t, epoch, now)
		return epoch == ""
	case epoch == t.epoch:
		return true
	case t.lastSeq() == 0 && slices.Contains(t.previousEpochs, epoch):
		return false
	}
	c.startEpoch(t, epoch, now)
	return false
}

// lastSeq returns the last sequence number offered under the epoch.
func (t *trainer) lastSeq() int64 { return t.acknowledgedSeq + int64(len(t.offered)) }

// startEpoch starts a new epoch. All groups are parked until the trainer
// resubmits them; their running samples continue and complete ones are
// retained.
func (c *Coordinator) startEpoch(t *trainer, requestEpoch string, now time.Duration) {
	for _, e := range []string{t.epoch, requestEpoch} {
		if e != "" && !slices.Contains(t.previousEpochs, e) {
			t.previousEpochs = append(t.previousEpochs, e)
		}
	}
	if excess := len(t.previousEpochs) - maxPreviousEpochs; excess > 0 {
		t.previousEpochs = slices.Delete(t.previousEpochs, 0, excess)
	}
	t.epoch = c.config.NewEpoch()
	t.acknowledgedSeq = 0
	t.offered = nil
	t.acknowledgedIDs = make(map[string]bool)
	t.counts.Epochs++
	t.groups.Each(func(_ string, g *group) bool {
		if g.phase == offered {
			t.markReady(g)
		}
		if !g.parked {
			g.parked, g.parkedAt = true, now
		}
		return true
	})
	c.dropStaleSamples(t)
	c.emit(RetryPull{Trainer: t.params.Name})
}

// expireParked removes parked groups that were not resubmitted within
// ParkedTTL.
func (c *Coordinator) expireParked(t *trainer, now time.Duration) {
	t.groups.Each(func(_ string, g *group) bool {
		if g.parked && now-g.parkedAt >= c.config.ParkedTTL {
			c.cancelRunning(t, g)
			t.removeGroup(g)
		}
		return true
	})
}

// GroupSpec is one group of a submission.
type GroupSpec struct{ ID, Prompt string }

// Submit adds the groups of one step, either all of them or none. Groups that
// are already held, or were acknowledged under this epoch, are not added again.
func (c *Coordinator) Submit(now time.Duration, name, epoch string, step int64, groups []GroupSpec) (CallStatus, string) {
	t := c.trainers.Get(name)
	if t == nil {
		return UnknownTrainer, ""
	}
	if !c.checkEpoch(t, epoch, now) {
		return EpochChanged, t.epoch
	}
	if len(t.acknowledgedIDs) >= c.config.MaxAcknowledgedIDs {
		c.startEpoch(t, "", now)
		return EpochChanged, t.epoch
	}
	if status := c.checkCapacity(t, step, groups); status != Accepted {
		return status, t.epoch
	}
	for _, spec := range groups {
		c.submitGroup(t, step, spec)
	}
	return Accepted, t.epoch
}

// checkCapacity checks a submission against the limits before any of its groups
// is added.
func (c *Coordinator) checkCapacity(t *trainer, step int64, groups []GroupSpec) CallStatus {
	added, addedBytes, heldBytes := 0, int64(0), int64(0)
	for _, spec := range groups {
		if t.acknowledgedIDs[spec.ID] {
			continue
		}
		g := t.groups.Get(spec.ID)
		if g != nil && g.prompt == spec.Prompt && g.step == step {
			continue
		}
		if g != nil && !g.parked {
			return Conflict
		}
		added++
		addedBytes += int64(groupBytes + len(spec.ID) + len(spec.Prompt))
	}
	if added == 0 {
		return Accepted
	}
	t.groups.Each(func(_ string, g *group) bool {
		heldBytes += int64(groupBytes + len(g.id) + len(g.prompt))
		return true
	})
	// Prompts are limited to half of the memory, so that there is always room
	// to run one group.
	budget := c.config.MaxBytes / 2
	switch {
	case added > c.config.MaxGroups || addedBytes > budget:
		return TooLarge
	case t.groups.Len()+added > c.config.MaxGroups || heldBytes+addedBytes > budget || t.chargedBytes+addedBytes > c.config.MaxBytes:
		return AtCapacity
	}
	return Accepted
}

func (c *Coordinator) submitGroup(t *trainer, step int64, spec GroupSpec) {
	if t.acknowledgedIDs[spec.ID] {
		return
	}
	g := t.groups.Get(spec.ID)
	if g != nil && !g.parked {
		return
	}
	t.submissions++
	if g != nil && g.prompt == spec.Prompt && g.step == step {
		g.parked, g.submissionOrder = false, t.submissions
		if g.phase == ready {
			c.emit(RetryPull{Trainer: t.params.Name})
		}
		return
	}
	if g != nil {
		c.cancelRunning(t, g)
		t.removeGroup(g)
	}
	g = t.groups.Put(spec.ID, group{
		id: spec.ID, prompt: spec.Prompt, step: step, submissionOrder: t.submissions, required: t.params.GroupSize,
	})
	t.updateCharge(g)
}
