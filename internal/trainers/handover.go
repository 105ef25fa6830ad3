package trainers

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/sample"
)

const (
	// handoverTimeout bounds one handover. Samples that were not handed over in time
	// are generated again.
	handoverTimeout = 3 * time.Second
	// maxBatchBytes bounds the prompts and samples of one call, unless a single
	// group exceeds it. It leaves room below the 4 MiB that gRPC servers accept by
	// default.
	maxBatchBytes = 1 << 20
)

// handoverRequest is the body of operationHandover.
type handoverRequest struct {
	Groups []handoverGroup `json:"groups"`
}

type handoverGroup struct {
	ID      string   `json:"id"`
	Prompt  string   `json:"prompt"`
	Step    int64    `json:"step"`
	Samples []Sample `json:"samples"`
}

// handover holds the groups of one trainer for its next coordinator.
type handover struct {
	trainer     string
	coordinator cluster.Member
	groups      []sample.HandoverGroup
}

// pendingHandovers returns the groups of all trainers with their next
// coordinators. The caller holds mu.
func (c *Controller) pendingHandovers() []handover {
	var all []handover
	for name := range c.specs {
		groups := c.coordinator.Export(name)
		if next, ok := c.coordinatorOf(name); ok && len(groups) > 0 {
			all = append(all, handover{trainer: name, coordinator: next, groups: groups})
		}
	}
	return all
}

// handOver sends the groups to their next coordinators. It returns when all are
// sent, or after handoverTimeout.
func (c *Controller) handOver(all []handover) {
	ctx, cancel := context.WithTimeout(c.ctx, handoverTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, h := range all {
		calls.Go(func() {
			for len(h.groups) > 0 {
				var batch handoverRequest
				batch, h.groups = nextBatch(h.groups)
				if _, _, refusal := c.forward(ctx, h.coordinator, h.trainer, operationHandover, marshal(batch)); refusal != nil {
					klog.InfoS("failed to hand over samples", "trainer", h.trainer, "home", h.coordinator.ID, "groups", len(batch.Groups), "err", refusal)
				}
				c.recorder.RecordDecision("trainer-handover", "", "trainer", h.trainer, "home", h.coordinator.ID, "groups", len(batch.Groups))
			}
		})
	}
	calls.Wait()
}

// nextBatch returns the groups for one call, at least one, and the remaining
// ones.
func nextBatch(groups []sample.HandoverGroup) (handoverRequest, []sample.HandoverGroup) {
	var batch handoverRequest
	remainingBytes := int64(maxBatchBytes)
	for i, group := range groups {
		remainingBytes -= group.Bytes + int64(len(group.Prompt))
		if i > 0 && remainingBytes < 0 {
			return batch, groups[i:]
		}
		g := handoverGroup{ID: group.ID, Prompt: group.Prompt, Step: group.Step}
		for _, s := range group.Samples {
			g.Samples = append(g.Samples, Sample{ID: s.ID, Tokens: s.Tokens, Versions: s.Versions, FinishReason: s.FinishReason})
		}
		batch.Groups = append(batch.Groups, g)
	}
	return batch, nil
}

// acceptHandover imports the complete samples of a previous coordinator.
func (c *Controller) acceptHandover(name string, body []byte) (int, []byte, *cluster.Refusal) {
	var request handoverRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return 0, nil, notRun(cluster.ReasonBadRequest, "read the kept groups: "+err.Error())
	}
	groups := make([]sample.HandoverGroup, len(request.Groups))
	for i, g := range request.Groups {
		groups[i] = sample.HandoverGroup{ID: g.ID, Prompt: g.Prompt, Step: g.Step}
		for _, s := range g.Samples {
			groups[i].Samples = append(groups[i].Samples, sample.DeliveredSample{ID: s.ID, Tokens: s.Tokens, Versions: s.Versions, FinishReason: s.FinishReason})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained {
		return 0, nil, notRun(cluster.ReasonDraining, "this host is leaving")
	}
	c.sync()
	c.coordinator.Import(c.now(), name, groups)
	c.runCoordinator()
	return http.StatusOK, []byte("{}"), nil
}
