package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against responses to requests that arrived before a drain and do not ask the
// caller to close its connection.
func TestResponsesThatBeginDuringADrainCloseConnections(t *testing.T) {
	for _, draining := range []bool{false, true} {
		h := &Host{serving: context.Background()}
		recorder := httptest.NewRecorder()
		h.answerBeforeStop(recorder, httptest.NewRequest(http.MethodGet, "/", nil), func(w http.ResponseWriter, _ *http.Request) {
			h.draining.Store(draining)
			w.WriteHeader(http.StatusOK)
		})
		must.EqOp(t, draining, recorder.Result().Header.Get("Connection") == "close")
	}
}
