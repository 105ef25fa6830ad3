package callers

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
)

// Guards against invalid requests that reach an engine or crash the host, and
// against refusals with the wrong reason.
func TestInvalidRequestsAreRefusedWithReason(t *testing.T) {
	f := newFixture(t, 1, "")
	c := f.hosts[0].controller
	c.config.MaxBodyBytes = 200
	for body, want := range map[string]cluster.Reason{
		`{"model":"album"`:                       cluster.ReasonBadRequest,
		`[]`:                                     cluster.ReasonBadRequest,
		`{"prompt":"p"}`:                         cluster.ReasonBadRequest,
		`{"model":"album","max_tokens":-1}`:      cluster.ReasonBadRequest,
		`{"prompt":"` + strings.Repeat("x", 300): cluster.ReasonTooLarge,
		`{"model":"album","prompt":"p"}`:         cluster.ReasonNoReplica,
		`{"model":"album","prompt":"p","temperature":"warm"}`: cluster.ReasonBadRequest,
	} {
		w := httptest.NewRecorder()
		c.Completions(w, httptest.NewRequest("POST", "/v1/completions", strings.NewReader(body)))
		must.Eq(t, string(want), w.Header().Get("Sesamestand-Reason"), must.Sprint(body))
		must.Eq(t, "not-run", w.Header().Get("Sesamestand-Outcome"))
		must.NotEq(t, "", w.Header().Get("Request-Id"))
	}
}

// Guards against running a request in another class than the one in its header
// or the most urgent one declared for its model.
func TestRequestClassComesFromHeaderOrNeed(t *testing.T) {
	set := &declare.Set{Needs: map[string]*declare.Need{
		"pages":  {Model: "gallery", Class: declare.ClassInteractive},
		"drafts": {Model: "gallery", Class: declare.ClassBatch},
	}}
	for _, tc := range []struct {
		header, model string
		want          declare.Class
		ok            bool
	}{
		{"", "gallery", declare.ClassInteractive, true},
		{"training", "gallery", declare.ClassTraining, true},
		{"", "album", declare.ClassBatch, true},
		{"urgent", "album", 0, false},
	} {
		got, ok := requestClass(tc.header, set, tc.model)
		must.Eq(t, tc.ok, ok)
		must.Eq(t, tc.want, got)
	}
}

// Guards against a response that lists only one weight version although it was
// resumed on a replica with another, also when the response is replayed.
func TestResponseListsAllWeightVersions(t *testing.T) {
	var mu sync.Mutex
	cuts := 0
	breaks := func(_ engine.GenerateRequest, i int) behaviour {
		mu.Lock()
		defer mu.Unlock()
		if i == 3 && cuts == 0 {
			cuts++
			return cut
		}
		return normal
	}
	f := newFixture(t, 1, "", newTestEngine(t, 1, breaks), newTestEngine(t, 2, breaks))
	first, err := f.hosts[0].post(context.Background(), "id-1", "proof", 6, false)
	must.NoError(t, err)
	must.SliceContainsAll(t, []int64{1, 2}, first.versions)
	replayed, err := f.hosts[0].post(context.Background(), "id-1", "proof", 6, false)
	must.NoError(t, err)
	must.Eq(t, "true", replayed.header.Get("Sesamestand-Replayed"))
	must.Eq(t, first.versions, replayed.versions)
	must.Eq(t, first.text, replayed.text)
}
