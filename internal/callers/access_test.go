package callers

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/testaccess"
)

const album = "[model album]\nreplicas = plateau:1\n"

// newFixtureWithKeys starts hosts with a configuration of their own each.
func newFixtureWithKeys(t *testing.T, hosts int, declarations string, engines ...*testEngine) (*fixture, []*testaccess.Source) {
	f := newFixture(t, hosts, "", engines...)
	sources := make([]*testaccess.Source, hosts)
	for i, h := range f.hosts {
		sources[i] = testaccess.New(t, declarations)
		h.owner.AdmitBy(sources[i].Gate())
		h.controller.AdmitBy(sources[i].Gate())
	}
	return f, sources
}

// ask sends a request with a key, if it is not empty.
func (h *testHost) ask(id, key, prompt string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"album","max_tokens":3,"prompt":"`+prompt+`"}`))
	r.Header.Set(httpapi.HeaderRequestID, id)
	r.Header.Set(workspace.Header, "forged")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	h.controller.Completions(w, r)
	return w
}

func refused(w *httptest.ResponseRecorder) string {
	return w.Header().Get(httpapi.HeaderOutcome) + " " + w.Header().Get(httpapi.HeaderReason)
}

// Guards against a completion that runs without a valid key, a key that reaches an engine,
// and a workspace's name that the caller chose.
func TestCompletionsNeedKeysAndCarryTheWorkspace(t *testing.T) {
	e := newTestEngine(t, 1, func(engine.GenerateRequest, int) behaviour { return normal })
	f, sources := newFixtureWithKeys(t, 2, testaccess.Workspaces()+album, e) // replica-0 is owned by host-0
	for _, h := range f.hosts {
		must.EqOp(t, http.StatusOK, h.ask("r-"+h.member.ID, "acme-1", "p").Code)
		must.EqOp(t, "not-run unauthorized", refused(h.ask("s", "acme-3", "p")))
		must.EqOp(t, "not-run unauthorized", refused(h.ask("s", "", "p")))
	}
	for _, s := range sources {
		s.Read(testaccess.Workspaces() + album + "public = true\n")
	}
	must.EqOp(t, http.StatusOK, f.hosts[1].ask("t", "acme-3", "p").Code)
	must.SliceLen(t, 3, e.headers)
	for i, header := range e.headers {
		must.EqOp(t, "", header.Get("Authorization"))
		must.Eq(t, [][]string{{"acme"}, {"acme"}, nil}[i], header.Values(workspace.Header))
	}
}

// Guards against a recorded response, or the content of a request, that another workspace
// can find by its request ID, and against two workspaces' requests that an engine can take
// for one.
func TestRecordedResponsesAreSeparateByWorkspace(t *testing.T) {
	e := newTestEngine(t, 1, func(engine.GenerateRequest, int) behaviour { return normal })
	f, _ := newFixtureWithKeys(t, 2, testaccess.Workspaces()+album, e)
	replayed := func(host int, key, prompt string) string {
		w := f.hosts[host].ask("same", key, prompt)
		must.EqOp(t, http.StatusOK, w.Code)
		must.StrContains(t, w.Body.String(), `"id":"same"`)
		return w.Header().Get(httpapi.HeaderReplayed)
	}
	must.EqOp(t, "", replayed(0, "acme-1", "p"))
	must.EqOp(t, "true", replayed(1, "acme-2", "p"))
	must.EqOp(t, "", replayed(0, "other-1", "p"))
	must.EqOp(t, "true", replayed(1, "other-1", "p"))
	must.SliceLen(t, 2, e.requestIDs)
	must.NotEq(t, e.requestIDs[0], e.requestIDs[1])
	must.EqOp(t, "unknown bad-request", refused(f.hosts[0].ask("same", "acme-1", "q")))
}

// Guards against an attempt that is sent after the key may have been removed: the resumption
// of a broken stream, and a first send by an owner that knows less than the router.
func TestRevokedKeyIsNotSentAgain(t *testing.T) {
	broken := make(chan func(), 1)
	e := newTestEngine(t, 1, func(_ engine.GenerateRequest, index int) behaviour {
		if index != 1 {
			return normal
		}
		select {
		case f := <-broken:
			f()
			return cut
		default:
			return normal
		}
	})
	f, sources := newFixtureWithKeys(t, 2, testaccess.Workspaces()+album, e)
	broken <- func() { sources[1].Age(time.Hour) } // the router's
	must.EqOp(t, "unknown no-permission", refused(f.hosts[1].ask("r", "acme-1", "p")))
	must.SliceLen(t, 1, e.headers)
	sources[0].Age(time.Hour)
	sources[1].Read(testaccess.Workspaces() + album)
	w := f.hosts[1].ask("s", "acme-1", "p")
	must.EqOp(t, "not-run no-permission", refused(w))
	must.EqOp(t, "1", w.Header().Get("Retry-After"))
	sources[0].Read(testaccess.Other() + album)
	must.EqOp(t, "not-run no-permission", refused(f.hosts[1].ask("s", "acme-1", "p")))
	must.SliceLen(t, 1, e.headers)
}
