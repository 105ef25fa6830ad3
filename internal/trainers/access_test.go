package trainers

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/testaccess"
)

// Guards against a trainer that another workspace can use or learn about, at its coordinator
// and at another host, and samples that are not sent for the trainer's workspace.
func TestTrainerBelongsToItsWorkspace(t *testing.T) {
	n := newTestNet(t, "a", "b")
	samples := make(chan cluster.Caller, 16)
	n.mu.Lock()
	n.generate = func(ctx context.Context, g cluster.Generation, sink func(engine.Chunk) error) error {
		samples <- g.Caller
		return n.generateThreeTokens(ctx, g, sink)
	}
	n.mu.Unlock()
	n.declare("captions", declare.Trainer{Model: "album", GroupSize: 2, MaxTokens: 16, Workspace: "acme"})
	n.declare("shared", declare.Trainer{Model: "album", GroupSize: 2, MaxTokens: 16})
	for _, h := range n.hosts {
		h.AdmitBy(testaccess.New(t, testaccess.Workspaces()).Gate())
	}
	call := func(host, name, operation, key, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, PathPrefix+name+"/"+operation, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+key)
		w := httptest.NewRecorder()
		n.host(host).ServeHTTP(w, r)
		return w
	}
	for _, host := range []string{"a", "b"} {
		for operation, body := range map[string]string{
			operationGroups: `{"groups":[{"id":"g","prompt":"p"}]}`, operationPull: `{}`, operationWeights: `{"version":9}`,
		} {
			hidden, unknown := call(host, "captions", operation, "other-1", body), call(host, "absent", operation, "other-1", body)
			must.EqOp(t, http.StatusNotFound, hidden.Code)
			must.EqOp(t, unknown.Body.String(), hidden.Body.String())
			must.Eq(t, unknown.Header(), hidden.Header())
			must.EqOp(t, string(cluster.ReasonUnauthorized), call(host, "captions", operation, "acme-3", body).Header().Get(httpapi.HeaderReason))
		}
		must.EqOp(t, http.StatusOK, call(host, "shared", operationWeights, "other-1", `{"version":1}`).Code)
	}
	must.EqOp(t, 0, len(samples))
	must.EqOp(t, http.StatusOK, call("a", "captions", operationGroups, "acme-2", `{"step":1,"groups":[{"id":"g","prompt":"p"}]}`).Code)
	must.EqOp(t, cluster.Caller{Workspace: "acme", Checked: true}, <-samples)
}
