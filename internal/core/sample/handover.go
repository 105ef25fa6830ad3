package sample

import (
	"cmp"
	"slices"
	"time"
)

// HandoverGroup is a group with its complete samples, as a leaving home hands it to the
// next one.
type HandoverGroup struct {
	ID, Prompt string
	Step       int64
	Samples    []DeliveredSample // without scores
	Bytes      int64             // memory that the group counted for; not read by Import
}

// Export lists the groups of a trainer that have complete samples, earlier
// steps first.
func (h *Coordinator) Export(name string) []HandoverGroup {
	t := h.trainers.Get(name)
	if t == nil {
		return nil
	}
	var kept []HandoverGroup
	t.groups.Each(func(_ string, g *group) bool {
		k := HandoverGroup{ID: g.id, Prompt: g.prompt, Step: g.step, Bytes: groupBytes}
		for _, s := range g.samples {
			if s.finish != "" {
				k.Samples = append(k.Samples, DeliveredSample{ID: s.id, Tokens: s.tokens, Versions: s.versions, FinishReason: s.finish})
				k.Bytes += s.bytes
			}
		}
		if len(k.Samples) > 0 {
			kept = append(kept, k)
		}
		return true
	})
	slices.SortStableFunc(kept, func(a, b HandoverGroup) int { return cmp.Compare(a.Step, b.Step) })
	return kept
}

// Import takes groups of a home that leaves, as far as the bounds allow. They
// are parked: a group is given only after the trainer submitted it to this
// home, so that one which it took from the other home never comes again.
func (h *Coordinator) Import(now time.Duration, name string, kept []HandoverGroup) {
	t := h.trainers.Get(name)
	if t == nil {
		return
	}
	for _, k := range kept {
		if t.groups.Len() >= h.config.MaxGroups || t.groups.Get(k.ID) != nil || t.done[k.ID] {
			continue
		}
		g := t.groups.Put(k.ID, group{
			id: k.ID, prompt: k.Prompt, step: k.Step, need: t.params.GroupSize, parked: true, parkedAt: now,
		})
		for _, s := range k.Samples {
			t.keep(g, s)
		}
		t.recount(g)
		if t.bytes > h.config.MaxBytes {
			t.remove(g)
		} else if len(g.samples) == g.need {
			h.completed(t, g)
		}
	}
}

// keep adds a complete sample to a group unless it is too stale or one too many.
func (t *trainer) keep(g *group, d DeliveredSample) {
	if len(d.Versions) == 0 || len(g.samples) == g.need {
		return
	}
	s := &sample{
		id: d.ID, trainer: t, group: g, tokens: d.Tokens, versions: d.Versions,
		lowest: slices.Min(d.Versions), finish: d.FinishReason,
	}
	for _, token := range d.Tokens {
		s.bytes += tokenHeaderBytes + int64(len(token))
	}
	if !t.staleSample(s) {
		g.samples = append(g.samples, s)
	}
}
