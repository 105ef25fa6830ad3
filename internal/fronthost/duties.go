package fronthost

import (
	"context"
	"time"

	"github.com/sesamestand/sesamestand/internal/boottime"
	coreusage "github.com/sesamestand/sesamestand/internal/core/usage"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/pool"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/usage"
)

// flushTimeout is the part of killMargin in which a stopping host sends its last counts of
// requests.
const flushTimeout = 200 * time.Millisecond

// Peers calls other entry hosts.
type Peers interface {
	limits.Peers
	usage.Peers
}

// hostDuties are the duties that this host does while it owns the control partition, and
// their records, which it follows at any time.
type hostDuties struct {
	records *duties.Records
	holder  *duties.Holder // nil without a control API
	usage   *usage.Service // nil if usage is not reported
}

func (h *Host) newDuties(peers Peers, control duties.ControlAPI) hostDuties {
	d := hostDuties{records: duties.NewRecords(h.settings.Timing.OrderLease)}
	if control == nil {
		return d
	}
	var held []duties.Duty
	if h.settings.Platform.Control.HasDuty(settings.DutyUsage) {
		d.usage = usage.New(usage.Config{
			Process:     h.member,
			Windows:     coreusage.Windows{Length: h.settings.Timing.UsageWindow, Due: h.settings.Timing.UsageDue},
			RecordBytes: h.settings.Platform.Store.RecordBytes,
		}, (*limitDirectory)(h), peers, control, h.recorder, time.Now)
		held = append(held, d.usage)
	}
	if h.settings.Platform.Control.HasDuty(settings.DutyScale) {
		held = append(held, pool.New(&poolSource{host: h, demands: pool.NewDemands()}, control, h.recorder))
	}
	d.holder = duties.NewHolder(duties.Config{
		Host: h.settings.Host.ID, Process: h.member, CallsPerSecond: h.settings.Platform.Control.CallsPerSecond,
	}, d.records, h.recorder, held...)
	return d
}

// flushUsage sends the last counts of requests, once no request is passed on any more.
func (h *Host) flushUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		h.duties.usage.Flush(ctx)
	}()
	select {
	case <-flushed:
	case <-ctx.Done():
	}
}

// holdDuties does the duties as long as the runner owns the control partition.
func (r *runner) holdDuties(ctx context.Context) {
	if holder := r.host.duties.holder; holder != nil {
		holder.Hold(ctx, r.epoch, controlOwner{r})
	}
}

// controlOwner implements duties.Partition.
type controlOwner struct{ runner *runner }

// Append implements duties.Partition.
func (o controlOwner) Append(ctx context.Context, records []logstore.Record) (time.Time, bool) {
	outcome := o.runner.appendAndWait(ctx, records)
	return outcome.beganSteady, outcome.appended
}

// Certain implements duties.Partition.
func (o controlOwner) Certain() bool { return o.runner.isCertainOwner() }

// Latency implements duties.Partition.
func (o controlOwner) Latency() time.Duration { return o.runner.host.store.Small() }

// isCertainOwner reports whether this host is certain to own the partition under the
// runner's epoch.
func (r *runner) isCertainOwner() bool {
	epoch, owned := r.host.group.Owned()[r.partition]
	return owned && epoch == r.epoch && !r.isStopping()
}

// applyDuty applies a record of a duty.
func (h *Host) applyDuty(r logstore.Record) error { return h.duties.records.Apply(r, boottime.Now()) }
