package duties

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/core/duty"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

const (
	// certaintyInterval is the time between two checks whether the tenure is certain.
	certaintyInterval = 50 * time.Millisecond
	// burstTime is the time whose calls may be made at once.
	burstTime = 100 * time.Millisecond
)

// Partition is the control partition, as its owner uses it.
type Partition interface {
	// Append stores records in their order, and returns when their append began, on the
	// clock of boottime.Now.
	Append(context.Context, []logstore.Record) (began time.Time, stored bool)
	// Certain reports whether this host is certain to own the partition.
	Certain() bool
	// Latency returns the time that an append of few bytes takes.
	Latency() time.Duration
}

// Holder does the duties while this host owns the control partition.
type Holder struct {
	process  string
	host     string
	records  *Records
	limiter  *rate.Limiter
	recorder *telemetry.Recorder
	duties   []Duty
	calls    atomic.Int64 // number of the last call
	holding  sync.Mutex   // held during Hold
}

// Config has the constant values of a holder.
type Config struct {
	Host    string // name that the API gets
	Process string // unique to the process
	// CallsPerSecond is how many calls the API accepts from all hosts together.
	CallsPerSecond float64
}

// NewHolder returns a holder of some duties.
func NewHolder(c Config, records *Records, recorder *telemetry.Recorder, duties ...Duty) *Holder {
	burst := max(int(c.CallsPerSecond*burstTime.Seconds()), 1)
	return &Holder{
		process: c.Process, host: c.Host, records: records, recorder: recorder, duties: duties,
		limiter: rate.NewLimiter(rate.Limit(c.CallsPerSecond), burst),
	}
}

// Hold does the duties whenever the ownership of the partition, acquired at an epoch, is
// certain, until ctx ends.
func (h *Holder) Hold(ctx context.Context, epoch int64, p Partition) {
	h.holding.Lock()
	defer h.holding.Unlock()
	for waitUntil(ctx, p.Certain) {
		klog.InfoS("duties begin", "fence", epoch, "duties", len(h.duties))
		h.holdWhileCertain(ctx, epoch, p)
		klog.InfoS("duties end", "fence", epoch)
	}
}

// waitUntil waits until a condition is met, and returns false if ctx ends before.
func waitUntil(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(certaintyInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if condition() {
			return true
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return false
}

// holdWhileCertain runs all duties until the ownership is no longer certain.
func (h *Holder) holdWhileCertain(ctx context.Context, epoch int64, p Partition) {
	ctx, cancel := context.WithCancel(ctx)
	o := &office{holder: h, partition: p, fence: epoch}
	var running sync.WaitGroup
	for _, d := range h.duties {
		running.Go(func() { d.Hold(ctx, o) })
	}
	waitUntil(ctx, func() bool { return !p.Certain() })
	cancel()
	running.Wait()
}

// office implements Office for one tenure.
type office struct {
	holder    *Holder
	partition Partition
	fence     int64
}

func (o *office) caller() duty.Caller {
	return duty.Caller{Process: o.holder.process, Fence: o.fence}
}

// Tenure implements Office.
func (o *office) Tenure() Tenure { return Tenure{Holder: o.holder.host, Fence: o.fence} }

// Records implements Office.
func (o *office) Records(prefix string) []logstore.Record { return o.holder.records.withPrefix(prefix) }

// Age implements Office.
func (o *office) Age(key string) time.Duration { return o.holder.records.age(key, boottime.Now()) }

// Append implements Office.
func (o *office) Append(ctx context.Context, records []logstore.Record) error {
	if _, stored := o.partition.Append(ctx, records); !stored {
		return ErrNotStored
	}
	return nil
}

// Call implements Office.
func (o *office) Call(ctx context.Context, c Call) error {
	if err := o.awaitTurn(ctx, c.Subject); err != nil {
		return err
	}
	intent := duty.NewIntent(o.caller(), o.holder.calls.Add(1), duty.IntentTime(o.partition.Latency()))
	err := o.callWithin(ctx, c, intent)
	outcome := outcomeOf(err)
	if outcome.settled {
		intent.Answered = true
		if storeErr := o.Append(ctx, intentRecords(c.Subject, intent)); storeErr != nil {
			klog.V(1).InfoS("answer of a call not recorded", "subject", c.Subject, "fence", o.fence, "err", storeErr)
		}
	}
	o.holder.recorder.Count("control_calls_total", "outcome", outcome.label)
	o.holder.recorder.RecordDecision("control-call", "", "subject", c.Subject, "fence", o.fence, "number", intent.Number, "outcome", outcome.label)
	return err
}

// awaitTurn waits until a call for a subject may be sent.
func (o *office) awaitTurn(ctx context.Context, subject string) error {
	at, superseded := o.holder.records.earliest(subject, o.caller())
	if superseded {
		return ErrNotHolder
	}
	if wait := at.Sub(boottime.Now()); !at.IsZero() && wait > 0 {
		klog.InfoS("call waits for calls of a former holder", "subject", subject, "fence", o.fence, "wait", wait)
		waitUntil(ctx, func() bool { return !boottime.Now().Before(at) })
	}
	if err := o.holder.limiter.Wait(ctx); err != nil {
		return err
	}
	if !o.partition.Certain() {
		return ErrNotHolder
	}
	return nil
}

// callWithin stores the intent of a call with the call's records, and sends the call if
// the tenure is certain and the time of the intent is not over.
func (o *office) callWithin(ctx context.Context, c Call, intent duty.Intent) error {
	limit := intent.SentWithin()
	// Other appends may be under way before that of the intent.
	appendCtx, cancel := context.WithTimeout(ctx, 2*limit)
	defer cancel()
	began, stored := o.partition.Append(appendCtx, slices.Concat(c.Records, intentRecords(c.Subject, intent)))
	if !stored {
		return ErrNotStored
	}
	expires := began.Add(limit)
	switch {
	case !o.partition.Certain():
		return ErrNotHolder
	case !boottime.Now().Before(expires):
		return ErrExpired
	}
	tenure := o.Tenure()
	tenure.Expires = expires
	return c.Send(ctx, tenure)
}

func intentRecords(subject string, intent duty.Intent) []logstore.Record {
	data, err := intent.Encode()
	if err != nil {
		klog.ErrorS(err, "intent of a call could not be encoded", "subject", subject)
		return nil
	}
	return []logstore.Record{{Key: callKeyPrefix + subject, Value: data}}
}

// callOutcome describes how a call ended.
type callOutcome struct {
	err     error
	label   string
	settled bool // the call has been executed, or never will be
}

var callOutcomes = []callOutcome{
	{nil, "done", true},
	{ErrFenced, "fenced", true},
	{ErrRefused, "refused", true},
	{ErrNoCapacity, "no-capacity", true},
	{ErrNotHolder, "not-holder", true},
	{ErrExpired, "expired", true},
	{ErrNotStored, "not-stored", false},
}

// outcomeOf returns the outcome of a call that ended with an error.
func outcomeOf(err error) callOutcome {
	for _, known := range callOutcomes {
		if errors.Is(err, known.err) {
			return known
		}
	}
	return callOutcome{err: err, label: "unknown"}
}
