package pool

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/pool"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// testPlatform is a control partition, a control API and a registry of one service, whose
// need is 16 servers with 4 in reserve.
type testPlatform struct {
	duties.ControlAPI // other calls are not expected

	mu       sync.Mutex
	fence    int64
	records  map[string][]byte
	log      []string // appends and calls in their order
	calling  map[string]int
	overlaps int
	scale    func(duties.ScaleOrder) error
	servers  []deployment.Server
}

func newTestPlatform() *testPlatform {
	p := &testPlatform{fence: 1, records: make(map[string][]byte), calling: make(map[string]int), scale: func(duties.ScaleOrder) error { return nil }}
	for _, dataCentre := range []string{"a", "b"} {
		for i := range 5 {
			p.servers = append(p.servers, deployment.Server{ID: fmt.Sprint(dataCentre, i), Service: "llm", DataCentre: dataCentre, Slots: 8})
		}
	}
	return p
}

func (p *testPlatform) PoolInput(now time.Time) pool.Input {
	rounds := []pool.Round{{Trainer: "t", Submitted: now, Due: 8 * time.Second, Tokens: 300_000}}
	return pool.Input{Now: now, Services: []pool.Service{{
		Name: "llm", Servers: p.servers, Scale: deployment.Scale{Max: 30, StartUp: 4 * time.Second, SpotPrice: 0.2},
		Demand: pool.Demand{Rounds: rounds, EndedTokens: 1000, EndedTime: 700 * time.Millisecond},
	}}}
}

func (p *testPlatform) Tenure() duties.Tenure { return duties.Tenure{Holder: "h", Fence: p.fence} }

func (p *testPlatform) Records(prefix string) []logstore.Record {
	var records []logstore.Record
	for key, value := range p.records {
		if strings.HasPrefix(key, prefix) {
			records = append(records, logstore.Record{Key: key, Value: value})
		}
	}
	return records
}

func (p *testPlatform) Age(string) time.Duration { return 0 }

func (p *testPlatform) Append(_ context.Context, records []logstore.Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		p.records[r.Key] = r.Value
		if r.IsTombstone() {
			delete(p.records, r.Key)
		}
	}
	return nil
}

func (p *testPlatform) Call(ctx context.Context, c duties.Call) error {
	p.mu.Lock()
	p.overlaps += p.calling[c.Subject]
	p.calling[c.Subject]++
	p.mu.Unlock()
	_ = p.Append(ctx, c.Records)
	time.Sleep(100 * time.Millisecond)
	err := c.Send(ctx, p.Tenure())
	p.mu.Lock()
	p.calling[c.Subject]--
	p.mu.Unlock()
	return err
}

func (p *testPlatform) Scale(_ context.Context, _ duties.Tenure, o duties.ScaleOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	stored := slices.ContainsFunc(p.Records(duties.KeyPrefix+recordPrefix), func(r logstore.Record) bool {
		order, ok := decodeOrder(r)
		return ok && order.Key == pool.Key{Service: o.Service, DataCentre: o.DataCentre, Spot: o.Spot} && order.Count == o.Count
	})
	p.log = append(p.log, fmt.Sprintf("%s spot=%t %d stored=%t", o.DataCentre, o.Spot, o.Count, stored))
	return p.scale(o)
}

func newService(t *testing.T, p *testPlatform) *Service {
	recorder, err := telemetry.NewRecorder("h", 0)
	must.NoError(t, err)
	return New(p, p, recorder)
}

// hold plays one tenure.
func hold(s *Service, p *testPlatform, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	s.Hold(ctx, p)
}

// Guards against an order that is sent before it is stored, against two calls of a subject
// at once, and against one that is sent again while its servers start.
func TestOrdersAreStoredAndSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform()
		hold(newService(t, p), p, 6*time.Second)
		slices.Sort(p.log)
		must.Eq(t, []string{"a spot=false 8 stored=true", "a spot=true 2 stored=true", "b spot=false 8 stored=true", "b spot=true 2 stored=true"}, p.log)
		must.EqOp(t, 0, p.overlaps)
		must.MapLen(t, 4, p.records)
	})
}

// Guards against a refused order that the next holder takes as sent, and that is not
// repeated, and against one that is repeated without a backoff.
func TestRefusedOrdersLeaveNoRecord(t *testing.T) {
	for _, err := range []error{duties.ErrNoCapacity, duties.ErrRefused, fmt.Errorf("%w: status 429", duties.ErrRefused)} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPlatform()
			p.scale = func(duties.ScaleOrder) error { return err }
			hold(newService(t, p), p, 10*time.Second)
			must.MapEmpty(t, p.records)
			must.Between(t, 8, len(p.log), 30)
		})
	}
}

// Guards against a new holder that orders what its predecessor stored a moment ago, whether
// it was sent or not, and against a holder that loses its own orders when its tenure is
// interrupted.
func TestNextHolderContinues(t *testing.T) {
	for _, sameHost := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestPlatform()
			p.scale = func(duties.ScaleOrder) error { return duties.ErrOutcomeUnknown }
			first := newService(t, p)
			hold(first, p, 4*time.Second)
			sent := len(p.log)
			must.EqOp(t, 4, sent)
			next := first
			if !sameHost {
				next, p.fence = newService(t, p), 2
			}
			hold(next, p, 2500*time.Millisecond)
			must.EqOp(t, sent, len(p.log))
			hold(next, p, 10*time.Second)
			must.Greater(t, sent, len(p.log), must.Sprint("orders without effect were not repeated"))
		})
	}
}

// Guards against stored orders of other versions or writers that stop the planner.
func TestUnusableRecordsArePassedBy(t *testing.T) {
	for _, value := range []string{"", "{", "[]", `{"service":"s"}`, `{"service":"s","data_centre":"a","count":-1}`} {
		_, ok := decodeOrder(logstore.Record{Key: "k", Value: []byte(value)})
		must.False(t, ok, must.Sprint(value))
	}
}

// Guards against trainers of two workspaces that count as one, whose rounds would follow each
// other at odd intervals and count only once.
func TestTrainersOfWorkspacesAreDistinct(t *testing.T) {
	now, table := time.Unix(1000, 0), jobs.NewTable()
	for _, workspace := range []string{"v", "w"} {
		job := &jobs.Job{ID: workspace + "/j", Workspace: workspace, Host: "h", Model: "m", Items: []jobs.Item{{ID: "1"}}}
		records, err := jobs.EncodeJob(job, 1<<18)
		must.NoError(t, err)
		for _, r := range records {
			must.NoError(t, table.Apply(1, r, now))
		}
	}
	demand := NewDemands().Of(table, func(*jobs.Entry) (string, time.Duration) { return "llm", 0 }, now)["llm"]
	must.SliceLen(t, 2, demand.Rounds)
	must.NotEqOp(t, demand.Rounds[0].Trainer, demand.Rounds[1].Trainer)
}

// Guards against work that is counted twice, or after its job ended, against results that
// were reused and count for the throughput, and against plain requests that go unnoticed.
func TestDemandIsDerivedFromJobs(t *testing.T) {
	now, table, demands := time.Unix(1000, 0), jobs.NewTable(), NewDemands()
	apply := func(records ...logstore.Record) {
		for _, r := range records {
			must.NoError(t, table.Apply(1, r, now))
		}
	}
	job := &jobs.Job{ID: "j", Workspace: "w", Host: "h", Model: "m", Items: []jobs.Item{{ID: "1", ExpectedOutput: 1000}, {ID: "2", ExpectedOutput: 400}, {ID: "3", MaxOutput: 100}, {ID: "4"}}}
	records, err := jobs.EncodeJob(job, 1<<18)
	must.NoError(t, err)
	apply(records...)
	of := func(at time.Time) *pool.Demand {
		return demands.Of(table, func(*jobs.Entry) (string, time.Duration) { return "llm", 7 * time.Second }, at)["llm"]
	}
	must.Eq(t, &pool.Demand{Rounds: []pool.Round{{Trainer: "w/h/m", Submitted: now, Due: 7 * time.Second, Tokens: 2000, Open: 2000}}}, of(now))
	for i, r := range []jobs.Result{{Item: "1", RunMs: 700}, {Item: "2"}} {
		record, err := jobs.EncodeResult("j", i, r)
		must.NoError(t, err)
		apply(record)
	}
	for range 2 {
		d := of(now)
		must.EqOp(t, 600, d.Rounds[0].Open)
		must.EqOp(t, 1000, d.EndedTokens)
		must.EqOp(t, 700*time.Millisecond, d.EndedTime)
	}
	apply(jobs.EncodeEnd("j"))
	must.EqOp(t, 0, of(now).Rounds[0].Open)
	must.EqOp(t, 0, of(now.Add(measuredTime)).EndedTokens)

	config := &deployment.Config{
		Services: map[string]deployment.Service{"fixed": {}, "llm": {Scale: &deployment.Scale{Max: 2}}, "shared": {Scale: &deployment.Scale{Max: 2}}},
		Routes:   []deployment.Route{{Kind: deployment.Jobs, Shares: []deployment.Share{{Service: "llm", Weight: 1}}}, {Kind: deployment.Stream, Shares: []deployment.Share{{Service: "shared", Weight: 1}}}},
	}
	unmeasured := make(map[string]bool)
	for _, s := range Services(config, nil, nil) {
		unmeasured[s.Name] = s.Demand.Unmeasured
	}
	must.Eq(t, map[string]bool{"llm": false, "shared": true}, unmeasured)
}
