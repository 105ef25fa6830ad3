package fronthost

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// Guards against a preview that sends or changes something, that differs from what is sent
// next, or that fails on what a host does not know.
func TestPreviewChangesNothing(t *testing.T) {
	c := newTestCluster(t, 2)
	c.calls = good
	for _, n := range []string{"1", "2"} {
		c.put(serverPartition, "app-"+n, deployment.Server{ID: "app-" + n, Service: testApp, Addr: "app-" + n, DataCentre: "centre-" + n, Slots: 4, Incarnation: 1})
	}
	h := c.startSpilling("a", "centre-2")
	partition := modelPartition(h)
	c.waitUntil("the host owns the partition of the model", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.runners[partition] != nil
	})
	get := func(query string, into any) int {
		recorder := httptest.NewRecorder()
		h.adminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/next?"+query, nil))
		if recorder.Code == http.StatusOK {
			must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), into))
		}
		return recorder.Code
	}
	var p Preview
	must.EqOp(t, http.StatusOK, get("host="+testHost+"&path=/pages/x&method=GET", &p))
	must.Eq(t, Preview{Route: "pages", Service: testApp, Server: "app-2", DataCentre: "centre-2", Why: "lowest score", PlaceWhy: "in-time"}, p)
	var item Preview
	must.EqOp(t, http.StatusOK, get("model="+testModel, &item))
	must.EqOp(t, "jobs", item.Route)
	must.StrHasPrefix(t, "replica-", item.Server)
	must.EqOp(t, http.StatusUnprocessableEntity, get("host=other&path=/", &p))
	must.EqOp(t, http.StatusUnprocessableEntity, get("host="+testHost+"&path=/jobs/x&method=POST", &p))
	must.EqOp(t, http.StatusUnprocessableEntity, get("model=other", &p))
	must.EqOp(t, http.StatusUnprocessableEntity, get("", &p))
	c.mu.Lock()
	defer c.mu.Unlock()
	must.MapEmpty(t, c.running)
	must.SliceEmpty(t, c.sends["request"])
	must.SliceEmpty(t, c.sends["run"])
	must.EqOp(t, 0, h.spill.Share(testApp))
}
