package trainers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/core/sample"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// runCoordinator runs the coordinator and executes its actions. The caller holds
// mu.
func (c *Controller) runCoordinator() {
	for _, action := range c.coordinator.Run(c.now()) {
		switch a := action.(type) {
		case sample.StartSample:
			c.startSample(a)
		case sample.CancelSample:
			if cancel := c.cancelSample[a.SampleID]; cancel != nil {
				cancel()
			}
		case sample.ScoreGroup:
			c.startScoring(a)
		case sample.RetryPull:
			c.signalPulls(a.Trainer)
		}
	}
}

func (c *Controller) startSample(a sample.StartSample) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.SampleTimeout)
	c.cancelSample[a.SampleID] = cancel
	spec := c.specs[a.Trainer]
	c.recorder.RecordDecision("sample-start", a.SampleID, "trainer", a.Trainer, "group", a.Group,
		"min_version", a.MinVersion, "hedge", a.Hedge, "avoid", a.Avoid)
	c.work.Go(func() {
		defer cancel()
		err := c.generate(ctx, spec, a)
		if err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("sample failed", "sample", a.SampleID, "trainer", a.Trainer, "err", err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cancelSample, a.SampleID)
		if refusal := (*cluster.Refusal)(nil); errors.As(err, &refusal) && isPermanent(refusal.Reason) {
			c.coordinator.RecordRefusal(c.now(), a.SampleID, string(refusal.Reason))
		}
		c.coordinator.RecordEnd(c.now(), a.SampleID)
		c.runCoordinator()
	})
}

// isPermanent reports whether a refusal is caused by the prompt, so that every
// other attempt to generate the sample would be refused too. A sample under which
// engines crashed is still owed, also if a host of an earlier version refuses it.
func isPermanent(reason cluster.Reason) bool {
	return reason == cluster.ReasonBadRequest || reason == cluster.ReasonTooLarge
}

func (c *Controller) generate(ctx context.Context, spec trainerSpec, a sample.StartSample) error {
	generation := cluster.Generation{
		RequestID:  a.SampleID,
		Model:      spec.model,
		Prompt:     a.Prompt,
		MaxTokens:  a.MaxTokens,
		Seed:       int64(xxhash.Sum64String(a.SampleID) >> 1),
		Class:      declare.ClassTraining,
		Trainer:    a.Trainer,
		Caller:     cluster.Caller{Workspace: spec.workspace, Checked: spec.workspace != ""},
		MinVersion: a.MinVersion,
		Avoid:      a.Avoid,
		Priority:   a.Priority,
		OnReplicaChosen: func(replica string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.coordinator.SetReplica(a.SampleID, replica)
		},
	}
	return c.generator.Generate(ctx, generation, func(chunk engine.Chunk) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.coordinator.AppendChunk(c.now(), a.SampleID, chunk.Token, chunk.WeightVersion, chunk.FinishReason) {
			c.runCoordinator()
		}
		return nil
	})
}

func (c *Controller) startScoring(a sample.ScoreGroup) {
	scorer := c.specs[a.Trainer].scorer
	slots := c.scoringSlots[a.Trainer]
	if slots == nil {
		slots = make(chan struct{}, c.config.ScoreConcurrency)
		c.scoringSlots[a.Trainer] = slots
	}
	c.scorerRotation++
	rotation := c.scorerRotation
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, c.config.ScoreTimeout)
		defer cancel()
		scores, err := c.scoreWithRetries(ctx, slots, scorer, rotation, a)
		if err != nil {
			klog.V(1).InfoS("scoring failed", "trainer", a.Trainer, "group", a.Group, "err", err)
			c.recorder.Count("trainer_scoring_failed_total", "trainer", a.Trainer)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.coordinator.RecordScores(c.now(), a.Trainer, a.Group, a.Attempt, scores)
		c.runCoordinator()
	})
}

func (c *Controller) scoreWithRetries(ctx context.Context, slots chan struct{}, scorer string, rotation int, a sample.ScoreGroup) ([]float64, error) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "wait for a scoring slot")
	}
	body := marshal(ScoreRequest{Group: a.Group, Samples: a.Samples})
	for attempt := 0; ; attempt++ {
		scores, retryAfter, err := c.scoreOnce(ctx, scorer, rotation+attempt, body, a.Trainer+"/"+a.Group)
		if err == nil && len(scores) == len(a.Samples) {
			return scores, nil
		}
		if err == nil {
			err = eris.Errorf("scoring service returned %d scores for %d samples", len(scores), len(a.Samples))
		}
		select {
		case <-time.After(max(scoreRetryDelay, retryAfter)):
		case <-ctx.Done():
			return nil, err
		}
	}
}

const (
	scoreRetryDelay = 100 * time.Millisecond
	// scoreAttempts is the number of attempts at unresponsive servers that fit into
	// the deadline of a group.
	scoreAttempts = 3
)

// scoreOnce sends a scoring request to one backend server of the scoring service. If
// the servers accept no request now, it returns the time after which to try again.
func (c *Controller) scoreOnce(ctx context.Context, scorer string, rotation int, body []byte, id string) ([]float64, time.Duration, error) {
	server, retryAfter, err := c.selectScorer(ctx, scorer, rotation, id)
	if err != nil {
		return nil, retryAfter, err
	}
	scores, err := c.callScorer(ctx, server, body)
	return scores, 0, err
}

// selectScorer selects a backend server of the scoring service in rotation, after the
// call has waited for its turn if the server has a rate limit.
func (c *Controller) selectScorer(ctx context.Context, scorer string, rotation int, id string) (platform.BackendServer, time.Duration, error) {
	servers := c.scoringServers(scorer)
	if len(servers) == 0 {
		return platform.BackendServer{}, 0, eris.Errorf("no backend server of scoring service %q is known", scorer)
	}
	now := time.Now()
	request := limits.Request{ID: id, Service: scorer, Background: true, Patience: c.config.ScoreTimeout / scoreAttempts}
	var candidates []ratelimit.Candidate
	for i := range servers {
		candidate := ratelimit.Candidate{Server: servers[(rotation+i)%len(servers)].ID}
		candidates = append(candidates, candidate)
		switch {
		case c.limits.State(candidate, now) == ratelimit.Limited:
			request.Limited = append(request.Limited, candidate)
		case request.Best == nil:
			request.Best = &candidate
		}
	}
	selected := c.limits.Select(ctx, request)
	for _, s := range servers {
		if s.ID == selected {
			return s, 0, nil
		}
	}
	return platform.BackendServer{}, c.limits.RetryAfter(candidates, c.config.ScoreTimeout), eris.Errorf("the backend servers of scoring service %q accept no further request now", scorer)
}

// callScorer sends a scoring request to one backend server.
func (c *Controller) callScorer(ctx context.Context, server platform.BackendServer, body []byte) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ScoreTimeout/scoreAttempts)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Addr+"/score", bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create the scoring request")
	}
	request.Header.Set("Content-Type", "application/json")
	if c.config.BackendToken != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.BackendToken)
	}
	sent := time.Now()
	response, err := c.scorers.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "call scorer %s", server.ID)
	}
	defer func() { _ = response.Body.Close() }()
	c.limits.ObserveHeader(server.Service, ratelimit.Candidate{Server: server.ID}, response, sent)
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("scorer %s answered status %d", server.ID, response.StatusCode)
	}
	// The body is read to its end, so that one that ends early is an error.
	data, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, c.config.MaxBodyBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "read the scores from %s", server.ID)
	}
	var reply ScoreReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, eris.Wrapf(err, "decode the scores from %s", server.ID)
	}
	return reply.Scores, nil
}

// scoringServers returns the backend servers of a scoring service: those of this data
// centre if there are any.
func (c *Controller) scoringServers(service string) []platform.BackendServer {
	var local, remote []platform.BackendServer
	for _, b := range c.inventory.BackendServers() {
		switch {
		case b.Kind != platform.KindService || b.Service != service || b.Leaving:
		case b.DataCentre == c.members.Self().DataCentre:
			local = append(local, b)
		default:
			remote = append(remote, b)
		}
	}
	if len(local) == 0 {
		return remote
	}
	return local
}
