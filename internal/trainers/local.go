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

// Trainer answers a call that another entry host forwarded. It is answered
// here even when this host takes another one for the home, because forwarding
// again could go round in circles.
func (c *Controller) Trainer(ctx context.Context, request *peerpb.TrainerRequest) (*peerpb.TrainerReply, error) {
	status, body, refusal := c.local(ctx, request.GetTrainer(), request.GetOperation(), request.GetBody())
	if refusal != nil {
		status = httpapi.Status(refusal.Reason)
		body = marshal(httpapi.NewRefusalBody("", refusal))
	}
	return &peerpb.TrainerReply{Status: int32(status), Body: body}, nil
}

// local runs an operation as the trainer's home.
func (c *Controller) local(ctx context.Context, name, operation string, body []byte) (int, []byte, *cluster.Refusal) {
	c.learn(ctx, name)
	switch operation {
	case operationGroups:
		var request GroupsRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return 0, nil, notRun(cluster.ReasonBadRequest, "read the groups: "+err.Error())
		}
		return c.groups(name, request)
	case operationPull:
		var request PullRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return 0, nil, notRun(cluster.ReasonBadRequest, "read the pull: "+err.Error())
		}
		return c.pull(ctx, name, request)
	case operationWeights:
		return c.weights(ctx, name, body)
	case operationKeep:
		return c.keep(name, body)
	}
	return 0, nil, notRun(cluster.ReasonUnknownName, "no such operation: "+operation)
}

func (c *Controller) groups(name string, request GroupsRequest) (int, []byte, *cluster.Refusal) {
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
	verdict, epoch := c.home.Submit(c.now(), name, request.Epoch, request.Step, groups)
	c.runSystems()
	c.recorder.Decision("trainer-groups", "", "trainer", name, "step", request.Step,
		"groups", len(groups), "epoch", epoch, "verdict", int(verdict))
	return answer(verdict, epoch, GroupsReply{Epoch: epoch, Accepted: len(groups)})
}

// answer turns a verdict into a status and a body.
func answer(verdict sample.CallStatus, epoch string, accepted any) (int, []byte, *cluster.Refusal) {
	switch verdict {
	case sample.Accepted:
		return http.StatusOK, marshal(accepted), nil
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

func (c *Controller) weights(ctx context.Context, name string, body []byte) (int, []byte, *cluster.Refusal) {
	model, refusal := c.announceHere(name, body)
	if refusal != nil {
		return 0, nil, refusal
	}
	c.spread(ctx, model, c.versions.Newest(model))
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.drained {
		c.sync()
		c.runSystems()
	}
	return http.StatusOK, marshal(WeightsReply{Version: c.versions.Newest(model)}), nil
}

// announceHere raises the newest version in this host's own table.
func (c *Controller) announceHere(name string, body []byte) (string, *cluster.Refusal) {
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

// pull answers as soon as a group is ready, and empty when none is in time or
// when a newer pull of the same trainer arrived. When the host leaves, a pull
// that waits is told an epoch that no home knows, so that its trainer moves to
// the next home.
func (c *Controller) pull(ctx context.Context, name string, request PullRequest) (int, []byte, *cluster.Refusal) {
	began := time.Now()
	timer := time.NewTimer(c.boundedWait(request.WaitMs))
	defer timer.Stop()
	c.mu.Lock()
	c.pulls[name]++
	mine := c.pulls[name]
	c.wake(name)
	c.mu.Unlock()
	over := false
	for tries := 0; ; tries++ {
		verdict, epoch, groups, wake, refusal := c.tryPull(name, request, mine)
		if refusal != nil && refusal.Reason == cluster.ReasonDraining && tries > 0 {
			return answer(sample.EpochChanged, newEpoch(), nil)
		}
		if refusal != nil {
			return 0, nil, refusal
		}
		if verdict != sample.Accepted || len(groups) > 0 || wake == nil || over {
			c.recorder.Observe("trainer_pull_wait_seconds", time.Since(began).Seconds(), "trainer", name)
			return answer(verdict, epoch, PullReply{Epoch: epoch, Groups: wireGroups(groups)})
		}
		select {
		case <-wake:
		case <-timer.C:
			over = true
		case <-c.draining:
			return answer(sample.EpochChanged, newEpoch(), nil)
		case <-ctx.Done():
			return 0, nil, &cluster.Refusal{
				Outcome: cluster.OutcomeUnknown, Reason: cluster.ReasonDeadline, Message: "the pull was given up",
			}
		}
	}
}

// tryPull pulls once. The returned channel is closed when another try makes
// sense; nil means that a newer pull took this one's place.
func (c *Controller) tryPull(name string, request PullRequest, mine int64) (
	sample.CallStatus, string, []sample.DeliveredGroup, <-chan struct{}, *cluster.Refusal,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained {
		return 0, "", nil, nil, notRun(cluster.ReasonDraining, "this host is leaving")
	}
	if c.pulls[name] != mine {
		return sample.Accepted, request.Epoch, nil, nil, nil
	}
	c.sync()
	verdict, epoch, groups := c.home.Pull(c.now(), name, request.Epoch, request.Cursor, request.Max)
	c.runSystems()
	c.observeStaleness(name, groups)
	return verdict, epoch, groups, c.waker(name), nil
}

func (c *Controller) observeStaleness(name string, groups []sample.DeliveredGroup) {
	newest := c.versions.Newest(c.declared[name].model)
	for _, g := range groups {
		c.recorder.Decision("trainer-deliver", "", "trainer", name, "group", g.ID, "seq", g.Seq)
		for _, s := range g.Samples {
			lowest := newest
			for _, v := range s.Versions {
				lowest = min(lowest, v)
			}
			c.recorder.Observe("trainer_staleness_versions", float64(newest-lowest), "trainer", name)
		}
	}
}

func (c *Controller) waker(name string) <-chan struct{} {
	if c.wakes[name] == nil {
		c.wakes[name] = make(chan struct{})
	}
	return c.wakes[name]
}

func (c *Controller) wake(name string) {
	if waiting := c.wakes[name]; waiting != nil {
		close(waiting)
		delete(c.wakes, name)
	}
}

// marshal encodes one of the wire types, which always succeeds.
func marshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // a wire type holds a value that JSON cannot express
	}
	return body
}
