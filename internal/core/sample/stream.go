package sample

import (
	"slices"
	"time"
)

// FinishLength is the finish reason of a sample that reached its length limit.
const FinishLength = "length"

const (
	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay is about the time in which a crashed engine restarts. A group under
	// whose samples engines crashed is still owed and must not wait for longer.
	maxRetryDelay = time.Second
)

// SetReplica records the replica that runs a sample.
func (c *Coordinator) SetReplica(id, replica string) {
	if s := c.samples[id]; s != nil {
		s.replica = replica
	}
}

// AppendChunk adds one token to a sample. Chunks of cancelled samples are
// ignored. It returns true if the sample is complete or can no longer be used,
// so that Run should be called.
func (c *Coordinator) AppendChunk(now time.Duration, id, token string, version int64, finish string) bool {
	s := c.samples[id]
	if s == nil || s.finishReason != "" {
		return false
	}
	t := s.trainer
	if token != "" {
		s.tokens = append(s.tokens, token)
		s.bytes += tokenHeaderBytes + int64(len(token))
	}
	if !slices.Contains(s.versions, version) {
		if len(s.versions) == 0 || version < s.lowestVersion {
			s.lowestVersion = version
		}
		s.versions = append(s.versions, version)
		if t.staleSample(s) {
			c.dropStaleFromGroup(t, s.group)
			return true
		}
	}
	limitReached := len(s.tokens) >= t.params.MaxTokens || s.bytes+tokenBytes > t.maxSampleBytes
	if finish == "" && limitReached {
		finish = FinishLength
		c.cancel(s)
	}
	if finish == "" {
		return false
	}
	s.finishReason = finish
	c.completeSample(now, s)
	return true
}

// completeSample processes a complete sample. Once the group has enough
// complete samples, the others are cancelled and the group is completed.
func (c *Coordinator) completeSample(now time.Duration, s *sample) {
	t, g := s.trainer, s.group
	t.recentDurations.add(now - s.started)
	g.failures, g.refusalRounds = 0, 0
	if g.completeCount() < g.required {
		return
	}
	retained := make([]*sample, 0, g.required)
	for _, other := range g.samples {
		if other.finishReason != "" {
			retained = append(retained, other)
		} else {
			c.cancel(other)
		}
	}
	g.samples, g.memoryReserved = retained, false
	c.completeGroup(t, g)
	t.updateCharge(g)
}

// completeGroup moves a group with all its samples to scoring or delivery.
func (c *Coordinator) completeGroup(t *trainer, g *group) {
	if t.params.ScoringEnabled {
		g.phase = scoring
		return
	}
	t.markReady(g)
	c.emit(RetryPull{Trainer: t.params.Name})
}

func (t *trainer) markReady(g *group) {
	t.readyCount++
	g.phase, g.readyOrder = ready, t.readyCount
}

func (g *group) completeCount() int {
	n := 0
	for _, s := range g.samples {
		if s.finishReason != "" {
			n++
		}
	}
	return n
}

// maxRefusalRounds is the number of rounds of refused samples after which a
// group is delivered without samples. Single refusals are retried, because they
// may follow from a suspicion that a later complete response withdraws.
const maxRefusalRounds = 3

// RecordRefusal records that a sample was refused for a reason that lies in its
// prompt, such as crashes of the backend servers that run it. It is called
// before RecordEnd for the sample. A group that is refused repeatedly is
// delivered without samples, because otherwise the trainer's step would wait
// for it forever.
func (c *Coordinator) RecordRefusal(now time.Duration, id, reason string) {
	s := c.samples[id]
	if s == nil || s.finishReason != "" {
		return
	}
	t, g := s.trainer, s.group
	if now >= g.retryAt {
		g.refusalRounds++
	}
	if g.refusalRounds < maxRefusalRounds {
		return
	}
	for _, other := range g.samples {
		if other.finishReason == "" {
			c.cancel(other)
		}
	}
	g.samples, g.memoryReserved, g.refusalReason = nil, false, reason
	t.counts.Refused++
	t.markReady(g)
	t.updateCharge(g)
	c.emit(RetryPull{Trainer: t.params.Name})
}

// RecordEnd records that a sample has ended. A sample without a finish reason
// failed and is replaced after a backoff.
func (c *Coordinator) RecordEnd(now time.Duration, id string) {
	if s := c.samples[id]; s != nil {
		delete(c.samples, id)
		s.trainer.running--
		if s.finishReason == "" {
			c.recordFailure(now, s)
		}
		return
	}
	c.trainers.Each(func(_ string, t *trainer) bool {
		if !t.cancelling[id] {
			return true
		}
		delete(t.cancelling, id)
		t.running--
		return false
	})
}

func (c *Coordinator) recordFailure(now time.Duration, s *sample) {
	t, g := s.trainer, s.group
	t.counts.Failed++
	g.samples = slices.DeleteFunc(g.samples, func(o *sample) bool { return o == s })
	// Samples that fail together count as one failure: when they were counted
	// separately, a short period without replicas delayed a group of ten by
	// several seconds.
	if now >= g.retryAt {
		g.retryAt = now + min(minRetryDelay<<min(g.failures, 10), maxRetryDelay)
		g.failures++
	}
	t.updateCharge(g)
}

// cancel stops a running sample. It counts as running until RecordEnd.
func (c *Coordinator) cancel(s *sample) {
	if c.samples[s.id] == nil {
		return
	}
	delete(c.samples, s.id)
	s.trainer.cancelling[s.id] = true
	s.trainer.counts.Cancelled++
	c.emit(CancelSample{SampleID: s.id})
}

// cancelRunning cancels and removes the running samples of a group.
func (c *Coordinator) cancelRunning(t *trainer, g *group) {
	retained := make([]*sample, 0, len(g.samples))
	for _, s := range g.samples {
		if s.finishReason == "" {
			c.cancel(s)
		} else {
			retained = append(retained, s)
		}
	}
	g.samples, g.memoryReserved = retained, false
	t.updateCharge(g)
}

// startScoring requests the scores of complete groups.
func (c *Coordinator) startScoring(t *trainer, now time.Duration) {
	t.groups.Each(func(_ string, g *group) bool {
		if g.phase != scoring || g.scoringInFlight || now < g.retryAt {
			return true
		}
		g.scoringAttempt++
		g.scoringInFlight = true
		a := ScoreGroup{Trainer: t.params.Name, Group: g.id, Attempt: g.scoringAttempt}
		for _, s := range g.samples {
			a.Samples = append(a.Samples, s.tokens)
		}
		c.emit(a)
		return true
	})
}

// RecordScores records the result of a ScoreGroup action. The attempt failed
// unless there is one score per sample. A failed attempt is repeated if scores
// are required; otherwise the group is marked as unscored.
func (c *Coordinator) RecordScores(now time.Duration, name, id string, attempt int64, scores []float64) {
	t := c.trainers.Get(name)
	if t == nil {
		return
	}
	g := t.groups.Get(id)
	if g == nil || g.phase != scoring || g.scoringAttempt != attempt {
		return
	}
	g.scoringInFlight = false
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
	t.markReady(g)
	c.emit(RetryPull{Trainer: name})
}
