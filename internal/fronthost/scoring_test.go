package fronthost

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
)

// newScoredCluster returns a cluster with servers that answer reward calls, and a job
// whose items have such calls. The signature of a response names the call, so that the
// score of another call is detected.
func newScoredCluster(t *testing.T, items int) (*testCluster, *jobs.Job, []jobs.Payload) {
	c := newTestCluster(t, 3)
	for _, id := range []string{"app-a", "app-b", "app-c"} {
		c.register(id, testApp)
	}
	job, payloads := newJob("job-1", items, 1)
	for i := range payloads {
		payloads[i].Score = &jobs.ScoreRequest{ID: "call-" + job.Items[i].ID, HostName: testHost, Path: "/score/" + job.Items[i].ID, Body: []byte("reference")}
		job.Items[i].ScoreKey = payloads[i].Score.Key()
	}
	c.scores = func(target backend.Target, r *backend.Request) *backend.Response { return signed(r) }
	return c, job, payloads
}

func signed(r *backend.Request) *backend.Response {
	return &backend.Response{Status: http.StatusOK, Signature: "signature of " + r.ID}
}

func checkScores(t *testing.T, results []jobs.Result) {
	t.Helper()
	for _, r := range results {
		must.EqOp(t, "signature of call-"+r.Item, r.Score)
	}
}

// Guards against results without the score of their own reward call, and against
// reward calls that are sent while the item still runs.
func TestResultsCarryTheScoresOfTheirOwnCalls(t *testing.T) {
	c, job, payloads := newScoredCluster(t, 8)
	c.scores = func(_ backend.Target, r *backend.Request) *backend.Response {
		must.EqOp(t, 0, c.running[r.ID[len("call-"):]])
		must.EqOp(t, "reference", string(r.Body))
		must.EqOp(t, http.MethodPost, r.Method)
		return signed(r)
	}
	a, b := c.startHost("a"), c.startHost("b")
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	results, outputs := c.collect(b, "job-1", 8)
	checkResults(t, c, job, results, outputs)
	checkScores(t, results)
}

// Guards against items that fail because of their reward call although no server
// reported a failure: a service that is silent, refuses or sends no signature for a
// while, and lost responses.
func TestScoredItemsOutlastAnOutageOfTheService(t *testing.T) {
	c, job, payloads := newScoredCluster(t, 6)
	began := time.Now()
	n := 0
	c.scores = func(_ backend.Target, r *backend.Request) *backend.Response {
		n++
		switch {
		case time.Since(began) > time.Second:
			return signed(r)
		case n%3 == 0:
			return &backend.Response{Status: http.StatusServiceUnavailable, NotRun: true}
		case n%3 == 1:
			return &backend.Response{Status: http.StatusOK} // not signed
		}
		return nil // the connection breaks
	}
	a := c.startHost("a")
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	results, outputs := c.collect(a, "job-1", 6)
	checkResults(t, c, job, results, outputs)
	checkScores(t, results)
}

// Guards against an item that is retried forever because its reward call always fails,
// and against one that fails before the attempts of the call's route are used.
func TestItemFailsWhenItsRewardCallFails(t *testing.T) {
	c, job, payloads := newScoredCluster(t, 2)
	failures := 0
	c.scores = func(_ backend.Target, r *backend.Request) *backend.Response {
		if r.ID == "call-job-1-0" {
			return signed(r)
		}
		failures++
		return &backend.Response{Status: http.StatusInternalServerError}
	}
	a := c.startHost("a")
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	results, _ := c.collect(a, "job-1", 2)
	for _, r := range results {
		must.EqOp(t, r.Item == "job-1-1", r.Failed)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	must.EqOp(t, 3, failures)
}

// Guards against a score that is lost or belongs to another output when the owner of
// a job fails after the output is complete: the next owner calls again, and does not
// run the item again if the former one has stored the output.
func TestNextOwnerScoresTheStoredOutput(t *testing.T) {
	c, job, payloads := newScoredCluster(t, 4)
	blocked := true
	c.scores = func(_ backend.Target, r *backend.Request) *backend.Response {
		if blocked {
			return nil
		}
		return signed(r)
	}
	a := c.startHost("a")
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.waitUntil("all outputs are stored", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, item := range job.Items {
			if _, ok := a.jobs.Partial(item.ID); !ok {
				return false
			}
		}
		return true
	})
	a.kill()
	c.mu.Lock()
	before := c.totalRuns()
	blocked = false
	c.mu.Unlock()
	b := c.startHost("b")
	results, outputs := c.collect(b, "job-1", 4)
	checkResults(t, c, job, results, outputs)
	checkScores(t, results)
	c.mu.Lock()
	defer c.mu.Unlock()
	must.EqOp(t, before, c.totalRuns())
}

// Guards against reward calls of a job that has ended.
func TestEndedJobSendsNoRewardCalls(t *testing.T) {
	c, job, payloads := newScoredCluster(t, 4)
	sent := 0
	c.scores = func(backend.Target, *backend.Request) *backend.Response {
		sent++
		return nil
	}
	a := c.startHost("a")
	must.Nil(t, a.Submit(context.Background(), job, payloads))
	c.waitUntil("a reward call is sent", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return sent > 0
	})
	found, refusal := a.EndJob(context.Background(), "job-1")
	must.True(t, found)
	must.Nil(t, refusal)
	time.Sleep(200 * time.Millisecond) // calls in progress end
	c.mu.Lock()
	ended := sent
	c.mu.Unlock()
	time.Sleep(2 * time.Second) // longer than the longest backoff
	c.mu.Lock()
	defer c.mu.Unlock()
	must.EqOp(t, ended, sent)
}

// totalRuns returns the number of runs that the replicas have started. The caller
// holds mu.
func (c *testCluster) totalRuns() int {
	n := 0
	for _, r := range c.replicas {
		n += r.runs
	}
	return n
}
