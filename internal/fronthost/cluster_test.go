package fronthost

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/logstore/memlog"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Names and times used by the tests.
const (
	testModel     = "model-a"
	testService   = "engines"
	testApp       = "app"
	testHost      = "rollouts.example"
	eventInterval = 2 * time.Millisecond
	loadTime      = 60 * time.Millisecond
	waitTimeout   = 20 * time.Second
)

var (
	operatorPartition = logstore.Partition{Topic: "operators"}
	serverPartition   = logstore.Partition{Topic: "servers"}
)

// receivedOrder is an order that a replica received.
type receivedOrder struct {
	at         time.Time
	orderOwner string
	fence      int64
	accepted   bool
	waits      bool // the order lets runs finish first
}

// fakeReplica is an in-memory backend server.
type fakeReplica struct {
	id          string
	version     int64
	orders      int64
	fence       int64
	busy        bool
	received    []receivedOrder
	runs        int
	unavailable bool
	failRuns    map[string]int // remaining responses with status 500, by item
}

// runStart is a run of an item that a host sent.
type runStart struct {
	at      time.Time
	host    string
	item    string
	expires time.Time
}

// limitedSend is a request to a server that names a limit.
type limitedSend struct {
	at     time.Time
	server string
	host   string
}

// testCluster holds the store and the replicas of a test. It implements Backends for
// the hosts of the test.
type testCluster struct {
	t     *testing.T
	store *memlog.Store

	mu       sync.Mutex
	replicas map[string]*fakeReplica
	events   int                               // number of events of each item
	running  map[string]int                    // current runs, by item
	newest   int64                             // newest announced version
	calls    func(id string) *backend.Response // responses of the servers of testApp; nil breaks the connection
	// scores answers reward calls, whose paths begin with /score/.
	scores func(t backend.Target, r *backend.Request) *backend.Response
	// breaks reports whether a run breaks before an event.
	breaks func(id string, event int) bool
	// limits are the requests per second that servers name as their limit, and limited
	// are the requests to these servers.
	limits  map[string]float64
	limited []limitedSend
	// hosts are the entry hosts by their address for other hosts, and unreachable those
	// that other hosts do not reach.
	hosts       map[string]*Host
	unreachable map[string]bool
	// leaving are the servers that say in their responses that they are leaving, and sends
	// are the targets of all calls by kind.
	leaving map[backend.Target]bool
	sends   map[backend.CallKind][]backend.Target
	// runStarts are the runs that hosts sent, in the order of their arrival.
	runStarts []runStart
	// streams handles the streams that hosts send to the servers of testApp.
	streams func(ctx context.Context, t backend.Target, s *backend.Stream) backend.RunEnd
	// control is the control API; nil if there is none.
	control duties.ControlAPI
}

func newTestCluster(t *testing.T, replicas int) *testCluster {
	c := &testCluster{t: t, store: memlog.New(4), replicas: make(map[string]*fakeReplica), events: 10, running: make(map[string]int), newest: 1, limits: make(map[string]float64), hosts: make(map[string]*Host), unreachable: make(map[string]bool), leaving: make(map[backend.Target]bool), sends: make(map[backend.CallKind][]backend.Target)}
	for i := range replicas {
		id := fmt.Sprintf("replica-%d", i)
		c.replicas[id] = &fakeReplica{id: id, version: 1, failRuns: make(map[string]int)}
		c.register(id, testService)
	}
	c.configure(1)
	return c
}

func (c *testCluster) put(p logstore.Partition, key string, value any) {
	data, err := json.Marshal(value)
	must.NoError(c.t, err)
	_, err = c.store.Append(context.Background(), p, []logstore.Record{{Key: key, Value: data}}, nil)
	must.NoError(c.t, err)
}

func (c *testCluster) register(id, service string) { c.registerProcess(targetAt(id), service) }

// registerProcess registers one process of a server.
func (c *testCluster) registerProcess(t backend.Target, service string) {
	c.put(serverPartition, t.ID, deployment.Server{ID: t.ID, Service: service, Addr: t.Addr, Slots: 4, Incarnation: t.Incarnation, Versions: map[string]int64{testModel: 1}})
}

// targetAt returns the target of the first process of a server, whose address is its ID.
func targetAt(id string) backend.Target { return backend.Target{ID: id, Addr: id, Incarnation: 1} }

func (c *testCluster) unregister(id string) {
	_, err := c.store.Append(context.Background(), serverPartition, []logstore.Record{{Key: id}}, nil)
	must.NoError(c.t, err)
}

func (c *testCluster) configure(version int64) {
	c.configureModels(version, testService, map[string][]string{testService: {testModel}})
}

// configureModels writes a configuration in which jobs run on jobService, and services
// declare the given models.
func (c *testCluster) configureModels(version int64, jobService string, models map[string][]string) {
	services := map[string]deployment.Service{testApp: {Name: testApp}}
	for name, declared := range models {
		services[name] = deployment.Service{Name: name, Slots: 4, Models: declared}
	}
	c.put(operatorPartition, "config", deployment.Config{
		Version: version,
		Routes: []deployment.Route{
			{Name: "jobs", Host: testHost, Prefix: "/jobs/", Kind: deployment.Jobs, Shares: []deployment.Share{{Service: jobService, Weight: 1}}, MaxAttempts: 3, Retention: time.Minute},
			{Name: "pages", Host: testHost, Prefix: "/pages/", Kind: deployment.Idempotent, Shares: []deployment.Share{{Service: testApp, Weight: 1}}, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond},
			{Name: "score", Host: testHost, Prefix: "/score/", Kind: deployment.Idempotent, Shares: []deployment.Share{{Service: testApp, Weight: 1}}, MaxAttempts: 3, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond},
			{Name: "live", Host: testHost, Prefix: "/live/", Kind: deployment.Stream, Resumable: true, Shares: []deployment.Share{{Service: testApp, Weight: 1}}, MaxAttempts: 3, Timeout: 10 * time.Second, Objective: 200 * time.Millisecond},
			{Name: "live-once", Host: testHost, Prefix: "/live-once/", Kind: deployment.Stream, Shares: []deployment.Share{{Service: testApp, Weight: 1}}, MaxAttempts: 3, Timeout: 10 * time.Second, Objective: 200 * time.Millisecond},
			{Name: "once", Host: testHost, Prefix: "/once/", Kind: deployment.NonIdempotent, Shares: []deployment.Share{{Service: testApp, Weight: 1}}, MaxAttempts: 2, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond},
		},
		Services: services,
	})
}

func (c *testCluster) announceVersion(version int64) {
	c.mu.Lock()
	c.newest = version
	c.mu.Unlock()
	c.put(operatorPartition, "version", deployment.ModelVersion{Model: testModel, Version: version})
}

// newEntryHost returns an entry host that accesses the store through its own
// storeView.
func (c *testCluster) newEntryHost(id string) *hostHandle {
	view := &storeView{Store: c.store}
	recorder, err := telemetry.NewRecorder(id, 0)
	must.NoError(c.t, err)
	s := settings.Defaults()
	s.Host.ID, s.Host.DataCentre, s.Host.PeerAddr = id, "centre-1", id
	s.Platform.Store.Partitions = 4
	s.Platform.Store.MinTTL = 200 * time.Millisecond
	s.Timing.OrderLease = 600 * time.Millisecond
	s.Timing.UsageWindow, s.Timing.UsageDue = 500*time.Millisecond, 10*time.Second
	if c.control != nil {
		s.Platform.Control.Addr = "control"
	}
	h := New(s, view, &hostBackends{testCluster: c, host: id}, Feeds{
		Operators: Feed{Partition: operatorPartition, Decode: decodeOperator},
		Servers:   Feed{Partition: serverPartition, Decode: decodeServer},
	}, c, c.control, recorder, s.Limits.NewAccount())
	c.mu.Lock()
	c.hosts[id] = h
	c.mu.Unlock()
	return &hostHandle{Host: h, view: view}
}

// startHost starts an entry host and waits until it is ready.
func (c *testCluster) startHost(id string) *hostHandle { return c.start(c.newEntryHost(id)) }

// start starts a host and waits until it is ready.
func (c *testCluster) start(h *hostHandle) *hostHandle {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	h.kill = cancel
	h.start(ctx)
	c.waitUntil("host is ready", h.Ready)
	return h
}

type hostHandle struct {
	*Host
	view *storeView
	kill func()
}

// killAndAwaitEnd ends a host of a test with testing/synctest, in which no goroutine may
// outlive the test.
func (h *hostHandle) killAndAwaitEnd() {
	h.kill()
	time.Sleep(waitTimeout)
}

// storeView is one host's connection to the store. It can be cut without affecting
// other hosts.
type storeView struct {
	*memlog.Store
	mu  sync.Mutex
	cut bool
	// latency is how long each call takes in addition.
	latency time.Duration
	// slow returns how long a read takes in addition; nil adds nothing.
	slow func(p logstore.Partition, from int64) time.Duration
}

func (v *storeView) setSlow(slow func(p logstore.Partition, from int64) time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.slow = slow
}

func (v *storeView) setCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
}

func (v *storeView) setLatency(latency time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latency = latency
}

// waitIfCut waits for the latency unless the view is cut. Otherwise it blocks until
// ctx ends, as a call to a store that does not answer would.
func (v *storeView) waitIfCut(ctx context.Context) error {
	v.mu.Lock()
	cut, latency := v.cut, v.latency
	v.mu.Unlock()
	if !cut && latency == 0 {
		return nil
	}
	var answered <-chan time.Time // never, if cut
	if !cut {
		answered = time.After(latency)
	}
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return logstore.ErrOutcomeUnknown
	}
}

func (v *storeView) Append(ctx context.Context, p logstore.Partition, records []logstore.Record, w *logstore.Writer) (int64, error) {
	if err := v.waitIfCut(ctx); err != nil {
		v.mu.Lock()
		late := !v.cut
		v.mu.Unlock()
		if late { // a slow store carries out what it received
			_, _ = v.Store.Append(context.WithoutCancel(ctx), p, records, w)
		}
		return 0, err
	}
	return v.Store.Append(ctx, p, records, w)
}

func (v *storeView) Read(ctx context.Context, p logstore.Partition, from int64, maxBytes int, wait time.Duration) (logstore.Page, error) {
	if err := v.waitIfCut(ctx); err != nil {
		return logstore.Page{}, err
	}
	v.mu.Lock()
	slow := v.slow
	v.mu.Unlock()
	if slow != nil {
		select {
		case <-time.After(slow(p, from)):
		case <-ctx.Done():
			return logstore.Page{}, logstore.ErrOutcomeUnknown
		}
	}
	return v.Store.Read(ctx, p, from, maxBytes, wait)
}

func (v *storeView) ListNewest(ctx context.Context, p logstore.Partition, after string) (logstore.Listing, error) {
	if err := v.waitIfCut(ctx); err != nil {
		return logstore.Listing{}, err
	}
	return v.Store.ListNewest(ctx, p, after)
}

func (v *storeView) Join(ctx context.Context, m logstore.Membership) (logstore.Assignment, error) {
	if err := v.waitIfCut(ctx); err != nil {
		return logstore.Assignment{}, err
	}
	return v.Store.Join(ctx, m)
}

func (v *storeView) Owners(ctx context.Context, group, topic string) (map[int]string, error) {
	if err := v.waitIfCut(ctx); err != nil {
		return nil, err
	}
	return v.Store.Owners(ctx, group, topic)
}

func decodeOperator(r logstore.Record) deployment.Change {
	if r.Key == "config" {
		c := &deployment.Config{}
		if err := json.Unmarshal(r.Value, c); err != nil {
			return deployment.Change{Invalid: &deployment.InvalidChange{Key: r.Key, Reason: err.Error()}}
		}
		c.Index()
		return deployment.Change{Config: c}
	}
	v := &deployment.ModelVersion{}
	if err := json.Unmarshal(r.Value, v); err != nil {
		return deployment.Change{Invalid: &deployment.InvalidChange{Key: r.Key, Reason: err.Error()}}
	}
	return deployment.Change{Version: v}
}

func decodeServer(r logstore.Record) deployment.Change {
	change := deployment.Change{Server: &deployment.ServerChange{ID: r.Key}}
	if !r.IsTombstone() {
		s := &deployment.Server{}
		if err := json.Unmarshal(r.Value, s); err != nil {
			change.Invalid = &deployment.InvalidChange{Key: r.Key, Reason: err.Error()}
		} else {
			change.Server.Server = s
		}
	}
	return change
}

// Acquire implements limits.Peers.
func (c *testCluster) Acquire(ctx context.Context, addr string, request *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	c.mu.Lock()
	h := c.hosts[addr]
	unreachable := h == nil || c.unreachable[addr]
	c.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h.limits.Acquire(ctx, request)
}

// ReportUsage implements usage.Peers.
func (c *testCluster) ReportUsage(ctx context.Context, addr string, counts *peerpb.UsageCounts) (*peerpb.UsageReply, error) {
	c.mu.Lock()
	h := c.hosts[addr]
	unreachable := h == nil || c.unreachable[addr]
	c.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h.duties.usage.ReportUsage(ctx, counts)
}

// CloseUnused implements Backends.
func (c *testCluster) CloseUnused(func(backend.Target) bool) {}

// hostBackends is one host's client for the servers of a test. It reports the limits
// that the servers name to the host.
type hostBackends struct {
	*testCluster
	host            string
	observer        backend.LimitObserver
	leavingObserver backend.LeavingObserver
}

// ObserveLimits implements Backends.
func (b *hostBackends) ObserveLimits(observer backend.LimitObserver) { b.observer = observer }

// ObserveLeaving implements Backends.
func (b *hostBackends) ObserveLeaving(observer backend.LeavingObserver) { b.leavingObserver = observer }

// recordSend records a call of a server.
func (b *hostBackends) recordSend(t backend.Target, call backend.CallKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sends[call] = append(b.sends[call], t)
}

// giveNotice reports to the host that a server is leaving, if it says so.
func (b *hostBackends) giveNotice(t backend.Target, call backend.CallKind, id string, status int) {
	b.mu.Lock()
	leaving := b.leaving[t]
	b.mu.Unlock()
	if leaving {
		b.leavingObserver(backend.LeavingNotice{Target: t, Call: call, RequestID: id, Status: status})
	}
}

// recordLimited records a request to a server that names a limit, and reports the
// limit to the host.
func (b *hostBackends) recordLimited(t backend.Target, call backend.CallKind) {
	now := time.Now()
	b.mu.Lock()
	limit, named := b.limits[t.ID]
	if named {
		b.limited = append(b.limited, limitedSend{at: now, server: t.ID, host: b.host})
	}
	b.mu.Unlock()
	b.observer(backend.LimitObservation{Target: t, Call: call, Status: http.StatusOK, Named: named, PerSecond: limit, Sent: now})
}

// Call implements backend.Client.
func (b *hostBackends) Call(ctx context.Context, t backend.Target, r *backend.Request, timeout time.Duration) (*backend.Response, error) {
	b.recordSend(t, backend.CallRequest)
	response, err := b.testCluster.Call(ctx, t, r, timeout)
	if err == nil {
		b.giveNotice(t, backend.CallRequest, r.ID, response.Status)
		b.recordLimited(t, backend.CallRequest)
	}
	return response, err
}

// Run implements backend.Client.
func (b *hostBackends) Run(ctx context.Context, t backend.Target, r *backend.Run, onEvent func(backend.Event)) backend.RunEnd {
	b.recordLimited(t, backend.CallRun)
	b.recordSend(t, backend.CallRun)
	b.mu.Lock()
	b.runStarts = append(b.runStarts, runStart{at: time.Now(), host: b.host, item: r.ID, expires: r.Expires})
	b.mu.Unlock()
	b.giveNotice(t, backend.CallRun, r.ID, http.StatusOK)
	return b.testCluster.Run(ctx, t, r, onEvent)
}

// Stream implements backend.Client.
func (b *hostBackends) Stream(ctx context.Context, t backend.Target, s *backend.Stream) backend.RunEnd {
	b.recordSend(t, backend.CallStream)
	b.giveNotice(t, backend.CallStream, s.Request.ID, http.StatusOK)
	return b.testCluster.Stream(ctx, t, s)
}

// Order implements backend.Client.
func (b *hostBackends) Order(ctx context.Context, t backend.Target, o backend.Order) (backend.OrderOutcome, error) {
	b.recordSend(t, backend.CallOrder)
	b.giveNotice(t, backend.CallOrder, "", http.StatusAccepted)
	return b.testCluster.Order(ctx, t, o)
}

// Report implements backend.Client.
func (b *hostBackends) Report(ctx context.Context, t backend.Target) (backend.Report, error) {
	b.recordSend(t, backend.CallReport)
	b.giveNotice(t, backend.CallReport, "", http.StatusOK)
	return b.testCluster.Report(ctx, t)
}

// Call implements backend.Client.
func (c *testCluster) Call(ctx context.Context, t backend.Target, r *backend.Request, _ time.Duration) (*backend.Response, error) {
	c.mu.Lock()
	var response *backend.Response
	if strings.HasPrefix(r.URI, "/score/") {
		response = c.scores(t, r)
	} else {
		response = c.calls(t.ID)
	}
	c.mu.Unlock()
	if response == nil {
		return nil, backend.ErrOutcomeUnknown
	}
	return response, ctx.Err()
}

// Stream implements backend.Client with the test's handler.
func (c *testCluster) Stream(ctx context.Context, t backend.Target, s *backend.Stream) backend.RunEnd {
	return c.streams(ctx, t, s)
}

// Run implements backend.Client. It sends numbered events, each after
// eventInterval.
func (c *testCluster) Run(ctx context.Context, t backend.Target, r *backend.Run, onEvent func(backend.Event)) backend.RunEnd {
	c.mu.Lock()
	replica := c.replicas[t.ID]
	if replica == nil {
		c.mu.Unlock()
		c.t.Errorf("item %s was sent to %s, which is no replica", r.ID, t.ID)
		return backend.RunEnd{Err: backend.ErrNotSent}
	}
	if end := replica.refusal(r); end != nil {
		c.mu.Unlock()
		return *end
	}
	replica.runs++
	c.running[r.ID]++
	version := replica.version
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.running[r.ID]--
		c.mu.Unlock()
	}()
	first := int64(0)
	if r.Resumed {
		first = r.LastEventID + 1
	}
	for id := first; id < int64(c.events); id++ {
		select {
		case <-ctx.Done():
			return backend.RunEnd{Err: backend.ErrOutcomeUnknown}
		case <-time.After(eventInterval):
		}
		c.mu.Lock()
		broken := replica.unavailable || (c.breaks != nil && c.breaks(r.ID, int(id)))
		c.mu.Unlock()
		if broken {
			return backend.RunEnd{Err: backend.ErrOutcomeUnknown}
		}
		onEvent(backend.Event{ID: id, Data: fmt.Sprintf("%s:%d", r.ID, id), Version: version})
	}
	return backend.RunEnd{Complete: true}
}

// refusal returns the end of a run that the replica does not start, or nil.
func (r *fakeReplica) refusal(run *backend.Run) *backend.RunEnd {
	response := &backend.Response{}
	switch {
	case r.unavailable:
		return &backend.RunEnd{Err: backend.ErrNotSent}
	case r.busy:
		response.Status, response.NotRun = http.StatusServiceUnavailable, true
	case run.Version != r.version:
		response.Status, response.NotRun, response.VersionMismatch = http.StatusMisdirectedRequest, true, true
	case r.failRuns[run.ID] > 0:
		r.failRuns[run.ID]--
		response.Status = http.StatusInternalServerError
	default:
		return nil
	}
	return &backend.RunEnd{Response: response}
}

// Order implements backend.Client.
func (c *testCluster) Order(_ context.Context, t backend.Target, o backend.Order) (backend.OrderOutcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.replicas[t.ID]
	order := receivedOrder{at: time.Now(), orderOwner: o.OrderOwner, fence: o.Fence, waits: o.WaitForRuns}
	defer func() { r.received = append(r.received, order) }()
	switch {
	case r.unavailable:
		return backend.OrderUnknown, backend.ErrOutcomeUnknown
	case o.Fence < r.fence:
		return backend.OrderFenced, nil
	case r.busy || o.ExpectedOrders != r.orders:
		return backend.OrderConflict, nil
	case o.Version > c.newest:
		return backend.OrderRefused, nil
	case r.version >= o.Version:
		return backend.OrderUpToDate, nil
	}
	order.accepted = true
	r.fence, r.busy = o.Fence, true
	r.orders++
	time.AfterFunc(loadTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		r.version, r.busy = o.Version, false
	})
	return backend.OrderAccepted, nil
}

// Report implements backend.Client.
func (c *testCluster) Report(_ context.Context, t backend.Target) (backend.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.replicas[t.ID]
	if r.unavailable {
		return backend.Report{}, backend.ErrOutcomeUnknown
	}
	return backend.Report{Versions: map[string]int64{testModel: r.version}, Busy: r.busy, AcceptedOrders: r.orders}, nil
}

// waitUntil polls a condition and fails the test after waitTimeout.
func (c *testCluster) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func newJob(id string, items int, minVersion int64) (*jobs.Job, []jobs.Payload) {
	job := &jobs.Job{ID: id, Host: testHost, Path: "/jobs/" + id, Model: testModel, WantedGroups: items, MinVersion: minVersion}
	var payloads []jobs.Payload
	for i := range items {
		item := jobs.Item{ID: fmt.Sprintf("%s-%d", id, i), Group: fmt.Sprintf("%s-g%d", id, i/2), ExpectedOutput: 10}
		job.Items = append(job.Items, item)
		payloads = append(payloads, jobs.Payload{Path: "/jobs/" + item.ID, Body: []byte("body of " + item.ID)})
	}
	return job, payloads
}

// fullOutput returns the expected output of a finished item.
func (c *testCluster) fullOutput(item string) string {
	text := ""
	for i := range c.events {
		if i > 0 {
			text += "\n"
		}
		text += fmt.Sprintf("%s:%d", item, i)
	}
	return text
}

// collect reads all results of a job and their outputs through a host.
func (c *testCluster) collect(h *hostHandle, id string, total int) ([]jobs.Result, []string) {
	c.t.Helper()
	var results []jobs.Result
	var outputs []string
	c.waitUntil("all results of "+id, func() bool {
		page, refusal := h.Results(context.Background(), id, len(results), 50*time.Millisecond)
		if refusal == nil && page != nil {
			results, outputs = append(results, page.Results...), append(outputs, page.Outputs...)
		}
		return len(results) == total
	})
	return results, outputs
}
