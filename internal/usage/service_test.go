package usage

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/core/usage"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// testNetwork has two services with a directory, an API and a partition in common. It
// implements Directory for the service "a", Peers, duties.ControlAPI and duties.Office.
type testNetwork struct {
	mu       sync.Mutex
	holder   limits.Allocator
	services map[string]*Service
	cut      bool // messages between hosts are lost
	// delivered are the requests of each workspace that reached a holder as final, and
	// unstored is set while nothing is stored.
	delivered map[string]int64
	unstored  bool
	// late is set while records are stored only when the test says so, and held are these.
	late    bool
	held    []logstore.Record
	records map[string]logstore.Record
	answers error // of the API
	reports map[int64][]map[string]int64
	fences  []int64
}

var errCut = errors.New("cut")

func (n *testNetwork) Allocator(string) (limits.Allocator, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder, n.holder.Addr != ""
}

func (n *testNetwork) LearnAllocator(limits.Allocator) {}

func (n *testNetwork) ReportUsage(ctx context.Context, addr string, counts *peerpb.UsageCounts) (*peerpb.UsageReply, error) {
	n.mu.Lock()
	s, cut := n.services[addr], n.cut
	n.mu.Unlock()
	if cut {
		return nil, errCut
	}
	reply, err := s.ReportUsage(ctx, counts)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range counts.GetWindows() {
		for workspace, requests := range w.GetCounts() {
			if w.GetFinal() && !reply.GetNotHolder() {
				n.delivered[workspace] = max(n.delivered[workspace], requests)
			}
		}
	}
	return reply, err
}

// testAPI is the control API of a network.
type testAPI struct{ *testNetwork }

func (a testAPI) ReportUsage(_ context.Context, tenure duties.Tenure, r duties.UsageReport) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports[r.Window] = append(a.reports[r.Window], maps.Clone(r.Counts))
	a.fences = append(a.fences, tenure.Fence)
	return a.answers
}

func (a testAPI) Scale(context.Context, duties.Tenure, duties.ScaleOrder) error { return nil }

// testOffice implements duties.Office.
type testOffice struct {
	*testNetwork
	fence int64
}

func (o testOffice) Tenure() duties.Tenure { return duties.Tenure{Fence: o.fence} }

func (o testOffice) Records(prefix string) []logstore.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []logstore.Record
	for _, key := range slices.Sorted(maps.Keys(o.records)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o.records[key])
		}
	}
	return found
}

func (o testOffice) Age(string) time.Duration { return 0 }

func (o testOffice) Append(_ context.Context, records []logstore.Record) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unstored {
		return duties.ErrNotStored
	}
	if o.late {
		o.held = append(o.held, records...)
		return duties.ErrNotStored
	}
	o.put(records)
	return nil
}

// put stores records. The caller holds mu.
func (n *testNetwork) put(records []logstore.Record) {
	for _, r := range records {
		n.records[r.Key] = r
		if r.IsTombstone() {
			delete(n.records, r.Key)
		}
	}
}

func (o testOffice) Call(ctx context.Context, c duties.Call) error { return c.Send(ctx, o.Tenure()) }

var testWindows = usage.Windows{Length: 300 * time.Millisecond, Due: 2 * time.Second}

func newTestNetwork(t *testing.T, names ...string) *testNetwork {
	n := &testNetwork{services: make(map[string]*Service), records: make(map[string]logstore.Record), reports: make(map[int64][]map[string]int64), delivered: make(map[string]int64)}
	for _, name := range names {
		recorder, err := telemetry.NewRecorder(name, 0)
		must.NoError(t, err)
		s := New(Config{Process: name, Windows: testWindows, RecordBytes: keyBytes + 20}, n, n, testAPI{n}, recorder, time.Now)
		n.services[name] = s
		go s.Run(t.Context())
	}
	return n
}

// hold makes a service the holder until the returned function is called.
func (n *testNetwork) hold(t *testing.T, name string, fence int64) (lose func()) {
	n.mu.Lock()
	n.holder = limits.Allocator{Addr: name, Epoch: fence}
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		n.services[name].Hold(ctx, testOffice{n, fence})
		close(ended)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// reported returns the requests of a workspace in all windows, and fails if a window was
// reported with different counts.
func (n *testNetwork) reported(t *testing.T, workspace string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for window, reports := range n.reports {
		sum += reports[0][workspace]
		for _, r := range reports {
			must.Eq(t, reports[0], r, must.Sprintf("window %d", window))
		}
	}
	return sum
}

func (n *testNetwork) awaitReported(t *testing.T, workspace string, want int64) {
	t.Helper()
	await(t, func() bool { return n.reported(t, workspace) == want })
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
	}
}

func (n *testNetwork) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// Guards against requests that are lost, counted twice, or reported with different counts
// when messages are lost, the API does not answer, and the holder changes in between.
func TestReportsOfTwoHolders(t *testing.T) {
	n := newTestNetwork(t, "a", "b")
	lose := n.hold(t, "a", 1)
	begin := func(host, workspace string) *Request {
		r := n.services[host].NewRequest(workspace)
		r.Began(time.Now())
		return r
	}
	for range 10 {
		begin("b", "x")
		begin("b", "x").Refused()
	}
	begin("a", "y")
	n.awaitReported(t, "x", 10)
	n.awaitReported(t, "y", 1)

	n.set(func() { n.unstored, n.answers = true, duties.ErrOutcomeUnknown })
	begin("b", "received")
	await(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.delivered["received"] == 1
	})
	n.set(func() { n.cut = true })
	begin("b", "lost")
	lose()
	n.set(func() { n.unstored, n.cut, n.answers = false, false, nil })
	defer n.hold(t, "b", 2)()
	n.awaitReported(t, "received", 1)
	n.awaitReported(t, "lost", 1)
	n.awaitReported(t, "x", 10)
	n.mu.Lock()
	defer n.mu.Unlock()
	must.True(t, slices.IsSorted(n.fences))
}

// Guards against two reports of a window with different counts and numbers of parts, when the
// first one is stored late, after the tenure has lapsed and become certain again.
func TestUnconfirmedReportIsNotMadeAnew(t *testing.T) {
	n := newTestNetwork(t, "a")
	lose := n.hold(t, "a", 1)
	begin := func(workspace string, at time.Time) { n.services["a"].NewRequest(workspace).Began(at) }
	begin("before", time.Now())
	n.awaitReported(t, "before", 1)

	n.set(func() { n.late = true })
	var window int64
	await(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, r := range n.held {
			if !r.IsTombstone() {
				window, _ = strconv.ParseInt(windowOf(r.Key), 10, 64)
			}
		}
		return window != 0
	})
	lose()
	for _, name := range []string{"first", "second", "third"} {
		begin(name, testWindows.End(window).Add(-testWindows.Length/2))
	}
	n.set(func() { n.late = false })
	sent := func() int {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.reports[window])
	}
	lose = n.hold(t, "a", 1)
	await(t, func() bool { return sent() > 0 })
	lose()
	n.set(func() { n.put(n.held) })
	before := sent()
	defer n.hold(t, "a", 2)()
	await(t, func() bool { return sent() > before })
	must.EqOp(t, 0, n.reported(t, "first"))
}

// Guards against parts of a former report that stay beside those of the new one.
func TestOtherPartsOfTheWindowAreRemoved(t *testing.T) {
	former, err := reportRecords(usage.Report{Window: 7, Counts: map[string]int64{"a": 1}}, keyBytes+40)
	must.NoError(t, err)
	report := usage.Report{Window: 7, Counts: map[string]int64{"a": 1, "bbbbbbbbbbbbbbbbbbbbbbb": 5}}
	records, err := reportRecords(report, keyBytes+40)
	must.NoError(t, err)
	must.Greater(t, len(former), len(records))
	n := newTestNetwork(t, "a")
	n.put(former)
	office := testOffice{n, 1}
	u := unconfirmed{report: report, records: records}
	must.NoError(t, office.Append(t.Context(), u.replacing(office.Records(windowPrefix(7)))))
	reports, incomplete := storedReports(office.Records(keyPrefix))
	must.Eq(t, []usage.Report{report}, reports)
	must.Len(t, 0, incomplete)
}

// Guards against a report of which a part was not stored, and which is sent as if the others
// were all.
func TestIncompleteReportIsRemoved(t *testing.T) {
	whole := usage.Report{Window: 1, Counts: map[string]int64{"workspace": 1}}
	broken := usage.Report{Window: 2, Counts: map[string]int64{"workspace": 2}}
	records, err := reportRecords(whole, keyBytes+20)
	must.NoError(t, err)
	second, err := reportRecords(broken, keyBytes+20)
	must.NoError(t, err)
	must.Greater(t, 1, len(second))
	reports, incomplete := storedReports(append(records, second[:len(second)-1]...))
	must.Eq(t, []usage.Report{whole}, reports)
	must.Eq(t, second[:len(second)-1], incomplete)
}

// Guards against a host without usage reports, or a request without a workspace, that fails.
func TestUncountedRequests(t *testing.T) {
	var s *Service
	r := s.NewRequest("x")
	r.Began(time.Now())
	r.Answered("pages", time.Now(), time.Now())
	r.Refused()
	s.Flush(t.Context())
	must.Nil(t, newTestNetwork(t, "a").services["a"].NewRequest(""))
}
