package owner

import (
	"net/http"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/limits"
)

// observeLimit applies what the response of an engine says about its rate limit.
func (c *Controller) observeLimit(addr string, response *http.Response, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.replicas {
		if r.Addr != addr {
			continue
		}
		o, says := limits.ReadHeader(ratelimit.Candidate{Server: id}, response, sent)
		if !says {
			return
		}
		if c.limits.Observe(o) {
			c.recorder.RecordDecision("limit", "", "server", id, "named", o.Named, "per_second", o.PerSecond, "status", response.StatusCode)
		}
		if last, known := c.limits.Last(id); known {
			c.dispatch(c.admit.SetRate(id, last.Named, last.PerSecond, o.At))
		}
	}
}
