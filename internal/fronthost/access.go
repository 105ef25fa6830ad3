package fronthost

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/settings"
)

// Caller is who sends a request: a workspace and the key that showed it. The zero Caller
// needs no key.
type Caller struct {
	workspace *workspace.Workspace
	key       workspace.KeyHash
	// checked is set if the configuration declared workspaces when the request arrived, and
	// for requests of this host itself.
	checked bool
}

// Workspace returns the name of the caller's workspace, or "".
func (c Caller) Workspace() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

func (c Caller) sender() backend.Sender {
	return backend.Sender{Workspace: c.Workspace(), Checked: c.checked}
}

// senderOf returns the sender of the items of a job. The caller holds mu.
func (h *Host) senderOf(job *jobs.Job) backend.Sender {
	return backend.Sender{Workspace: job.Workspace, Checked: job.Workspace != "" || h.state.Config.Workspaces.Enabled()}
}

// freshChecks is the part of revoke_within, as a divisor, from which on the configuration
// is read again if its newest complete read is older.
const freshChecks = 5

// permission is the host's permission to run requests with keys.
type permission struct {
	terms workspace.Terms
	// asOf returns the time of the newest complete read of the configuration, and now the
	// time on the same clock.
	asOf func() time.Time
	now  func() time.Time

	lapsed bool // at the last observation
}

func newPermission(s settings.Settings, asOf func() time.Time) *permission {
	return &permission{
		terms: workspace.Terms{Strict: s.Limits.StrictRevocation, RevokeWithin: s.Timing.RevokeWithin},
		asOf:  asOf, now: boottime.Now, lapsed: s.Limits.StrictRevocation,
	}
}

// observePermission logs when the permission lapses and returns. It is called by one
// goroutine.
func (h *Host) observePermission() {
	p := h.permission
	asOf, now := p.asOf(), p.now()
	lapsed := !p.terms.Allows(asOf, now)
	if lapsed == p.lapsed {
		return
	}
	p.lapsed = lapsed
	klog.InfoS("permission to run requests with keys lapsed or returned", "lapsed", lapsed, "read_age", now.Sub(asOf), "revoke_within", p.terms.RevokeWithin)
	if lapsed {
		h.recorder.Count("permission_lapses_total")
	}
}

// age returns the time since the newest complete read.
func (p *permission) age() time.Duration { return p.now().Sub(p.asOf()) }

// Authorize returns the caller of a request by the values of its Authorization header, or
// a refusal. The request needs no key if route is public or the configuration declares no
// workspaces; route is nil for calls on jobs.
func (h *Host) Authorize(id string, route *deployment.Route, authorization []string) (Caller, *Refusal) {
	// The configuration is read after the time up to which it is complete, and the clock last.
	asOf := h.permission.asOf()
	config := h.Config()
	if config == nil {
		return Caller{}, h.RefuseNotReady(id)
	}
	if !config.Workspaces.Enabled() {
		return Caller{}, nil
	}
	if route != nil && route.Public {
		return Caller{checked: true}, nil
	}
	var key *workspace.KeyHash
	if text, ok := workspace.BearerKey(authorization); ok {
		hash := workspace.HashKey(text)
		key = &hash
	}
	found, verdict := h.permission.terms.Authorize(config.Workspaces, key, asOf, h.permission.now())
	if verdict != workspace.Admitted {
		return Caller{}, h.refuseAccess(id, verdict)
	}
	return Caller{workspace: found, key: *key, checked: true}, nil
}

// readmit decides again on a caller before a send, and returns the time after which the
// request must not reach a backend server; zero means no limit.
func (h *Host) readmit(c Caller) (expires time.Time, verdict workspace.Verdict) {
	asOf := h.permission.asOf()
	directory := h.Config().Workspaces
	switch {
	case !directory.Enabled(), c.workspace == nil && c.checked:
		return time.Time{}, workspace.Admitted
	case !c.checked:
		// The configuration declared no workspaces when the request arrived. Its key was not
		// looked up, and would be forwarded.
		return time.Time{}, workspace.Undecided
	}
	found, verdict := h.permission.terms.Authorize(directory, &c.key, asOf, h.permission.now())
	if found != nil && found.Name != c.workspace.Name {
		verdict = workspace.UnknownKey // another workspace has the key now
	}
	return h.permission.terms.Expiry(asOf), verdict
}

// Readmit is Authorize for a caller that was admitted when its request arrived.
func (h *Host) Readmit(id string, c Caller) *Refusal {
	if _, verdict := h.readmit(c); verdict != workspace.Admitted {
		return h.refuseAccess(id, verdict)
	}
	return nil
}

// refuseAccess refuses a request that was not sent to any backend server.
func (h *Host) refuseAccess(id string, verdict workspace.Verdict) *Refusal {
	refusal := h.accessRefusal(verdict)
	h.recorder.RecordDecision("request", id, "outcome", "refused", "reason", string(refusal.Reason), "read_age_ms", h.permission.age().Milliseconds())
	return refusal
}

func (h *Host) accessRefusal(verdict workspace.Verdict) *Refusal {
	refusal := newAccessRefusal(verdict)
	h.recorder.Count("access_refused_total", "reason", string(refusal.Reason))
	return refusal
}

func newAccessRefusal(verdict workspace.Verdict) *Refusal {
	if verdict == workspace.UnknownKey {
		return notRunRefusal(cluster.ReasonUnauthorized, "the request needs a valid key")
	}
	refusal := notRunRefusal(cluster.ReasonNoPermission, "the host does not know whether the key is valid")
	refusal.RetryAfter = storeRetryAfter
	return refusal
}
