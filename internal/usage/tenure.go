package usage

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/usage"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// subject is that of all calls: an old report must not follow a new one of another holder.
const subject = "usage"

// tenure is the work of this host as the holder. Its fields are guarded by Service.mu.
type tenure struct {
	session   int64
	collector *usage.Collector
	outgoing  *usage.Outgoing
}

// Hold implements duties.Duty. It closes the windows, and stores and sends their reports.
func (s *Service) Hold(ctx context.Context, office duties.Office) {
	stored, incomplete := storedReports(office.Records(keyPrefix))
	if len(incomplete) > 0 && office.Append(ctx, tombstones(incomplete)) != nil {
		return
	}
	s.begin(stored)
	defer s.end()
	var sending sync.WaitGroup
	sending.Go(func() { every(ctx, func() { s.sendReport(ctx, office) }) })
	every(ctx, func() {
		for s.closeWindow(ctx, office) {
		}
	})
	sending.Wait()
}

// every calls f at each tick until ctx ends.
func every(ctx context.Context, f func()) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// begin begins to collect counts after the windows whose reports are stored.
func (s *Service) begin(stored []usage.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, any := int64(0), false
	for _, r := range stored {
		last, any = max(last, r.Window), true
	}
	now := s.now()
	s.tenure = &tenure{
		session:   now.UnixNano(),
		collector: usage.NewCollector(s.config.Windows, now, last, any),
		outgoing:  usage.NewOutgoing(s.config.Windows, stored),
	}
	klog.InfoS("collecting the requests of workspaces", "next_window", s.tenure.collector.Closed()+1, "stored", len(stored))
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenure = nil
}

// ReportUsage collects the counts of a host. It implements peer.UsageHandler.
func (s *Service) ReportUsage(_ context.Context, message *peerpb.UsageCounts) (*peerpb.UsageReply, error) {
	reply := &peerpb.UsageReply{}
	if a, known := s.directory.Allocator(""); known {
		reply.Holder = &peerpb.Allocator{Addr: a.Addr, Epoch: a.Epoch}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tenure == nil {
		reply.NotHolder = true
		return reply, nil
	}
	c := s.tenure.collector
	c.Add(message.GetHost(), decodeCounts(message.GetWindows()), s.now())
	if message.GetLeaving() {
		c.Leave(message.GetHost())
	}
	reply.Session, reply.Closed, reply.IntervalMs = s.tenure.session, c.Closed(), c.Interval().Milliseconds()
	reply.TimeNs, reply.TimeSamples = s.now().UnixNano(), int32(s.clock.Samples())
	return reply, nil
}

// closeWindow closes the next window if that is due, and reports whether another one may be
// due.
func (s *Service) closeWindow(ctx context.Context, office duties.Office) bool {
	s.mu.Lock()
	now := s.now()
	window, decision := s.tenure.collector.Next(now)
	var report usage.Report
	switch decision {
	case usage.Skip:
		s.tenure.collector.Advance(now)
		s.recorder.Count("usage_windows_skipped_total")
	case usage.Close:
		report = s.tenure.collector.Report()
	}
	s.mu.Unlock()
	switch decision {
	case usage.Close:
		return s.store(ctx, office, report)
	case usage.Skip:
		klog.V(1).InfoS("window skipped: nobody is known to have counted it in time", "window", window)
		return true
	}
	return false
}

// unconfirmed is a report that was appended and is not known to be stored. Its records may
// still get into the partition while the fence holds, so no other report of the window may be
// made under that fence.
type unconfirmed struct {
	fence   int64
	report  usage.Report
	records []logstore.Record
}

// prepare returns the report to append for a window: the unconfirmed one of the fence if
// there is one, otherwise the given one.
func (s *Service) prepare(fence int64, report usage.Report) (*unconfirmed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.unconfirmed; u != nil && u.fence == fence && u.report.Window == report.Window {
		return u, nil
	}
	records, err := reportRecords(report, s.config.RecordBytes)
	if err != nil {
		return nil, err
	}
	s.unconfirmed = &unconfirmed{fence: fence, report: report, records: records}
	return s.unconfirmed, nil
}

// replacing returns the records of a report and the removal of other parts of its window.
func (u *unconfirmed) replacing(stored []logstore.Record) []logstore.Record {
	others := slices.DeleteFunc(slices.Clone(stored), func(r logstore.Record) bool {
		return slices.ContainsFunc(u.records, func(own logstore.Record) bool { return own.Key == r.Key })
	})
	return append(tombstones(others), u.records...)
}

// store stores a report, and removes those that are answered. It reports whether it is
// stored.
func (s *Service) store(ctx context.Context, office duties.Office, closed usage.Report) bool {
	prepared, err := s.prepare(office.Tenure().Fence, closed)
	if err != nil {
		klog.ErrorS(err, "usage report could not be encoded", "window", closed.Window)
		return false
	}
	report := prepared.report
	records := prepared.replacing(office.Records(windowPrefix(report.Window)))
	s.mu.Lock()
	done, unanswered := s.tenure.outgoing.Done(s.now())
	s.mu.Unlock()
	for _, window := range done {
		records = append(records, tombstones(office.Records(windowPrefix(window)))...)
	}
	if err := office.Append(ctx, records); err != nil {
		klog.InfoS("usage report not stored", "window", report.Window, "err", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmed = nil
	s.tenure.outgoing.Add(report)
	for _, window := range done {
		s.tenure.outgoing.Remove(window)
	}
	late := s.now().Sub(s.config.Windows.End(report.Window))
	s.tenure.collector.Advance(s.now())
	s.recorder.Add("usage_reports_lost_total", int64(unanswered))
	s.recorder.RecordDecision("usage-window", "", "window", report.Window, "workspaces", len(report.Counts), "requests", report.Total(), "closed_after_ms", late.Milliseconds())
	return true
}

// sendReport sends the report that is next, if there is one.
func (s *Service) sendReport(ctx context.Context, office duties.Office) {
	s.mu.Lock()
	report, due := s.tenure.outgoing.Next(s.now())
	s.mu.Unlock()
	if !due {
		return
	}
	err := office.Call(ctx, duties.Call{Subject: subject, Send: func(ctx context.Context, t duties.Tenure) error {
		return s.api.ReportUsage(ctx, t, duties.UsageReport{Window: report.Window, Counts: report.Counts})
	}})
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tenure.outgoing.Sent(report.Window, err == nil, now)
	if err != nil {
		klog.InfoS("usage report not answered", "window", report.Window, "err", err)
		return
	}
	outcome := "in-time"
	if now.After(s.config.Windows.Deadline(report.Window)) {
		outcome = "late"
	}
	s.recorder.Count("usage_reports_total", "outcome", outcome)
	s.recorder.RecordDecision("usage-report", "", "window", report.Window, "outcome", outcome, "answered_after_ms", now.Sub(s.config.Windows.End(report.Window)).Milliseconds())
}

func tombstones(records []logstore.Record) []logstore.Record {
	removed := make([]logstore.Record, len(records))
	for i, r := range records {
		removed[i] = logstore.Record{Key: r.Key}
	}
	return removed
}
