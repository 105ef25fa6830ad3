package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/telemetry"
	"github.com/sesamestand/sesamestand/internal/testaccess"
)

// Guards against a request that reaches a handler without a key, one on a public route that
// does not, and tokens of the settings that stand in for keys.
func TestKeysReplaceTokensIfWorkspacesAreDeclared(t *testing.T) {
	recorder, err := telemetry.NewRecorder("h", 0)
	must.NoError(t, err)
	const declared = "[model m]\nreplicas = x:1\n[trainer t]\nmodel = m\n[trainer open]\nmodel = m\npublic = true\n[service s]\n[service open]\npublic = true\n"
	s := settings.Defaults()
	s.Auth.CallerTokens = []string{"caller"}
	status := func(declarations, path, token string) int {
		h := &Host{settings: s, recorder: recorder, gate: testaccess.New(t, declarations).Gate()}
		r := httptest.NewRequest(http.MethodPost, path, nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		h.authenticate(w, r, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		return w.Code
	}
	withPublicModel := testaccess.Workspaces() + "[model m]\nreplicas = x:1\npublic = true\n"
	for _, c := range []struct {
		declarations, path, token string
		status                    int
	}{
		{declared, "/v1/completions", "caller", http.StatusNoContent},
		{declared, "/v1/completions", "acme-1", http.StatusUnauthorized},
		{declared, "/v1/services/open/x", "acme-1", http.StatusUnauthorized},
		{testaccess.Workspaces() + declared, "/v1/completions", "caller", http.StatusUnauthorized},
		{testaccess.Workspaces() + declared, "/v1/completions", "acme-1", http.StatusNoContent},
		{testaccess.Workspaces() + declared, "/v1/services/s/x", "", http.StatusUnauthorized},
		{testaccess.Workspaces() + declared, "/v1/services/open/x", "", http.StatusNoContent},
		{testaccess.Workspaces() + declared, "/v1/trainers/t/pull", "", http.StatusUnauthorized},
		{testaccess.Workspaces() + declared, "/v1/trainers/open/pull", "", http.StatusNoContent},
		{testaccess.Workspaces() + declared, "/v1/unknown", "", http.StatusUnauthorized},
		{withPublicModel, "/v1/completions", "", http.StatusNoContent}, // the handler reads the model
		{withPublicModel, "/v1/services/s/x", "", http.StatusUnauthorized},
	} {
		must.EqOp(t, c.status, status(c.declarations, c.path, c.token), must.Sprint(c.path, " with ", c.token))
	}
}
