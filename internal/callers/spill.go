package callers

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/route"
	"github.com/sesamestand/sesamestand/internal/core/spill"
)

// spillWork returns the input of spillVerdict, or nil if spillover is off. It reads all
// candidates, so it is called without mu.
func (c *Controller) spillWork(request route.Request, candidates []route.Candidate) *spill.Work {
	if c.spill == nil {
		return nil
	}
	work := route.SpillWork(request, candidates, c.spill.Config())
	return &work
}

// spillVerdict decides whether a request leaves the data centre, or returns nil if
// spillover is off. The caller holds mu.
func (c *Controller) spillVerdict(work *spill.Work, now time.Time) *spill.Verdict {
	if work == nil {
		return nil
	}
	before := c.spill.Share(work.Service)
	verdict := c.spill.Decide(*work, now)
	if after := c.spill.Share(work.Service); after != before {
		klog.InfoS("share of requests that may leave the data centre changed", "service", work.Service, "before", before, "after", after)
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
