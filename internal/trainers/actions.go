package trainers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/sample"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// runSystems runs the core and does what it decided. The caller holds the lock.
func (c *Controller) runSystems() {
	for _, action := range c.home.Run(c.now()) {
		switch a := action.(type) {
		case sample.StartSample:
			c.startSample(a)
		case sample.CancelSample:
			if cancel := c.cancels[a.SampleID]; cancel != nil {
				cancel()
			}
		case sample.ScoreGroup:
			c.startScore(a)
		case sample.RetryPull:
			c.wake(a.Trainer)
		}
	}
}

func (c *Controller) startSample(a sample.StartSample) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.SampleTimeout)
	c.cancels[a.SampleID] = cancel
	model := c.declared[a.Trainer].model
	c.recorder.Decision("sample-start", a.SampleID, "trainer", a.Trainer, "group", a.Group,
		"min_version", a.MinVersion, "hedge", a.Hedge, "avoid", a.Avoid)
	c.work.Go(func() {
		defer cancel()
		err := c.generate(ctx, model, a)
		if err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("sample failed", "sample", a.SampleID, "trainer", a.Trainer, "err", err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cancels, a.SampleID)
		if refusal := (*cluster.Refusal)(nil); errors.As(err, &refusal) && forGood(refusal.Reason) {
			c.home.RecordRefusal(c.now(), a.SampleID, string(refusal.Reason))
		}
		c.home.RecordEnd(c.now(), a.SampleID)
		c.runSystems()
	})
}

// forGood tells whether a refusal lies in the prompt, so that running the
// sample again is refused again.
func forGood(reason cluster.Reason) bool {
	return reason == cluster.ReasonCrashInducing || reason == cluster.ReasonBadRequest || reason == cluster.ReasonTooLarge
}

func (c *Controller) generate(ctx context.Context, model string, a sample.StartSample) error {
	generation := cluster.Generation{
		RequestID:  a.SampleID,
		Model:      model,
		Prompt:     a.Prompt,
		MaxTokens:  a.MaxTokens,
		Seed:       int64(xxhash.Sum64String(a.SampleID) >> 1),
		Class:      declare.ClassTraining,
		Trainer:    a.Trainer,
		MinVersion: a.MinVersion,
		Avoid:      a.Avoid,
		Priority:   a.Priority,
		OnReplicaChosen: func(replica string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.home.SetReplica(a.SampleID, replica)
		},
	}
	return c.generator.Generate(ctx, generation, func(chunk engine.Chunk) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.home.AppendChunk(c.now(), a.SampleID, chunk.Token, chunk.WeightVersion, chunk.FinishReason) {
			c.runSystems()
		}
		return nil
	})
}

func (c *Controller) startScore(a sample.ScoreGroup) {
	scorer := c.declared[a.Trainer].scorer
	slots := c.slots[a.Trainer]
	if slots == nil {
		slots = make(chan struct{}, c.config.ScoreConcurrency)
		c.slots[a.Trainer] = slots
	}
	c.nextScorer++
	turn := c.nextScorer
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, c.config.ScoreTimeout)
		defer cancel()
		scores, err := c.scores(ctx, slots, scorer, turn, a)
		if err != nil {
			klog.V(1).InfoS("scoring failed", "trainer", a.Trainer, "group", a.Group, "err", err)
			c.recorder.Count("trainer_scoring_failed_total", "trainer", a.Trainer)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.home.RecordScores(c.now(), a.Trainer, a.Group, a.Attempt, scores)
		c.runSystems()
	})
}

func (c *Controller) scores(ctx context.Context, slots chan struct{}, scorer string, turn int, a sample.ScoreGroup) ([]float64, error) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "wait for a scoring slot")
	}
	body := marshal(ScoreRequest{Group: a.Group, Samples: a.Samples})
	for attempt := 0; ; attempt++ {
		scores, err := c.scoreOnce(ctx, scorer, turn+attempt, body)
		if err == nil && len(scores) == len(a.Samples) {
			return scores, nil
		}
		if err == nil {
			err = eris.Errorf("%d scores for %d samples", len(scores), len(a.Samples))
		}
		select {
		case <-time.After(scoreRetryPause):
		case <-ctx.Done():
			return nil, err
		}
	}
}

const (
	scoreRetryPause = 100 * time.Millisecond
	// scoreAttempts is how many silent servers fit into the deadline of a group.
	scoreAttempts = 3
)

// scoreOnce calls one backend server of the scoring service.
func (c *Controller) scoreOnce(ctx context.Context, scorer string, turn int, body []byte) ([]float64, error) {
	addr, ok := c.scorerAddr(scorer, turn)
	if !ok {
		return nil, eris.Errorf("no backend server of scoring service %q is known", scorer)
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ScoreTimeout/scoreAttempts)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/score", bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "make the scoring request")
	}
	request.Header.Set("Content-Type", "application/json")
	if c.config.BackendToken != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.BackendToken)
	}
	response, err := c.scorers.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "call scorer %s", addr)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("scorer %s answered status %d", addr, response.StatusCode)
	}
	var reply ScoreReply
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, c.config.BodyBytes)).Decode(&reply); err != nil {
		return nil, eris.Wrapf(err, "read the scores of %s", addr)
	}
	return reply.Scores, nil
}

// scorerAddr returns the next backend server of the service, of this data
// centre when it has any.
func (c *Controller) scorerAddr(service string, turn int) (string, bool) {
	var near, far []string
	for _, b := range c.inventory.BackendServers() {
		switch {
		case b.Kind != platform.KindService || b.Service != service || b.Leaving:
		case b.DataCentre == c.members.Self().DataCentre:
			near = append(near, b.Addr)
		default:
			far = append(far, b.Addr)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	return near[turn%len(near)], true
}
