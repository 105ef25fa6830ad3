package access_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/testaccess"
)

func request(authorization, id string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	if id != "" {
		r.Header.Set(httpapi.HeaderRequestID, id)
	}
	return r
}

func isPublic(public bool) func(*declare.Set) bool {
	return func(*declare.Set) bool { return public }
}

// Guards against a key that is not required or not found, a key on a public route that
// names a workspace, and a refusal that hides that an earlier attempt may have run.
func TestAdmit(t *testing.T) {
	source := testaccess.New(t, testaccess.Workspaces())
	gate := source.Gate()
	for _, c := range []struct {
		authorization, id string
		public, old       bool
		workspace         string
		outcome           cluster.Outcome
		reason            cluster.Reason
	}{
		{authorization: "Bearer acme-2", id: "r", workspace: "acme"},
		{authorization: "bearer other-1", workspace: "other"},
		{authorization: "Bearer acme-3", outcome: cluster.OutcomeNotRun, reason: cluster.ReasonUnauthorized},
		{id: "r", outcome: cluster.OutcomeNotRun, reason: cluster.ReasonUnauthorized},
		{public: true},
		{authorization: "Bearer acme-1", public: true, old: true},
		{authorization: "Bearer acme-1", old: true, outcome: cluster.OutcomeNotRun, reason: cluster.ReasonNoPermission},
		{authorization: "Bearer acme-3", id: "r", old: true, outcome: cluster.OutcomeUnknown, reason: cluster.ReasonNoPermission},
	} {
		source.Read(testaccess.Workspaces())
		if c.old {
			source.Age(time.Hour)
		}
		caller, refusal := gate.Admit(request(c.authorization, c.id), isPublic(c.public))
		must.EqOp(t, c.workspace, caller.Workspace)
		must.EqOp(t, c.reason == "", refusal == nil && caller.Checked)
		must.EqOp(t, c.workspace != "", caller.HasKey())
		if refusal != nil {
			must.EqOp(t, c.outcome, refusal.Outcome)
			must.EqOp(t, c.reason, refusal.Reason)
			must.EqOp(t, c.reason == cluster.ReasonNoPermission, refusal.RetryAfter > 0)
		}
	}
}

// Guards against keys that are required, or headers that are changed, although the
// configuration declares no workspaces.
func TestNothingChangesWithoutWorkspaces(t *testing.T) {
	source := testaccess.New(t, "[service s]\n")
	source.Age(24 * time.Hour)
	for _, gate := range []*access.Gate{nil, source.Gate()} {
		caller, refusal := gate.Admit(request("Bearer acme-1", ""), isPublic(false))
		must.Nil(t, refusal)
		must.EqOp(t, cluster.Caller{}, caller)
		must.EqOp(t, "~aaaaaaaaaaaa~r", caller.QualifyID("~aaaaaaaaaaaa~r"))
		expires, refusal := gate.Readmit(caller, "r")
		must.Nil(t, refusal)
		must.True(t, expires.IsZero())
	}
}

// Guards against a further send of a request whose key was removed or moved to another
// workspace, or about which the host may not know that it was.
func TestReadmit(t *testing.T) {
	source := testaccess.New(t, testaccess.Workspaces())
	gate := source.Gate()
	caller, refusal := gate.Admit(request("Bearer acme-1", ""), isPublic(false))
	must.Nil(t, refusal)
	expires, refusal := gate.Readmit(caller, "r")
	must.Nil(t, refusal)
	must.Between(t, 36*time.Minute, expires.Sub(source.CompleteAsOf()), 54*time.Minute)
	source.Age(time.Hour)
	_, refusal = gate.Readmit(caller, "r")
	must.EqOp(t, cluster.ReasonNoPermission, refusal.Reason)
	source.Read(testaccess.Other())
	_, refusal = gate.Readmit(caller, "r")
	must.EqOp(t, cluster.ReasonUnauthorized, refusal.Reason)
	source.Read("[workspace new]\nkey_hashes = " + caller.Key.String() + "\n")
	_, refusal = gate.Readmit(caller, "r")
	must.EqOp(t, cluster.ReasonUnauthorized, refusal.Reason)
	_, refusal = gate.Readmit(cluster.Caller{Workspace: "acme", Checked: true}, "r")
	must.Nil(t, refusal, must.Sprint("work of trainers needs no key"))
}
