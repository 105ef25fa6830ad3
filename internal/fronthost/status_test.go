package fronthost

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Guards against a status that does not show which jobs a host knows, which
// partitions it owns and whether the store answers, and against a missing explanation
// of why a job was accepted.
func TestStatusShowsJobsPartitionsAndStore(t *testing.T) {
	c := newTestCluster(t, 2)
	h := c.startHost("a")
	c.waitUntil("the host owns all partitions", func() bool { return len(h.group.Owned()) == 4 })
	job, payloads := newJob("job-1", 4, 1)
	must.Nil(t, h.Submit(context.Background(), job, payloads))
	c.collect(h, "job-1", 4)
	get := func(path string, into any) {
		recorder := httptest.NewRecorder()
		h.adminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		must.EqOp(t, http.StatusOK, recorder.Code)
		must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), into))
	}
	var status Status
	c.waitUntil("the partitions are acquired", func() bool {
		get("/status", &status)
		return len(status.Partitions) == 2 && status.Partitions[0].Epoch > 0 && status.Partitions[1].Epoch > 0
	})
	must.SliceLen(t, 1, status.Jobs)
	must.EqOp(t, 4, status.Jobs[0].Committed)
	must.EqOp(t, modelPartition(h), status.Jobs[0].Partition)
	must.SliceLen(t, 2, status.Servers)
	must.Eq(t, []string{testModel}, status.Servers[0].Serves)
	must.EqOp(t, 1, status.ConfigVersion)

	var decisions []telemetry.Decision
	get("/explain/job-1", &decisions)
	must.EqOp(t, "submit", decisions[0].Kind)

	h.view.setCut(true)
	c.waitUntil("the status shows that the store does not answer", func() bool {
		get("/status", &status)
		return status.Partitions[0].StoreUnavailable && status.Partitions[1].StoreUnavailable
	})
}

// Guards against a 404 for a job whose reason cannot be found out afterwards.
func TestDeniedJobIsExplained(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.startHost("a")
	page, refusal := h.Results(context.Background(), "no-such-job", 0, 0)
	must.Nil(t, page)
	must.Nil(t, refusal)
	decisions := h.recorder.Explain("no-such-job")
	must.SliceLen(t, 1, decisions)
	must.EqOp(t, "job-denied", decisions[0].Kind)
	must.SliceContains(t, decisions[0].Details, any(fmt.Sprintf("partition_%d", modelPartition(h))))
}

// Guards against a deadlock between a status request, which reads the state of the
// followers, and a follower that applies records.
func TestStatusBesideAppends(t *testing.T) {
	c := newTestCluster(t, 2)
	h := c.startHost("a")
	stop := make(chan struct{})
	var requests sync.WaitGroup
	for range 4 {
		requests.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					h.Status()
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 400 {
			c.put(workPartition(modelPartition(h)), fmt.Sprintf("e/job-%d/", i), struct{}{})
			c.put(serverPartition, fmt.Sprintf("app-%d", i%20), nil)
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		must.NoError(t, h.follower(modelPartition(h)).CatchUp(ctx))
	}()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatal("the host did not apply the records: deadlock")
	}
	close(stop)
	requests.Wait()
}
