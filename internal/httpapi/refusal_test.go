package httpapi

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/cluster"
)

// Guards against a refusal whose status, headers and body disagree.
func TestWriteRefusal(t *testing.T) {
	w := httptest.NewRecorder()
	WriteRefusal(w, "r1", &cluster.Refusal{
		Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonTooLarge, Message: "body is over 1 MiB",
	})
	must.Eq(t, 413, w.Code)
	must.Eq(t, "not-run", w.Header().Get(HeaderOutcome))
	must.Eq(t, "too-large", w.Header().Get(HeaderReason))
	must.Eq(t, "r1", w.Header().Get(HeaderRequestID))
	var body RefusalBody
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	must.Eq(t, RefusalBody{RefusalDetail{"not-run", "too-large", "body is over 1 MiB", "r1"}}, body)
}
