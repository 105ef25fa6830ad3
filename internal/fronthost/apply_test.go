package fronthost

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Guards against a log line for each heartbeat of a record that cannot be used, and
// against tables that grow with the keys of other writers.
func TestSkippedRecordIsLoggedOncePerReason(t *testing.T) {
	skipped := make(skippedRecords)
	port := &deployment.InvalidChange{Key: "i-1", Reason: "port"}
	must.True(t, skipped.record("servers", port))
	must.False(t, skipped.record("servers", port))
	must.True(t, skipped.record("operators", port))
	must.True(t, skipped.record("servers", &deployment.InvalidChange{Key: "i-1", Reason: "slots"}))
	skipped.clear("servers", "i-1")
	must.True(t, skipped.record("servers", port))
	for i := range 3 * maxSkippedKeys {
		skipped.record("servers", &deployment.InvalidChange{Key: fmt.Sprint(i), Reason: "port"})
	}
	must.LessEq(t, maxSkippedKeys, len(skipped))
}

// Guards against a replica that counts as loaded for ever after one entry named a version
// that it does not have.
func TestFalseVersionOfAnEntryEndsWithTheEntry(t *testing.T) {
	c := newTestCluster(t, 1)
	h := c.startHost("host-1")
	c.put(serverPartition, "replica-0", deployment.Server{ID: "replica-0", Service: testService, Addr: "replica-0", Slots: 4, Incarnation: 1, Versions: map[string]int64{testModel: 1000}})
	c.waitUntil("the false version is read", func() bool { return h.Status().Servers[0].Versions[testModel] == 1000 })
	c.register("replica-0", testService)
	c.announceVersion(2)
	job, payloads := newJob("job-1", 2, 2)
	must.Nil(t, h.Submit(context.Background(), job, payloads))
	results, _ := c.collect(h, "job-1", len(job.Items))
	for _, r := range results {
		must.Eq(t, []int64{2}, r.Versions)
	}
}

// Guards against a removal of a key in a configuration that is ignored without notice, and
// against a count for each time that a record is read.
func TestIgnoredConfigurationIsReported(t *testing.T) {
	h := newTestCluster(t, 1).newEntryHost("a")
	apply := func(version int, offset int64) {
		value := fmt.Appendf(nil, `{"Version":%d}`, version)
		h.applyOperators(logstore.Batch{Records: []logstore.Record{{Key: "config", Value: value, Offset: offset}}})
	}
	ignored := func() int64 {
		for _, total := range h.recorder.Totals() {
			if total.Name == "configs_ignored_total" {
				return total.Value
			}
		}
		return 0
	}
	apply(2, 0)
	apply(2, 0)
	must.EqOp(t, 0, ignored())
	apply(1, 1)
	apply(1, 1)
	must.EqOp(t, 1, ignored())
	apply(2, 2)
	must.EqOp(t, 2, ignored())
	must.EqOp(t, 2, h.Config().Version)
	apply(3, 3)
	must.EqOp(t, 2, ignored())
}

// FuzzApplyWorkRecord applies records of the topic that the hosts write, from a listing and
// from the log, to a host that is not running.
func FuzzApplyWorkRecord(f *testing.F) {
	f.Add("r/i-1", []byte(`{"serves":["m"],"versions":{"m":9000000000000000000}}`))
	f.Add("r/i-1", []byte("null"))
	f.Add("s/fingerprint/crash", []byte("{}"))
	f.Add("l/i-1", []byte(`{"incarnation":-1,"per_second":-1e300}`))
	f.Add(limitAllocatorKey, []byte(`{"addr":"a","epoch":9000000000000000000}`))
	f.Add("j/job/0", append([]byte{0, 0, 0, 1}, `{"id":"job","items":[{"id":"a"}]}`...))
	f.Add("j/job/0", append([]byte{255, 255, 255, 255}, "null"...))
	f.Add("p/job/0", []byte(`{"item":"a","text":{"records":9000000000000000000,"bytes":-1}}`))
	f.Add("c/job/a", []byte(`{"records":-1}`))
	f.Add("e/job/", []byte("{}"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		c := newTestCluster(t, 1)
		h := c.newEntryHost("host-1")
		for _, complete := range []bool{true, false} {
			h.applyWork(1, logstore.Batch{Complete: complete, Records: []logstore.Record{{Key: key, Value: value}, {Key: "e/job/", Value: []byte("{}")}}})
		}
		h.applyServers(logstore.Batch{Records: []logstore.Record{{Key: "replica-0", Value: []byte(`{"ID":"replica-0"}`)}}})
		_ = h.Status()
		h.applyWork(1, logstore.Batch{Records: []logstore.Record{{Key: key}}})
		_ = h.Status()
	})
}

// Guards against a host that has the configuration and refuses a job, because it does not
// follow the partition of the job's model yet.
func TestConfigurationIsAppliedWithTheFollowersOfItsModels(t *testing.T) {
	c := newTestCluster(t, 1)
	page, err := c.store.Read(t.Context(), operatorPartition, 0, 1, 0)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 200 {
		h := c.newEntryHost("a")
		h.baseCtx = ctx
		h.group = logstore.NewGroup(h.store, logstore.Membership{}, func() {})
		var applied sync.WaitGroup
		applied.Go(func() { h.applyOperators(logstore.Batch{Records: page.Records}) })
		var follower *logstore.Follower
		for configured := false; !configured; {
			h.mu.Lock()
			configured, follower = h.state.Config != nil, h.followers[h.partitionOf(testModel)]
			h.mu.Unlock()
		}
		applied.Wait()
		must.NotNil(t, follower)
	}
}
