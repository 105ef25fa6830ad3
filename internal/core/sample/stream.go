package sample

import (
	"slices"
	"time"
)

// FinishLength is the finish reason of a sample that reached its limit.
const FinishLength = "length"

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// SetReplica notes the replica that a sample runs on.
func (h *Coordinator) SetReplica(id, replica string) {
	if s := h.samples[id]; s != nil {
		s.replica = replica
	}
}

// AppendChunk takes one token of a sample. Chunks of cancelled samples are ignored.
// It returns true when the sample is complete, or can no longer be used, so
// that the systems should run.
func (h *Coordinator) AppendChunk(now time.Duration, id, token string, version int64, finish string) bool {
	s := h.samples[id]
	if s == nil || s.finish != "" {
		return false
	}
	t := s.trainer
	if token != "" {
		s.tokens = append(s.tokens, token)
		s.bytes += tokenHeaderBytes + int64(len(token))
	}
	if !slices.Contains(s.versions, version) {
		if len(s.versions) == 0 || version < s.lowest {
			s.lowest = version
		}
		s.versions = append(s.versions, version)
		if t.staleSample(s) {
			h.dropStaleOf(t, s.group)
			return true
		}
	}
	limit := len(s.tokens) >= t.params.MaxTokens || s.bytes+tokenBytes > t.sampleBytes
	if finish == "" && limit {
		finish = FinishLength
		h.cancel(s)
	}
	if finish == "" {
		return false
	}
	s.finish = finish
	h.finished(now, s)
	return true
}

// finished counts a complete sample and closes its group at the first need of
// them.
func (h *Coordinator) finished(now time.Duration, s *sample) {
	t, g := s.trainer, s.group
	t.durations.add(now - s.started)
	g.failures, g.refusals = 0, 0
	if g.complete() < g.need {
		return
	}
	kept := make([]*sample, 0, g.need)
	for _, other := range g.samples {
		if other.finish != "" {
			kept = append(kept, other)
		} else {
			h.cancel(other)
		}
	}
	g.samples, g.active = kept, false
	h.completed(t, g)
	t.recount(g)
}

// completed moves a whole group on to scoring or delivery.
func (h *Coordinator) completed(t *trainer, g *group) {
	if t.params.ScoringEnabled {
		g.phase = scoring
		return
	}
	t.makeReady(g)
	h.act(RetryPull{Trainer: t.params.Name})
}

func (t *trainer) makeReady(g *group) {
	t.ready++
	g.phase, g.readyOrder = ready, t.ready
}

func (g *group) complete() int {
	n := 0
	for _, s := range g.samples {
		if s.finish != "" {
			n++
		}
	}
	return n
}

// maxRefusals is the number of rounds of refused samples after which a group
// is given up. A refusal may come from a suspicion that a whole answer clears.
const maxRefusals = 3

// RecordRefusal reports that a sample was refused for a reason that lies in its
// prompt, such as crashes of the backend servers that run it. It comes before
// the sample's Ended. A group that is refused again and again is given to the
// trainer without samples, because its step would wait for it for good.
func (h *Coordinator) RecordRefusal(now time.Duration, id, reason string) {
	s := h.samples[id]
	if s == nil || s.finish != "" {
		return
	}
	t, g := s.trainer, s.group
	if now >= g.retryAt {
		g.refusals++
	}
	if g.refusals < maxRefusals {
		return
	}
	for _, other := range g.samples {
		if other.finish == "" {
			h.cancel(other)
		}
	}
	g.samples, g.active, g.refused = nil, false, reason
	t.counts.Refused++
	t.makeReady(g)
	t.recount(g)
	h.act(RetryPull{Trainer: t.params.Name})
}

// RecordEnd reports that nothing more comes of a sample. A sample without a
// finish reason failed and is replaced after a pause.
func (h *Coordinator) RecordEnd(now time.Duration, id string) {
	if s := h.samples[id]; s != nil {
		delete(h.samples, id)
		s.trainer.running--
		if s.finish == "" {
			h.failed(now, s)
		}
		return
	}
	h.trainers.Each(func(_ string, t *trainer) bool {
		if !t.stopping[id] {
			return true
		}
		delete(t.stopping, id)
		t.running--
		return false
	})
}

func (h *Coordinator) failed(now time.Duration, s *sample) {
	t, g := s.trainer, s.group
	t.counts.Failed++
	g.samples = slices.DeleteFunc(g.samples, func(o *sample) bool { return o == s })
	// Samples that fail together count as one failure: counted one by one, a
	// moment without replicas held a group of ten back for seconds.
	if now >= g.retryAt {
		g.retryAt = now + min(minRetryDelay<<min(g.failures, 10), maxRetryDelay)
		g.failures++
	}
	t.recount(g)
}

// cancel ends a running sample; it stays counted as running until Ended.
func (h *Coordinator) cancel(s *sample) {
	if h.samples[s.id] == nil {
		return
	}
	delete(h.samples, s.id)
	s.trainer.stopping[s.id] = true
	s.trainer.counts.Cancelled++
	h.act(CancelSample{SampleID: s.id})
}

// cancelRunning cancels and removes the samples of a group that still run.
func (h *Coordinator) cancelRunning(t *trainer, g *group) {
	kept := make([]*sample, 0, len(g.samples))
	for _, s := range g.samples {
		if s.finish == "" {
			h.cancel(s)
		} else {
			kept = append(kept, s)
		}
	}
	g.samples, g.active = kept, false
	t.recount(g)
}

// score asks for the scores of complete groups.
func (h *Coordinator) score(t *trainer, now time.Duration) {
	t.groups.Each(func(_ string, g *group) bool {
		if g.phase != scoring || g.scoreBusy || now < g.retryAt {
			return true
		}
		g.attempt++
		g.scoreBusy = true
		a := ScoreGroup{Trainer: t.params.Name, Group: g.id, Attempt: g.attempt}
		for _, s := range g.samples {
			a.Samples = append(a.Samples, s.tokens)
		}
		h.act(a)
		return true
	})
}

// RecordScores takes the result of a Score action. Without one score per sample the
// attempt failed: it is repeated when a score is required, and the group is
// marked as unscored otherwise.
func (h *Coordinator) RecordScores(now time.Duration, name, id string, attempt int64, scores []float64) {
	t := h.trainers.Get(name)
	if t == nil {
		return
	}
	g := t.groups.Get(id)
	if g == nil || g.phase != scoring || g.attempt != attempt {
		return
	}
	g.scoreBusy = false
	failed := len(scores) != len(g.samples)
	if failed && t.params.ScoreRequired {
		g.retryAt = now + min(minRetryDelay<<min(g.failures, 10), maxRetryDelay)
		g.failures++
		return
	}
	if failed {
		g.unscored = true
	} else {
		g.scores = scores
	}
	g.failures = 0
	t.makeReady(g)
	h.act(RetryPull{Trainer: name})
}
