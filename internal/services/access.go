package services

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/intent"
	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// isPublic returns what reports whether a path leads to a service that needs no key.
func isPublic(path string) func(*declare.Set) bool {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, PathPrefix), "/")
	return func(set *declare.Set) bool { return set.PublicService(name) }
}

// setWorkspace replaces what the caller sent in the header with the workspace's name. If
// no workspaces are declared, the header is forwarded as any other.
func setWorkspace(header http.Header, caller cluster.Caller) {
	if caller.Checked {
		header.Del(workspace.Header)
	}
	if caller.Workspace != "" {
		header.Set(workspace.Header, caller.Workspace)
	}
}

// acquire selects a backend server, which may wait for a grant, and decides again whether
// the caller's key permits to send the request. It returns the time after which the request
// must not reach the server; zero means no limit.
func (c *Controller) acquire(ctx context.Context, r *request, tried []string) (platform.BackendServer, time.Time, *cluster.Refusal) {
	server, refusal := c.backends.acquire(ctx, r, tried, time.Now())
	if refusal != nil {
		return server, time.Time{}, refusal
	}
	expires, refusal := c.gate.Readmit(r.caller, r.id)
	if refusal != nil {
		c.backends.release(server.ID, false, time.Now())
	}
	return server, expires, refusal
}

// usedWithoutWorkspace returns a refusal if a call with the key that the caller sent may
// have run before the configuration declared workspaces, when keys were not separate.
func (c *Controller) usedWithoutWorkspace(r *request) *cluster.Refusal {
	if r.caller.Workspace == "" {
		return nil
	}
	key, err := intent.ParseKey(r.header.Get(httpapi.HeaderIdempotencyKey))
	if err != nil {
		return nil
	}
	view := c.ledgerView(func(l *intent.Ledger) intent.AttemptView { return l.ByKey(key, time.Now()) })
	if view.Stage == intent.StageAbandoned {
		return nil
	}
	return unknown(cluster.ReasonKeyInvalid, "the key was used without a workspace", "")
}
