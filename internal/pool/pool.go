// Package pool orders backend servers of services whose number can be changed, while this
// host is the holder of duties. core/pool decides what is ordered; docs/design/elastic-pool.md
// has the reasons.
package pool

import (
	"context"
	"errors"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/pool"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// planInterval is the time between two plans. It is short beside the 2 s from the notice of
// a reclaim until the servers are gone.
const planInterval = 250 * time.Millisecond

// Source has the state of the services whose number of servers can be changed.
type Source interface {
	PoolInput(now time.Time) pool.Input
}

// Service orders servers. It implements duties.Duty.
type Service struct {
	source   Source
	control  duties.ControlAPI
	recorder *telemetry.Recorder

	// planner continues while the fencing number stays: the ownership of the control
	// partition may be uncertain for a moment.
	planner *pool.Planner
	fence   int64
}

// New returns a Service that plans every planInterval.
func New(source Source, control duties.ControlAPI, recorder *telemetry.Recorder) *Service {
	return &Service{source: source, control: control, recorder: recorder}
}

// Hold implements duties.Duty.
func (s *Service) Hold(ctx context.Context, office duties.Office) {
	s.restore(office)
	t := &tenure{Service: s, office: office, queues: make(map[string][]pool.Order), results: make(chan result)}
	defer t.finish()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.results:
			t.settle(ctx, r)
		case <-ticker.C:
			for _, o := range s.planner.Plan(s.source.PoolInput(time.Now())) {
				t.enqueue(ctx, o)
			}
			s.publish()
		}
	}
}

// restore creates a planner with the orders of former holders unless the tenure goes on.
func (s *Service) restore(office duties.Office) {
	fence := office.Tenure().Fence
	if s.planner != nil && s.fence == fence {
		return
	}
	s.planner, s.fence = pool.New(pool.Defaults()), fence
	for _, r := range office.Records(duties.KeyPrefix + recordPrefix) {
		if o, ok := decodeOrder(r); ok {
			s.planner.Restore(o, office.Age(r.Key))
		}
	}
}

// publish sets the metrics of the numbers of servers.
func (s *Service) publish() {
	for _, l := range s.planner.Levels() {
		labels := []string{"service", l.Service, "data_centre", l.DataCentre, "server_kind", l.Kind()}
		s.recorder.Set("pool_servers_wanted", int64(l.Wanted), labels...)
		s.recorder.Set("pool_servers_registered", int64(l.Serving), labels...)
		s.recorder.Set("pool_servers_coming", int64(l.Coming), labels...)
		s.recorder.Set("pool_servers_missing", int64(l.Missing), labels...)
	}
}

// tenure is one call of Hold. Its fields are used by the goroutine of Hold only.
type tenure struct {
	*Service
	office duties.Office
	// queues holds the orders of each subject, of which the first one is being sent: two
	// calls of a subject must not overlap.
	queues  map[string][]pool.Order
	results chan result
}

// result is the result of an order.
type result struct {
	order   pool.Order
	outcome pool.Outcome
	err     error
}

// enqueue sends an order after those of the same subject.
func (t *tenure) enqueue(ctx context.Context, o pool.Order) {
	subject := subjectOf(o.Key)
	t.queues[subject] = append(t.queues[subject], o)
	if len(t.queues[subject]) == 1 {
		go t.send(ctx, o)
	}
}

// settle records the result of an order, and sends the next one of its subject.
func (t *tenure) settle(ctx context.Context, r result) {
	t.record(r)
	subject := subjectOf(r.order.Key)
	t.queues[subject] = t.queues[subject][1:]
	if len(t.queues[subject]) == 0 {
		delete(t.queues, subject)
		return
	}
	go t.send(ctx, t.queues[subject][0])
}

// finish waits for the orders that are being sent. The others are dropped.
func (t *tenure) finish() {
	for _, queue := range t.queues {
		for _, o := range queue[1:] {
			t.record(result{order: o, outcome: pool.Refused, err: duties.ErrNotHolder})
		}
	}
	for range t.queues {
		t.record(<-t.results)
	}
}

// record records the result of an order in the planner, the log and the metrics.
func (t *tenure) record(r result) {
	o := r.order
	t.planner.Record(o, r.outcome, time.Now())
	details := []any{"service", o.Service, "data_centre", o.DataCentre, "server_kind", o.Kind(), "count", o.Count, "change", o.Change, "fence", t.fence, "outcome", r.outcome.String(), "why", o.Reason}
	if r.err != nil {
		details = append(details, "err", r.err.Error())
	}
	t.recorder.RecordDecision("scale", "", details...)
	t.recorder.Count("scale_orders_total", "service", o.Service, "outcome", r.outcome.String())
}

// send stores and sends an order. The record of an order that was not carried out is
// removed, so that the next holder does not wait for its servers.
func (t *tenure) send(ctx context.Context, o pool.Order) {
	record, err := encodeOrder(o)
	if err == nil {
		err = t.office.Call(ctx, duties.Call{
			Subject: subjectOf(o.Key), Records: []logstore.Record{record},
			Send: func(ctx context.Context, tenure duties.Tenure) error {
				return t.control.Scale(ctx, tenure, duties.ScaleOrder{Service: o.Service, DataCentre: o.DataCentre, Count: o.Count, Spot: o.Spot})
			},
		})
	}
	outcome := outcomeOf(err)
	if outcome == pool.Refused || outcome == pool.NoCapacity {
		// Without the removal, the next holder takes the order as sent.
		err = errors.Join(err, t.office.Append(ctx, []logstore.Record{{Key: record.Key}}))
	}
	t.results <- result{order: o, outcome: outcome, err: err}
}

// outcomeOf returns the outcome of an order from the error of its call. An order whose call
// ended with an unknown error may have been sent.
func outcomeOf(err error) pool.Outcome {
	if err == nil {
		return pool.Accepted
	}
	if errors.Is(err, duties.ErrNoCapacity) {
		return pool.NoCapacity
	}
	for _, notDone := range []error{duties.ErrRefused, duties.ErrFenced, duties.ErrNotHolder, duties.ErrNotStored, duties.ErrExpired, errEncode, context.Canceled} {
		if errors.Is(err, notDone) {
			return pool.Refused
		}
	}
	return pool.Unknown
}
