package jobs

import (
	"fmt"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// Terms are what the route under which a job was accepted promised for it. They hold
// until the job ends, whatever routes later configurations add or change. The zero value
// promises nothing: the job was accepted by a version that did not store the terms.
type Terms struct {
	// PrefixBytes is the length of the route's prefix, which begins the job's path.
	PrefixBytes   int
	Retention     time.Duration
	MaxAttempts   int
	SingleVersion bool
}

// Upper bounds of the stored figures, which have a fixed number of digits.
const (
	maxPrefixBytes  = 999_999
	maxRetentionMs  = 999_999_999_999
	maxTermAttempts = 999_999
)

// NewTerms returns the terms of a route.
func NewTerms(r *deployment.Route) Terms {
	return Terms{PrefixBytes: len(r.Prefix), Retention: r.Retention, MaxAttempts: r.MaxAttempts, SingleVersion: r.SingleVersion}
}

// MarshalText implements encoding.TextMarshaler. The text always has the same length, so
// that the chunks of two submissions of a job under different configurations fit
// together.
func (t Terms) MarshalText() ([]byte, error) {
	single := 0
	if t.SingleVersion {
		single = 1
	}
	return fmt.Appendf(nil, "%06d %012d %06d %d", clamp(int64(t.PrefixBytes), maxPrefixBytes), clamp(t.Retention.Milliseconds(), maxRetentionMs), clamp(int64(t.MaxAttempts), maxTermAttempts), single), nil
}

func clamp(n, limit int64) int64 { return min(max(n, 0), limit) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Terms) UnmarshalText(text []byte) error {
	var retentionMs int64
	var single int
	if _, err := fmt.Sscanf(string(text), "%06d %012d %06d %d", &t.PrefixBytes, &retentionMs, &t.MaxAttempts, &single); err != nil {
		return fmt.Errorf("terms of a job %.60q: %w", text, err)
	}
	t.Retention, t.SingleVersion = time.Duration(retentionMs)*time.Millisecond, single == 1
	return nil
}

// RouteOf returns the route of a job under a configuration, with what was promised when
// the job was accepted, or nil if the job's route ended. That is the route for jobs with
// the same prefix, or, if there is none, the one for jobs with the longest prefix of the
// job's path. Routes of other kinds may have longer prefixes.
func RouteOf(c *deployment.Config, job *Job) *deployment.Route {
	route := c.JobRoute(job.Host, job.Path, job.Path[:min(job.Terms.PrefixBytes, len(job.Path))])
	if route == nil {
		return nil
	}
	kept := *route
	kept.Retention = max(kept.Retention, job.Terms.Retention)
	kept.MaxAttempts = max(kept.MaxAttempts, job.Terms.MaxAttempts)
	kept.SingleVersion = kept.SingleVersion || job.Terms.SingleVersion
	return &kept
}
