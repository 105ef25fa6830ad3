package sample

import (
	"cmp"
	"slices"
	"time"
)

// HandoverGroup is a group with its complete samples, as transferred from a
// coordinator that is shutting down to its successor.
type HandoverGroup struct {
	ID, Prompt string
	Step       int64
	Samples    []DeliveredSample // without scores
	Bytes      int64             // memory charged for the group; ignored by Import
}

// Export returns the groups of a trainer that have complete samples, lowest
// steps first.
func (c *Coordinator) Export(name string) []HandoverGroup {
	t := c.trainers.Get(name)
	if t == nil {
		return nil
	}
	var groups []HandoverGroup
	t.groups.Each(func(_ string, g *group) bool {
		h := HandoverGroup{ID: g.id, Prompt: g.prompt, Step: g.step, Bytes: groupBytes}
		for _, s := range g.samples {
			if s.finishReason != "" {
				h.Samples = append(h.Samples, DeliveredSample{ID: s.id, Tokens: s.tokens, Versions: s.versions, FinishReason: s.finishReason})
				h.Bytes += s.bytes
			}
		}
		if len(h.Samples) > 0 {
			groups = append(groups, h)
		}
		return true
	})
	slices.SortStableFunc(groups, func(a, b HandoverGroup) int { return cmp.Compare(a.Step, b.Step) })
	return groups
}

// Import adds groups from a coordinator that is shutting down, as far as the
// limits allow. The groups are parked: a group is delivered only after the
// trainer submits it to this coordinator, so a group that the trainer already
// accepted from the other coordinator is never delivered again.
func (c *Coordinator) Import(now time.Duration, name string, groups []HandoverGroup) {
	t := c.trainers.Get(name)
	if t == nil {
		return
	}
	for _, h := range groups {
		if t.groups.Len() >= c.config.MaxGroups || t.groups.Get(h.ID) != nil || t.acknowledgedIDs[h.ID] {
			continue
		}
		g := t.groups.Put(h.ID, group{
			id: h.ID, prompt: h.Prompt, step: h.Step, required: t.params.GroupSize, parked: true, parkedAt: now,
		})
		for _, s := range h.Samples {
			t.addHandoverSample(g, s)
		}
		t.updateCharge(g)
		if t.chargedBytes > c.config.MaxBytes {
			t.removeGroup(g)
		} else if len(g.samples) == g.required {
			c.completeGroup(t, g)
		}
	}
}

// addHandoverSample adds a complete sample to a group unless it is too stale or
// the group already has enough samples.
func (t *trainer) addHandoverSample(g *group, d DeliveredSample) {
	if len(d.Versions) == 0 || len(g.samples) == g.required {
		return
	}
	s := &sample{
		id: d.ID, trainer: t, group: g, tokens: d.Tokens, versions: d.Versions,
		lowestVersion: slices.Min(d.Versions), finishReason: d.FinishReason,
	}
	for _, token := range d.Tokens {
		s.bytes += tokenHeaderBytes + int64(len(token))
	}
	if !t.staleSample(s) {
		g.samples = append(g.samples, s)
	}
}
