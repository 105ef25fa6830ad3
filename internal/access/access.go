// Package access decides which requests of callers may run on this entry host, by the
// workspaces of the configuration and the time of its newest complete read.
package access

import (
	"net/http"
	"time"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// RetryAfter is when callers should retry that were refused because the configuration is
// too old. Another host may have read it.
const RetryAfter = time.Second

// Source provides the configuration.
type Source interface {
	cluster.Configs
	// CompleteAsOf returns the time on the clock of boottime.Now up to which the
	// configuration is complete, or zero.
	CompleteAsOf() time.Time
}

// Gate admits requests. A nil Gate admits all of them. It is safe for concurrent use.
type Gate struct {
	terms    workspace.Terms
	source   Source
	recorder *telemetry.Recorder
	now      func() time.Time
}

// New returns a Gate.
func New(terms workspace.Terms, source Source, recorder *telemetry.Recorder) *Gate {
	return &Gate{terms: terms, source: source, recorder: recorder, now: boottime.Now}
}

// Admit returns the caller of a request by its Authorization header, or a refusal. The
// request needs no key if it is public or if no workspaces are declared.
func (g *Gate) Admit(r *http.Request, isPublic func(*declare.Set) bool) (cluster.Caller, *cluster.Refusal) {
	if g == nil {
		return cluster.Caller{}, nil
	}
	// The configuration is read after the time up to which it is complete, and the clock last.
	asOf := g.source.CompleteAsOf()
	set, _ := g.source.Current()
	switch {
	case set == nil || !set.Workspaces.Enabled():
		return cluster.Caller{}, nil
	case isPublic(set):
		return cluster.Caller{Checked: true}, nil
	}
	var key *workspace.KeyHash
	if text, ok := workspace.BearerKey(r.Header["Authorization"]); ok {
		hash := workspace.HashKey(text)
		key = &hash
	}
	found, verdict := g.terms.Authorize(set.Workspaces, key, asOf, g.now())
	if verdict != workspace.Admitted {
		refusal := g.refuse(verdict, r.Header.Get(httpapi.HeaderRequestID))
		if verdict == workspace.Undecided && MayHaveRunBefore(r) {
			refusal.Outcome = cluster.OutcomeUnknown
		}
		return cluster.Caller{}, refusal
	}
	return cluster.Caller{Workspace: found.Name, Key: *key, Checked: true}, nil
}

// MayHaveRunBefore reports whether an earlier attempt of the request may have run through
// another host, so that this one cannot refuse it as not run.
func MayHaveRunBefore(r *http.Request) bool {
	return r.Header.Get(httpapi.HeaderRequestID) != "" || r.Header.Get(httpapi.HeaderIdempotencyKey) != ""
}

// Readmit decides again on the admitted caller of a request before a send to a backend
// server. It returns the time after which the request must not reach the server (zero: no limit), or a refusal.
func (g *Gate) Readmit(c cluster.Caller, requestID string) (time.Time, *cluster.Refusal) {
	if g == nil || !c.HasKey() {
		return time.Time{}, nil
	}
	asOf := g.source.CompleteAsOf()
	set, _ := g.source.Current()
	if set == nil || !set.Workspaces.Enabled() {
		return time.Time{}, nil
	}
	found, verdict := g.terms.Authorize(set.Workspaces, &c.Key, asOf, g.now())
	if found != nil && found.Name != c.Workspace {
		verdict = workspace.UnknownKey // another workspace has the key now
	}
	if verdict != workspace.Admitted {
		return time.Time{}, g.refuse(verdict, requestID)
	}
	return g.terms.Expiry(asOf), nil
}

// Workspaces returns the directory of the newest configuration, which may be nil.
func (g *Gate) Workspaces() *workspace.Directory {
	if g == nil {
		return nil
	}
	set, _ := g.source.Current()
	if set == nil {
		return nil
	}
	return set.Workspaces
}

func (g *Gate) refuse(verdict workspace.Verdict, requestID string) *cluster.Refusal {
	refusal := &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonUnauthorized, Message: "the request needs a valid key"}
	if verdict == workspace.Undecided {
		refusal.Reason, refusal.RetryAfter = cluster.ReasonNoPermission, RetryAfter
		refusal.Message = "the host does not know whether the key is valid"
	}
	g.recorder.Count("access_refused_total", "reason", string(refusal.Reason))
	g.recorder.RecordDecision("access", requestID, "refused", refusal.Reason, "read_age_ms", g.now().Sub(g.source.CompleteAsOf()).Milliseconds())
	return refusal
}
