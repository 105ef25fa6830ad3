package trainers

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/sample"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// Trainer serves a call that another entry host forwarded. It runs on this host
// even if another host is the coordinator in this host's view of the membership,
// because forwarding the call again could create a loop.
func (c *Controller) Trainer(ctx context.Context, request *peerpb.TrainerRequest) (*peerpb.TrainerReply, error) {
	status, body, refusal := c.serveLocal(ctx, request.GetTrainer(), request.GetOperation(), request.GetBody())
	if refusal != nil {
		status = httpapi.Status(refusal.Reason)
		body = marshal(httpapi.NewRefusalBody("", refusal))
	}
	return &peerpb.TrainerReply{Status: int32(status), Body: body}, nil
}

// serveLocal runs an operation on this host as the trainer's coordinator.
func (c *Controller) serveLocal(ctx context.Context, name, operation string, body []byte) (int, []byte, *cluster.Refusal) {
	c.fetchNewestVersion(ctx, name)
	switch operation {
	case operationGroups:
		var request GroupsRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return 0, nil, notRun(cluster.ReasonBadRequest, "read the groups: "+err.Error())
		}
		return c.submitGroups(name, request)
	case operationPull:
		var request PullRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return 0, nil, notRun(cluster.ReasonBadRequest, "read the pull: "+err.Error())
		}
		return c.pull(ctx, name, request)
	case operationWeights:
		return c.announceWeights(ctx, name, body)
	case operationHandover:
		return c.acceptHandover(name, body)
	}
	return 0, nil, notRun(cluster.ReasonUnknownName, "no such operation: "+operation)
}

func (c *Controller) submitGroups(name string, request GroupsRequest) (int, []byte, *cluster.Refusal) {
	groups := make([]sample.GroupSpec, len(request.Groups))
	for i, g := range request.Groups {
		if g.ID == "" {
			return 0, nil, notRun(cluster.ReasonBadRequest, "a group has no id")
		}
		groups[i] = sample.GroupSpec{ID: g.ID, Prompt: g.Prompt}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained {
		return 0, nil, notRun(cluster.ReasonDraining, "this host is leaving")
	}
	c.sync()
	status, epoch := c.coordinator.Submit(c.now(), name, request.Epoch, request.Step, groups)
	c.runCoordinator()
	c.recorder.RecordDecision("trainer-groups", "", "trainer", name, "step", request.Step,
		"groups", len(groups), "epoch", epoch, "verdict", int(status))
	return respond(status, epoch, GroupsReply{Epoch: epoch, Accepted: len(groups)})
}

// respond returns the HTTP status and the body, or the refusal, for a call status.
func respond(status sample.CallStatus, epoch string, reply any) (int, []byte, *cluster.Refusal) {
	switch status {
	case sample.Accepted:
		return http.StatusOK, marshal(reply), nil
	case sample.EpochChanged:
		return http.StatusConflict, marshal(EpochReply{Epoch: epoch}), nil
	case sample.AtCapacity:
		return 0, nil, notRun(cluster.ReasonOverload, "the trainer's memory is full; pull groups and try again")
	case sample.TooLarge:
		return 0, nil, notRun(cluster.ReasonTooLarge, "the groups exceed the trainer's memory bound")
	case sample.Conflict:
		return 0, nil, notRun(cluster.ReasonBadRequest, "a group ID is in use with another prompt or step")
	}
	return 0, nil, notRun(cluster.ReasonUnknownName, "the trainer is not declared")
}

func (c *Controller) announceWeights(ctx context.Context, name string, body []byte) (int, []byte, *cluster.Refusal) {
	model, refusal := c.announceLocally(name, body)
	if refusal != nil {
		return 0, nil, refusal
	}
	c.propagateVersion(ctx, model, c.versions.Newest(model))
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.drained {
		c.sync()
		c.runCoordinator()
	}
	return http.StatusOK, marshal(WeightsReply{Version: c.versions.Newest(model)}), nil
}

// announceLocally raises the newest version in this host's table and returns the
// model.
func (c *Controller) announceLocally(name string, body []byte) (string, *cluster.Refusal) {
	var request WeightsRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return "", notRun(cluster.ReasonBadRequest, "read the version: "+err.Error())
	}
	set, _ := c.configs.Current()
	if set == nil || set.Trainers[name] == nil {
		return "", notRun(cluster.ReasonUnknownName, "the trainer is not declared")
	}
	model := set.Trainers[name].Model
	c.versions.Announce(model, request.Version)
	return model, nil
}

// pull returns groups as soon as one is ready. It returns no groups if the wait
// has passed or a newer pull of the same trainer has arrived. When the host
// drains, a waiting pull gets a new epoch that is unknown to every coordinator,
// so that the trainer continues at the next coordinator.
func (c *Controller) pull(ctx context.Context, name string, request PullRequest) (int, []byte, *cluster.Refusal) {
	start := time.Now()
	timer := time.NewTimer(c.clampPullWait(request.WaitMs))
	defer timer.Stop()
	c.mu.Lock()
	c.latestPull[name]++
	number := c.latestPull[name]
	c.signalPulls(name)
	c.mu.Unlock()
	timedOut := false
	for attempt := 0; ; attempt++ {
		status, epoch, groups, retry, refusal := c.tryPull(name, request, number)
		if refusal != nil && refusal.Reason == cluster.ReasonDraining && attempt > 0 {
			return respond(sample.EpochChanged, newEpoch(), nil)
		}
		if refusal != nil {
			return 0, nil, refusal
		}
		if status != sample.Accepted || len(groups) > 0 || retry == nil || timedOut {
			c.recorder.Observe("trainer_pull_wait_seconds", time.Since(start).Seconds(), "trainer", name)
			return respond(status, epoch, PullReply{Epoch: epoch, Groups: wireGroups(groups)})
		}
		select {
		case <-retry:
		case <-timer.C:
			timedOut = true
		case <-c.draining:
			return respond(sample.EpochChanged, newEpoch(), nil)
		case <-ctx.Done():
			return 0, nil, &cluster.Refusal{
				Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonDeadline, Message: "the pull was given up",
			}
		}
	}
}

// tryPull pulls once without waiting. The returned channel is closed when the
// pull should be retried; it is nil if a newer pull has replaced this one.
func (c *Controller) tryPull(name string, request PullRequest, number int64) (
	sample.CallStatus, string, []sample.DeliveredGroup, <-chan struct{}, *cluster.Refusal,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained {
		return 0, "", nil, nil, notRun(cluster.ReasonDraining, "this host is leaving")
	}
	if c.latestPull[name] != number {
		return sample.Accepted, request.Epoch, nil, nil, nil
	}
	c.sync()
	status, epoch, groups := c.coordinator.Pull(c.now(), name, request.Epoch, request.Cursor, request.Max)
	c.runCoordinator()
	c.recordDelivery(name, groups)
	return status, epoch, groups, c.pullSignal(name), nil
}

func (c *Controller) recordDelivery(name string, groups []sample.DeliveredGroup) {
	newest := c.versions.Newest(c.specs[name].model)
	for _, g := range groups {
		c.recorder.RecordDecision("trainer-deliver", "", "trainer", name, "group", g.ID, "seq", g.Seq)
		for _, s := range g.Samples {
			lowest := newest
			for _, v := range s.Versions {
				lowest = min(lowest, v)
			}
			c.recorder.Observe("trainer_staleness_versions", float64(newest-lowest), "trainer", name)
		}
	}
}

func (c *Controller) pullSignal(name string) <-chan struct{} {
	if c.pullSignals[name] == nil {
		c.pullSignals[name] = make(chan struct{})
	}
	return c.pullSignals[name]
}

func (c *Controller) signalPulls(name string) {
	if waiting := c.pullSignals[name]; waiting != nil {
		close(waiting)
		delete(c.pullSignals, name)
	}
}

// marshal encodes a value of one of the wire types, for which encoding cannot
// fail.
func marshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // a wire type contains a value that JSON cannot represent
	}
	return body
}
