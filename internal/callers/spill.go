package callers

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/core/spill"
)

// spillVerdict decides whether a request leaves the data centre, or returns nil if
// spillover is off. The caller holds mu.
func (c *Controller) spillVerdict(request route.Request, candidates []route.Candidate, now time.Time) *spill.Verdict {
	if c.spill == nil {
		return nil
	}
	before := c.spill.Share(request.Model)
	verdict := c.spill.Decide(route.SpillWork(request, candidates, c.spill.Config()), now)
	if after := c.spill.Share(request.Model); after != before {
		klog.InfoS("share of requests that may leave the data centre changed", "service", request.Model, "before", before, "after", after)
	}
	return &verdict
}

// placeDetails returns the details of a decision line on whether a request left its data
// centre, and counts those that left. There are none while spillover is off.
func (c *Controller) placeDetails(request route.Request, chosen *route.Candidate) []any {
	if request.Spill == nil {
		return nil
	}
	reason := request.Spill.Reason
	if chosen.DataCentre == request.DataCentre {
		return []any{"place", "local", "place_why", string(reason)}
	}
	if !request.Spill.Leaves() {
		reason = spill.NoLocalServer
	}
	c.recorder.Count("work_left_total", "call", "completion", "reason", string(reason))
	return []any{"place", chosen.DataCentre, "place_why", string(reason)}
}
