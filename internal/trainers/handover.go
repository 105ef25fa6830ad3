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
	// handoverTimeout bounds handing over when a host leaves. What was not
	// handed over is sampled again.
	handoverTimeout = 3 * time.Second
	// handoverBytes bounds the samples of one call, below the 4 MiB that gRPC
	// servers take by default.
	handoverBytes = 1 << 20
)

// keepRequest is the body of the operation keep.
type keepRequest struct {
	Groups []keptGroup `json:"groups"`
}

type keptGroup struct {
	ID      string   `json:"id"`
	Prompt  string   `json:"prompt"`
	Step    int64    `json:"step"`
	Samples []Sample `json:"samples"`
}

// handover is what one trainer's next home gets.
type handover struct {
	trainer string
	home    cluster.Member
	groups  []sample.HandoverGroup
}

// handovers lists what the next homes of all trainers get. The caller holds
// the lock.
func (c *Controller) handovers() []handover {
	var all []handover
	for name := range c.declared {
		groups := c.home.Export(name)
		if home, ok := c.homeOf(name); ok && len(groups) > 0 {
			all = append(all, handover{trainer: name, home: home, groups: groups})
		}
	}
	return all
}

func (c *Controller) handOver(all []handover) {
	ctx, cancel := context.WithTimeout(c.ctx, handoverTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, h := range all {
		calls.Go(func() {
			for len(h.groups) > 0 {
				var batch keepRequest
				batch, h.groups = nextBatch(h.groups)
				if _, _, refusal := c.forward(ctx, h.home, h.trainer, operationKeep, marshal(batch)); refusal != nil {
					klog.InfoS("samples were not handed over", "trainer", h.trainer, "home", h.home.ID, "groups", len(batch.Groups), "err", refusal)
				}
				c.recorder.Decision("trainer-handover", "", "trainer", h.trainer, "home", h.home.ID, "groups", len(batch.Groups))
			}
		})
	}
	calls.Wait()
}

// nextBatch takes groups for one call, at least one, and returns the rest.
func nextBatch(groups []sample.HandoverGroup) (keepRequest, []sample.HandoverGroup) {
	var batch keepRequest
	room := int64(handoverBytes)
	for i, k := range groups {
		room -= k.Bytes + int64(len(k.Prompt))
		if i > 0 && room < 0 {
			return batch, groups[i:]
		}
		g := keptGroup{ID: k.ID, Prompt: k.Prompt, Step: k.Step}
		for _, s := range k.Samples {
			g.Samples = append(g.Samples, Sample{ID: s.ID, Tokens: s.Tokens, Versions: s.Versions, FinishReason: s.FinishReason})
		}
		batch.Groups = append(batch.Groups, g)
	}
	return batch, nil
}

// keep takes the complete samples of a home that leaves.
func (c *Controller) keep(name string, body []byte) (int, []byte, *cluster.Refusal) {
	var request keepRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return 0, nil, notRun(cluster.ReasonBadRequest, "read the kept groups: "+err.Error())
	}
	kept := make([]sample.HandoverGroup, len(request.Groups))
	for i, g := range request.Groups {
		kept[i] = sample.HandoverGroup{ID: g.ID, Prompt: g.Prompt, Step: g.Step}
		for _, s := range g.Samples {
			kept[i].Samples = append(kept[i].Samples, sample.DeliveredSample{ID: s.ID, Tokens: s.Tokens, Versions: s.Versions, FinishReason: s.FinishReason})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained {
		return 0, nil, notRun(cluster.ReasonDraining, "this host is leaving")
	}
	c.sync()
	c.home.Import(c.now(), name, kept)
	c.runSystems()
	return http.StatusOK, []byte("{}"), nil
}
