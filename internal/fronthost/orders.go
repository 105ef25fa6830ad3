package fronthost

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/duty"
	"github.com/sesamestand/sesamestand/internal/core/jobs"
	"github.com/sesamestand/sesamestand/internal/core/rollout"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Timeouts and intervals of load orders.
const (
	// minIntentTime bounds the time from the append of an intent to send an order until the
	// order is sent, while the store answers soon. An order that was not sent by then is
	// abandoned. While the store is slow, the time is longer, up to maxIntentTime, and the
	// intent says so.
	minIntentTime = duty.MinIntentTime
	maxIntentTime = duty.MaxIntentTime
	// orderTransit is the time that an order is in flight. A new order owner waits for it,
	// and for the time of the intent, in addition to the lease after the former owner's last
	// intent.
	orderTransit = 300 * time.Millisecond
	// firstReportDelay is how long after an accepted order the first report is read
	// as long as no load time has been measured.
	firstReportDelay = 700 * time.Millisecond
	// reportInterval is the time between the first two reports that are read during
	// a load. Each further interval is reportGrowth times longer, up to
	// maxReportInterval.
	reportInterval    = 80 * time.Millisecond
	reportGrowth      = 1.3
	maxReportInterval = 400 * time.Millisecond
	// loadTimeout bounds how long the reports of a load are read. After that the load
	// is planned again.
	loadTimeout = 12 * time.Second
	// orderRetryDelay delays the next order after one that was not sent or not accepted.
	orderRetryDelay = 300 * time.Millisecond
	// unknownRetryDelay delays the next order after one that was fenced, refused or
	// not answered.
	unknownRetryDelay = time.Second
	// reportLag is the usual age of a report, and maxReportLag is the maximum.
	reportLag    = 200 * time.Millisecond
	maxReportLag = 400 * time.Millisecond
	// placementRetention is how long the placement of a replica is retained after the
	// replica is unregistered: much longer than a lease and than a restart under the
	// same ID.
	placementRetention = 5 * time.Minute
	// defaultLag is the number of versions behind the newest that a trainer is
	// assumed to allow before one of its jobs states the number. It is also the upper
	// bound of the number that is used.
	defaultLag = 1
)

// orderer plans the weight versions of replicas and sends load orders while its
// runner owns the control partition. No other code sends orders. Before each order, it
// appends its intent to send the order: a placement record that names the order owner
// and the model to be loaded.
type orderer struct {
	runner *runner
	states map[string]*replicaState // by server ID
	// minLoadTime is the shortest measured duration of a load; 0 if none was measured.
	minLoadTime time.Duration
	// unregisteredSince holds, for each replica that has a placement but is not
	// registered, when that was first noticed.
	unregisteredSince map[string]time.Time
}

// replicaState is the orderer's state of one incarnation of a replica.
type replicaState struct {
	incarnation int64
	reported    bool      // a report was read
	orderCount  int64     // orders that the replica has accepted
	busy        bool      // an order is being sent or a load is in progress
	loading     string    // model of the order in progress
	acceptedAt  time.Time // when the replica accepted that order
	notBefore   time.Time
	intent      *placement // intent to send an order that is being appended, or nil
}

func newOrderer(r *runner) *orderer {
	return &orderer{runner: r, states: make(map[string]*replicaState), unregisteredSince: make(map[string]time.Time)}
}

// mayOrder reports whether this host is certain to be the order owner.
func (o *orderer) mayOrder() bool { return o.runner.isCertainOwner() }

// earliestOrder returns the time from which a replica may be sent an order: a lease
// after the last order that another order owner may have sent to it. Every order
// owner has its intent in the log before it sends an order, so an order without a
// known intent was not sent.
func (o *orderer) earliestOrder(rs *replicaState, p *placement) time.Time {
	from := rs.notBefore
	if p.OrderOwner != "" && p.OrderOwner != o.runner.host.member {
		if lease := p.lastIntent.Add(o.runner.host.settings.Timing.OrderLease + p.intentTime() + orderTransit); lease.After(from) {
			return lease
		}
	}
	return from
}

// intentTime returns the time within which the last order was sent after the append of its
// intent began.
func (p *placement) intentTime() time.Duration {
	return max(time.Duration(p.IntentMs)*time.Millisecond, minIntentTime)
}

// tick assigns replicas to models and sends the orders that are due.
func (o *orderer) tick(ctx context.Context) {
	h := o.runner.host
	now := time.Now()
	h.mu.Lock()
	replicas, models := o.planInput()
	changed := rollout.Assign(rollout.Defaults(), replicas, models)
	records := append(o.assignments(changed, replicas), o.removals(now)...)
	var orders []rollout.Order
	if o.mayOrder() {
		orders = rollout.Next(rollout.Defaults(), replicas, models, now)
	}
	o.runner.queueRecords(records) // before the intents of the orders
	for _, order := range orders {
		o.startOrder(ctx, order)
	}
	h.mu.Unlock()
}

// planInput copies the replicas and models that the plan needs. The caller holds
// host.mu.
func (o *orderer) planInput() ([]*rollout.Replica, []rollout.Model) {
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
				Name: model, Service: name, Newest: h.state.Newest(model), MaxLag: h.allowedLag(model), SingleVersion: h.requiresSingleVersion(model),
			})
		}
		for _, s := range h.serversByService[name] {
			replicas = append(replicas, o.replica(&s))
		}
	}
	return replicas, models
}

// replica returns a replica as input for the plan. The caller holds host.mu.
func (o *orderer) replica(s *deployment.Server) *rollout.Replica {
	rs := o.stateOf(s)
	p := o.runner.host.placement(s.ID)
	serves := make(map[string]bool, len(p.Serves))
	for _, m := range p.Serves {
		serves[m] = true
	}
	return &rollout.Replica{
		ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Incarnation: s.Incarnation, Leaving: s.Leaving,
		Versions: o.runner.host.versionsOf(s), Serves: serves, Busy: rs.busy, Loading: rs.loading, NotBefore: o.earliestOrder(rs, p),
		AwaitingReport: o.minLoadTime > 0 && !rs.acceptedAt.IsZero() && time.Since(rs.acceptedAt) >= o.minLoadTime,
	}
}

// stateOf returns the orderer's state of a server, which is new if the server has
// restarted. The caller holds host.mu.
func (o *orderer) stateOf(s *deployment.Server) *replicaState {
	rs := o.states[s.ID]
	if rs == nil || rs.incarnation != s.Incarnation {
		rs = &replicaState{incarnation: s.Incarnation}
		o.states[s.ID] = rs
	}
	return rs
}

// assignments applies the changed assignments of models to replicas, and returns
// their records. The caller holds host.mu.
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
			h.recorder.RecordDecision("place", "", "replica", id, "serves", p.Serves, "versions", r.Versions)
			records = append(records, o.record(id, o.withIntent(id, *p))...)
		}
	}
	return records
}

// withIntent returns the placement of a replica with the intent that is being appended, if
// any: a record without it would replace it in listings. The caller holds host.mu.
func (o *orderer) withIntent(replica string, p placement) *placement {
	if rs := o.states[replica]; rs != nil && rs.intent != nil {
		p.Loading, p.OrderOwner, p.IntentMs = rs.intent.Loading, rs.intent.OrderOwner, rs.intent.IntentMs
	}
	return &p
}

// removals removes the placements of replicas that have been unregistered for longer
// than placementRetention, and returns their tombstones. The caller holds host.mu.
func (o *orderer) removals(now time.Time) []logstore.Record {
	h := o.runner.host
	var records []logstore.Record
	for id := range h.placements {
		if h.state.Servers.Get(id) != nil {
			delete(o.unregisteredSince, id)
			continue
		}
		since, known := o.unregisteredSince[id]
		switch {
		case !known:
			o.unregisteredSince[id] = now
		case now.Sub(since) > placementRetention:
			delete(o.unregisteredSince, id)
			delete(o.states, id)
			delete(h.placements, id)
			records = append(records, logstore.Record{Key: placementKeyPrefix + id})
		}
	}
	return records
}

func (o *orderer) record(id string, p *placement) []logstore.Record {
	record, err := encodePlacement(id, p)
	if err != nil {
		klog.ErrorS(err, "placement could not be encoded", "replica", id)
		return nil
	}
	return []logstore.Record{record}
}

func sortedServices(c *deployment.Config) []string {
	return slices.Sorted(maps.Keys(c.Services))
}

// allowedLag returns how many versions behind the newest a model's trainer allows,
// at most defaultLag. The caller holds mu.
func (h *Host) allowedLag(model string) int64 {
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

// requiresSingleVersion reports whether each result of a model's unfinished jobs must
// have a single weight version. The caller holds mu.
func (h *Host) requiresSingleVersion(model string) bool {
	required := false
	h.jobs.Each(func(e *jobs.Entry) bool {
		if e.Job.Model == model && !e.Ended {
			route := h.routeOf(e)
			required = required || (route != nil && route.SingleVersion)
		}
		return true
	})
	return required
}

// startOrder starts to execute an order in the background. The caller holds host.mu.
func (o *orderer) startOrder(ctx context.Context, order rollout.Order) {
	server := o.runner.host.state.Servers.Get(order.Replica)
	if server == nil {
		return
	}
	rs := o.stateOf(server)
	rs.busy, rs.loading = true, order.Model
	go o.executeOrder(ctx, order, targetOf(server), rs)
}

// executeOrder sends an order, if it is still needed, and reads reports until the load
// is finished.
func (o *orderer) executeOrder(ctx context.Context, order rollout.Order, target backend.Target, rs *replicaState) {
	h := o.runner.host
	if !rs.reported && !o.readReport(ctx, order, target, rs) {
		o.release(rs, orderRetryDelay)
		return
	}
	h.mu.Lock()
	needed := h.versionOf(target.ID, order.Model) < order.Version
	expected := rs.orderCount
	h.mu.Unlock()
	if !needed {
		o.release(rs, 0)
		return
	}
	if until := o.logIntent(ctx, target.ID, order.Model); !o.mayOrder() || time.Now().After(until) {
		klog.InfoS("order not sent: intent not logged in time or partition lost", "replica", target.ID, "model", order.Model, "version", order.Version)
		o.publishPlacement(target.ID, "")
		o.release(rs, orderRetryDelay)
		return
	}
	if !h.acceptsOrders(target) {
		h.recordTurnedAway("", backend.CallOrder, "server", target.ID, "model", order.Model, "version", order.Version)
		o.publishPlacement(target.ID, "")
		o.release(rs, orderRetryDelay)
		return
	}
	// A job that requires a single version may have begun to run since the plan was made.
	h.mu.Lock()
	waitForRuns := order.FinishRuns || h.requiresSingleVersion(order.Model)
	h.mu.Unlock()
	outcome, err := h.backends.Order(ctx, target, backend.Order{
		Model: order.Model, Version: order.Version, WaitForRuns: waitForRuns,
		OrderOwner: h.member, Fence: o.runner.epoch, ExpectedOrders: expected,
	})
	h.recorder.RecordDecision("order", "", "replica", target.ID, "model", order.Model, "version", order.Version, "fence", o.runner.epoch, "expected", expected, "wait_for_runs", waitForRuns, "outcome", outcome.String(), "err", errorText(err))
	h.recorder.Count("orders_total", "outcome", outcome.String())
	backoff := time.Duration(0)
	switch outcome {
	case backend.OrderAccepted:
		h.mu.Lock()
		rs.orderCount, rs.acceptedAt = expected+1, time.Now()
		firstDelay := firstReportDelay
		if o.minLoadTime > 0 {
			firstDelay = o.minLoadTime + reportLag
		}
		h.mu.Unlock()
		if took := o.watch(ctx, order, target, rs, firstDelay); took > 0 {
			o.recordLoadTime(took)
		}
	case backend.OrderUpToDate:
		o.observeVersion(target.ID, order.Model, order.Version)
	case backend.OrderUnknown:
		o.watch(ctx, order, target, rs, maxReportLag)
		backoff = unknownRetryDelay
	case backend.OrderConflict:
		rs.reported = false
		backoff = orderRetryDelay
	case backend.OrderFenced:
		klog.InfoS("order fenced: replica has seen a higher fencing number", "replica", target.ID, "fence", o.runner.epoch)
		h.group.ReleaseFenced(controlPartition, o.runner.epoch)
		backoff = unknownRetryDelay
	case backend.OrderRefused:
		rs.reported = false
		backoff = unknownRetryDelay
	}
	o.publishPlacement(target.ID, "")
	o.release(rs, backoff)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// watch reads reports, the first one after firstDelay, until the replica has the
// ordered version, and returns how long that took. It returns 0 if the replica is idle
// without the version or no longer registered, or if loadTimeout has passed.
func (o *orderer) watch(ctx context.Context, order rollout.Order, target backend.Target, rs *replicaState, firstDelay time.Duration) time.Duration {
	started := time.Now()
	interval := reportInterval
	for pause := firstDelay; time.Since(started) < loadTimeout; pause = interval {
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
		o.applyReport(target.ID, report, rs)
		if report.Versions[order.Model] >= order.Version {
			return time.Since(started)
		}
		if !report.Busy && time.Since(started) > firstDelay+2*maxReportLag {
			return 0
		}
	}
	return 0
}

// recordLoadTime records how long a load took until a report showed the new version.
func (o *orderer) recordLoadTime(took time.Duration) {
	o.runner.host.mu.Lock()
	defer o.runner.host.mu.Unlock()
	took = max(took-reportLag, reportInterval)
	if o.minLoadTime == 0 || took < o.minLoadTime {
		o.minLoadTime = took
	}
	o.runner.wake()
}

func (o *orderer) registered(target backend.Target) bool {
	o.runner.host.mu.Lock()
	defer o.runner.host.mu.Unlock()
	s := o.runner.host.state.Servers.Get(target.ID)
	return s != nil && s.Addr == target.Addr
}

// readReport reads a replica's state before the first order, and reports whether the
// order is still needed.
func (o *orderer) readReport(ctx context.Context, order rollout.Order, target backend.Target, rs *replicaState) bool {
	report, err := o.runner.host.backends.Report(ctx, target)
	if err != nil {
		klog.V(1).InfoS("replica report could not be read", "replica", target.ID, "err", err)
		return false
	}
	o.applyReport(target.ID, report, rs)
	return report.Versions[order.Model] < order.Version
}

// applyReport applies a report, which may be older than the known state.
func (o *orderer) applyReport(replica string, report backend.Report, rs *replicaState) {
	h := o.runner.host
	h.mu.Lock()
	defer h.mu.Unlock()
	rs.reported = true
	rs.orderCount = max(rs.orderCount, report.AcceptedOrders)
	for model, version := range report.Versions {
		h.placement(replica).observeVersion(model, version)
	}
}

func (o *orderer) observeVersion(replica, model string, version int64) {
	o.runner.host.mu.Lock()
	defer o.runner.host.mu.Unlock()
	o.runner.host.placement(replica).observeVersion(model, version)
}

// logIntent appends the intent to send a load order, and returns the time until which the
// order may be sent, or the zero time if the intent is not in the log. The intent cannot be
// in the log before its append began, so a host that read it knows until when the order was
// sent. Other appends may be under way before that.
func (o *orderer) logIntent(ctx context.Context, replica, model string) time.Time {
	limit := duty.IntentTime(o.runner.host.store.Small())
	ctx, cancel := context.WithTimeout(ctx, 2*limit)
	defer cancel()
	outcome := o.runner.appendAndWait(ctx, o.placementRecords(replica, model, limit))
	o.endIntent(replica)
	if !outcome.appended {
		return time.Time{}
	}
	return outcome.began.Add(limit)
}

// endIntent records that an intent was appended, and is in memory, or that its order is not
// sent.
func (o *orderer) endIntent(replica string) {
	o.runner.host.mu.Lock()
	defer o.runner.host.mu.Unlock()
	if rs := o.states[replica]; rs != nil {
		rs.intent = nil
	}
}

// publishPlacement publishes which model a replica is loading, if any, and which
// versions it has, so that the runners of all models know it.
func (o *orderer) publishPlacement(replica, loading string) {
	o.runner.queueRecords(o.placementRecords(replica, loading, 0))
}

// placementRecords returns the placement record of a replica, with the model that it
// is loading, if any, and the time of the intent if it is one. The placement in memory
// changes only when the record is in the log.
func (o *orderer) placementRecords(replica, loading string, intent time.Duration) []logstore.Record {
	h := o.runner.host
	h.mu.Lock()
	defer h.mu.Unlock()
	p := *h.placement(replica)
	p.Loading, p.OrderOwner, p.IntentMs = loading, h.member, intent.Milliseconds()
	if rs := o.states[replica]; rs != nil && intent > 0 {
		rs.intent = &p
	}
	return o.record(replica, &p)
}

// release marks a replica as free for the next order, which is sent after the given
// backoff at the earliest.
func (o *orderer) release(rs *replicaState, backoff time.Duration) {
	o.runner.host.mu.Lock()
	defer o.runner.host.mu.Unlock()
	rs.busy, rs.loading, rs.acceptedAt = false, "", time.Time{}
	rs.notBefore = time.Now().Add(backoff)
	o.runner.wake()
}
