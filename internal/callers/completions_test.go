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

// Guards against bad requests that reach an engine or crash the host, and
// against refusals that name the wrong reason.
func TestBadRequestsAreRefusedWithTheirReason(t *testing.T) {
	f := newFixture(t, 1, "")
	c := f.hosts[0].controller
	c.config.BodyBytes = 200
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

// Guards against a request that runs in a class other than declared or named.
func TestClassComesFromHeaderOrNeed(t *testing.T) {
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
		got, ok := class(tc.header, set, tc.model)
		must.Eq(t, tc.ok, ok)
		must.Eq(t, tc.want, got)
	}
}

// Guards against an answer that was resumed under other weights naming only
// one of the versions, also when it is replayed.
func TestAnswerNamesAllWeightVersions(t *testing.T) {
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
	must.SliceContainsAll(t, []int64{1, 2}, first.version)
	replayed, err := f.hosts[0].post(context.Background(), "id-1", "proof", 6, false)
	must.NoError(t, err)
	must.Eq(t, "true", replayed.header.Get("Sesamestand-Replayed"))
	must.Eq(t, first.version, replayed.version)
	must.Eq(t, first.text, replayed.text)
}
