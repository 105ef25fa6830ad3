package fronthost

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/rollout"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Times of orders.
const (
	// intentTimeout bounds the time from the decision to order until the order
	// is sent; an order that was not sent by then is not sent at all.
	intentTimeout = 600 * time.Millisecond
	// leaseMargin is added to the lease that a new holder waits after the former
	// holder's intent: the time until that order was sent, and for messages
	// under way.
	leaseMargin = intentTimeout + 300*time.Millisecond
	// firstReport is when a load is first looked at while it is not known how
	// long loads take.
	firstReport = 700 * time.Millisecond
	// reportInterval is the time between the first two looks at a load; each
	// further one is reportGrowth times longer, up to maxReportInterval.
	reportInterval    = 80 * time.Millisecond
	reportGrowth      = 1.3
	maxReportInterval = 400 * time.Millisecond
	// loadLimit ends the watch of a load; it is planned anew then.
	loadLimit = 12 * time.Second
	// orderRetry delays the next order after one that was not taken.
	orderRetry = 300 * time.Millisecond
	// unknownRetry delays the next order after one without an answer.
	unknownRetry = time.Second
	// reportLag is how old a report usually is; maxReportLag is how old it may be.
	reportLag    = 200 * time.Millisecond
	maxReportLag = 400 * time.Millisecond
	// placementLifetime is how long the placement of a replica outlives its
	// registration: much longer than a lease and than a restart under one ID.
	placementLifetime = 5 * time.Minute
	// defaultLag is the number of versions behind the newest that a trainer is
	// expected to allow before its first job says so.
	defaultLag = 1
)

// orderer plans versions and sends orders while its runner holds the control
// partition. It is the only place that sends orders.
type orderer struct {
	runner *runner
	rows   map[string]*orderRow
	// loadTime is the shortest time that a load was seen to take; 0 if none was.
	loadTime time.Duration
	// gone holds since when a placed replica is not registered.
	gone map[string]time.Time
}

// orderRow is what the orderer knows of one start of one replica.
type orderRow struct {
	started   int64
	known     bool      // a report was read
	orders    int64     // orders that the replica has taken
	busy      bool      // an exchange or a load is under way
	loading   string    // model of the order that is under way
	taken     time.Time // when the replica took that order
	notBefore time.Time
}

func newOrderer(r *runner) *orderer {
	return &orderer{runner: r, rows: make(map[string]*orderRow), gone: make(map[string]time.Time)}
}

// mayOrder says whether this host is the holder for sure.
func (o *orderer) mayOrder() bool {
	epoch, held := o.runner.host.group.Owned()[controlPartition]
	return held && epoch == o.runner.epoch && !o.runner.isStopping()
}

// orderFrom returns when a replica may be sent an order: a lease after the last
// one that another holder may have sent it. Every holder has its intent in the
// log before it sends an order, so an order without a known intent was not sent.
func (o *orderer) orderFrom(row *orderRow, p *placement) time.Time {
	from := row.notBefore
	if p.Holder != "" && p.Holder != o.runner.host.member {
		if lease := p.intended.Add(o.runner.host.settings.Timing.OrderLease + leaseMargin); lease.After(from) {
			return lease
		}
	}
	return from
}

// tick assigns replicas to models and sends the orders that are due.
func (o *orderer) tick(ctx context.Context) {
	h := o.runner.host
	now := time.Now()
	h.mu.Lock()
	replicas, models := o.tables()
	changed := rollout.Assign(rollout.Defaults(), replicas, models)
	records := append(o.assignments(changed, replicas), o.removals(now)...)
	var orders []rollout.Order
	if o.mayOrder() {
		orders = rollout.Next(rollout.Defaults(), replicas, models, now)
	}
	for _, order := range orders {
		o.launch(ctx, order)
	}
	h.mu.Unlock()
	o.runner.write(records)
}

// tables copies what the plan needs. The caller holds host.mu.
func (o *orderer) tables() ([]*rollout.Replica, []rollout.Model) {
	h := o.runner.host
	if h.state.Config == nil {
		return nil, nil
	}
	var replicas []*rollout.Replica
	var models []rollout.Model
	for _, name := range sortedServices(h.state.Config) {
		service := h.state.Config.Services[name]
		if len(service.Models) == 0 {
			continue
		}
		for _, model := range service.Models {
			models = append(models, rollout.Model{
				Name: model, Service: name, Newest: h.state.Newest(model), MaxLag: h.lagOf(model), SingleVersion: h.keepsOne(model),
			})
		}
		for _, s := range h.byService[name] {
			replicas = append(replicas, o.replica(&s))
		}
	}
	return replicas, models
}

func (o *orderer) replica(s *deployment.Server) *rollout.Replica {
	row := o.row(s)
	p := o.runner.host.placement(s.ID)
	serves := make(map[string]bool, len(p.Serves))
	for _, m := range p.Serves {
		serves[m] = true
	}
	return &rollout.Replica{
		ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Incarnation: s.Incarnation, Leaving: s.Leaving,
		Versions: p.Versions, Serves: serves, Busy: row.busy, Loading: row.loading, NotBefore: o.orderFrom(row, p),
		AwaitingReport: o.loadTime > 0 && !row.taken.IsZero() && time.Since(row.taken) >= o.loadTime,
	}
}

func (o *orderer) row(s *deployment.Server) *orderRow {
	row := o.rows[s.ID]
	if row == nil || row.started != s.Incarnation {
		row = &orderRow{started: s.Incarnation}
		o.rows[s.ID] = row
	}
	return row
}

// assignments returns the records of changed assignments and takes them over.
// The caller holds host.mu.
func (o *orderer) assignments(changed []string, replicas []*rollout.Replica) []logstore.Record {
	h := o.runner.host
	var records []logstore.Record
	for _, id := range changed {
		for _, r := range replicas {
			if r.ID != id {
				continue
			}
			p := h.placement(id)
			p.Serves = p.Serves[:0:0]
			for _, m := range h.state.Config.Models() {
				if r.Serves[m] {
					p.Serves = append(p.Serves, m)
				}
			}
			h.recorder.Decision("place", "", "replica", id, "serves", p.Serves, "versions", p.Versions)
			records = append(records, o.record(id, p)...)
		}
	}
	return records
}

// removals returns the records that remove the placements of replicas that have
// been gone for long. The caller holds host.mu.
func (o *orderer) removals(now time.Time) []logstore.Record {
	h := o.runner.host
	var records []logstore.Record
	for id := range h.placed {
		if h.state.Servers.Get(id) != nil {
			delete(o.gone, id)
			continue
		}
		since, known := o.gone[id]
		switch {
		case !known:
			o.gone[id] = now
		case now.Sub(since) > placementLifetime:
			delete(o.gone, id)
			delete(o.rows, id)
			delete(h.placed, id)
			records = append(records, logstore.Record{Key: kindPlacement + id})
		}
	}
	return records
}

func (o *orderer) record(id string, p *placement) []logstore.Record {
	record, err := encodePlacement(id, p)
	if err != nil {
		klog.ErrorS(err, "placement cannot be written", "replica", id)
		return nil
	}
	return []logstore.Record{record}
}

func sortedServices(c *deployment.Config) []string {
	return slices.Sorted(maps.Keys(c.Services))
}

// lagOf returns how many versions behind the newest a model's trainer allows.
// The caller holds mu.
func (h *Host) lagOf(model string) int64 {
	lag, step := int64(defaultLag), int64(-1)
	h.jobs.Each(func(e *jobs.Entry) bool {
		if e.Job.Model == model && e.Job.Step > step && e.Job.Step > 1 {
			step = e.Job.Step
			lag = max(e.Job.Step-e.Job.MinVersion, 0)
		}
		return true
	})
	return min(lag, defaultLag)
}

// keepsOne says whether a model's results may have one version only. The caller
// holds mu.
func (h *Host) keepsOne(model string) bool {
	keeps := false
	h.jobs.Each(func(e *jobs.Entry) bool {
		if e.Job.Model == model && !e.Ended {
			route := h.routeOf(e)
			keeps = keeps || (route != nil && route.SingleVersion)
		}
		return true
	})
	return keeps
}

// launch sends one order in the background. The caller holds host.mu.
func (o *orderer) launch(ctx context.Context, order rollout.Order) {
	server := o.runner.host.state.Servers.Get(order.Replica)
	if server == nil {
		return
	}
	row := o.row(server)
	row.busy, row.loading = true, order.Model
	go o.carryOut(ctx, order, backend.Target{ID: server.ID, Addr: server.Addr}, row)
}

// carryOut sends an order and watches the load until it is done.
func (o *orderer) carryOut(ctx context.Context, order rollout.Order, target backend.Target, row *orderRow) {
	h := o.runner.host
	if !row.known && !o.readReport(ctx, order, target, row) {
		o.release(row, orderRetry)
		return
	}
	h.mu.Lock()
	needed := h.placement(target.ID).Versions[order.Model] < order.Version
	expected := row.orders
	h.mu.Unlock()
	if !needed {
		o.release(row, 0)
		return
	}
	decided := time.Now()
	if !o.intend(ctx, target.ID, order.Model) || !o.mayOrder() || time.Since(decided) > intentTimeout {
		klog.InfoS("order is not sent: no intent in the log", "replica", target.ID, "model", order.Model, "version", order.Version)
		o.publish(target.ID, "")
		o.release(row, orderRetry)
		return
	}
	outcome, err := h.backends.Order(ctx, target, backend.Order{
		Model: order.Model, Version: order.Version, WaitForRuns: order.FinishRuns,
		Holder: h.member, Fence: o.runner.epoch, ExpectedOrders: expected,
	})
	h.recorder.Decision("order", "", "replica", target.ID, "model", order.Model, "version", order.Version, "fence", o.runner.epoch, "expected", expected, "outcome", outcome.String(), "err", errorText(err))
	h.recorder.Count("orders_total", "outcome", outcome.String())
	pause := time.Duration(0)
	switch outcome {
	case backend.OrderAccepted:
		h.mu.Lock()
		row.orders, row.taken = expected+1, time.Now()
		first := firstReport
		if o.loadTime > 0 {
			first = o.loadTime + reportLag
		}
		h.mu.Unlock()
		if took := o.watch(ctx, order, target, row, first); took > 0 {
			o.loaded(took)
		}
	case backend.OrderUpToDate:
		o.learned(target.ID, order.Model, order.Version)
	case backend.OrderUnknown:
		o.watch(ctx, order, target, row, maxReportLag)
		pause = unknownRetry
	case backend.OrderConflict:
		row.known = false
		pause = orderRetry
	case backend.OrderFenced:
		klog.InfoS("a replica has seen a higher fencing number", "replica", target.ID, "fence", o.runner.epoch)
		h.group.ReleaseFenced(controlPartition)
		pause = unknownRetry
	case backend.OrderRefused:
		row.known = false
		pause = unknownRetry
	}
	o.publish(target.ID, "")
	o.release(row, pause)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// watch reads reports until the replica has the version, and returns how long
// that took, or until it is idle without it.
func (o *orderer) watch(ctx context.Context, order rollout.Order, target backend.Target, row *orderRow, first time.Duration) time.Duration {
	started := time.Now()
	interval := reportInterval
	for pause := first; time.Since(started) < loadLimit; pause = interval {
		select {
		case <-ctx.Done():
			return 0
		case <-time.After(pause):
		}
		interval = min(time.Duration(reportGrowth*float64(interval)), maxReportInterval)
		report, err := o.runner.host.backends.Report(ctx, target)
		if err != nil {
			if !o.registered(target) {
				return 0
			}
			continue
		}
		o.take(target.ID, report, row)
		if report.Versions[order.Model] >= order.Version {
			return time.Since(started)
		}
		if !report.Busy && time.Since(started) > first+2*maxReportLag {
			return 0
		}
	}
	return 0
}

// loaded notes how long a load took until a report showed it.
func (o *orderer) loaded(took time.Duration) {
	o.runner.host.mu.Lock()
	defer o.runner.host.mu.Unlock()
	took = max(took-reportLag, reportInterval)
	if o.loadTime == 0 || took < o.loadTime {
		o.loadTime = took
	}
	o.runner.wake()
}

func (o *orderer) registered(target backend.Target) bool {
	o.runner.host.mu.Lock()
	defer o.runner.host.mu.Unlock()
	s := o.runner.host.state.Servers.Get(target.ID)
	return s != nil && s.Addr == target.Addr
}

// readReport reads a replica's state before the first order.
func (o *orderer) readReport(ctx context.Context, order rollout.Order, target backend.Target, row *orderRow) bool {
	report, err := o.runner.host.backends.Report(ctx, target)
	if err != nil {
		klog.V(1).InfoS("replica gave no report", "replica", target.ID, "err", err)
		return false
	}
	o.take(target.ID, report, row)
	return report.Versions[order.Model] < order.Version
}

// take takes a report. It may be older than what is known.
func (o *orderer) take(replica string, report backend.Report, row *orderRow) {
	h := o.runner.host
	h.mu.Lock()
	defer h.mu.Unlock()
	row.known = true
	row.orders = max(row.orders, report.AcceptedOrders)
	for model, version := range report.Versions {
		h.placement(replica).learn(model, version)
	}
}

func (o *orderer) learned(replica, model string, version int64) {
	o.runner.host.mu.Lock()
	defer o.runner.host.mu.Unlock()
	o.runner.host.placement(replica).learn(model, version)
}

// intend has the intent to order a load in the log.
func (o *orderer) intend(ctx context.Context, replica, model string) bool {
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	return o.runner.writeAndWait(ctx, o.placementWith(replica, model))
}

// publish tells the runners of all models what a replica loads and has.
func (o *orderer) publish(replica, loading string) {
	o.runner.write(o.placementWith(replica, loading))
}

// placementWith returns the record of a replica that loads a model. The table
// changes only when the record is in the log.
func (o *orderer) placementWith(replica, loading string) []logstore.Record {
	h := o.runner.host
	h.mu.Lock()
	defer h.mu.Unlock()
	p := *h.placement(replica)
	p.Loading, p.Holder = loading, h.member
	return o.record(replica, &p)
}

func (o *orderer) release(row *orderRow, pause time.Duration) {
	o.runner.host.mu.Lock()
	defer o.runner.host.mu.Unlock()
	row.busy, row.loading, row.taken = false, "", time.Time{}
	row.notBefore = time.Now().Add(pause)
	o.runner.wake()
}
