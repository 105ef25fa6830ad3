package usage

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/core/usage"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

const (
	// sendTimeout bounds one message to the holder. It is sent again after that.
	sendTimeout = time.Second
	// retryInterval is the least time between two messages after one was not delivered.
	retryInterval = 250 * time.Millisecond
	// maxTimeDelay bounds the time of a call whose reply is used for its estimate of true
	// time. The estimate is off by half of it.
	maxTimeDelay = 50 * time.Millisecond
)

// sender is the state of the messages to the holder.
type sender struct {
	holder   limits.Allocator // that the last message was sent to
	session  int64            // of the holder
	interval time.Duration
	lastSent time.Time // on the steady clock
	ended    int64     // newest window that had ended at the last message
}

// sendIfDue sends the counts if the interval has passed, a window has ended, or the holder
// has changed.
func (s *Service) sendIfDue(ctx context.Context) {
	holder, known := s.directory.Allocator("")
	if !known {
		return
	}
	s.mu.Lock()
	steady := boottime.Now()
	ended := s.config.Windows.LastFinal(s.now())
	due := steady.Sub(s.sender.lastSent) >= s.sender.interval || ended != s.sender.ended || holder != s.sender.holder
	s.mu.Unlock()
	if due {
		s.send(ctx, holder, false)
	}
}

// Flush sends all counts to the holder, because the host counts no further requests.
func (s *Service) Flush(ctx context.Context) {
	if s == nil {
		return
	}
	if holder, known := s.directory.Allocator(""); known {
		s.send(ctx, holder, true)
	}
}

// send sends the counts that the holder does not have.
func (s *Service) send(ctx context.Context, holder limits.Allocator, leaving bool) {
	s.sending.Lock()
	defer s.sending.Unlock()
	s.mu.Lock()
	now := s.now()
	s.sender.holder, s.sender.lastSent, s.sender.ended = holder, boottime.Now(), s.config.Windows.LastFinal(now)
	pending := s.counter.Pending(now)
	s.mu.Unlock()
	message := &peerpb.UsageCounts{
		Host: s.config.Process, Holder: &peerpb.Allocator{Addr: holder.Addr, Epoch: holder.Epoch},
		Windows: encodeCounts(pending), Leaving: leaving,
	}
	called := boottime.Now()
	reply, err := s.deliver(ctx, holder, message)
	took := boottime.Now().Sub(called)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		klog.V(1).InfoS("counts of requests not sent to the holder, retrying", "holder", holder.Addr, "epoch", holder.Epoch, "windows", len(pending), "err", err)
		s.counter.Lost(pending)
		s.sender.interval = max(s.sender.interval, retryInterval)
		s.recorder.Count("usage_send_errors_total")
		return
	}
	if took <= maxTimeDelay && !holder.Self {
		s.adoptTime(reply, called.Add(took/2))
	}
	s.applyReply(reply, pending)
}

// adoptTime takes over the holder's estimate of true time if this process has far fewer
// samples. The holder replied at a time of the steady clock. The caller holds mu.
func (s *Service) adoptTime(reply *peerpb.UsageReply, steady time.Time) {
	before := s.clock.True(steady)
	if s.clock.Adopt(time.Unix(0, reply.GetTimeNs()), steady, int(reply.GetTimeSamples())) {
		klog.InfoS("estimate of true time taken over from the holder", "samples", reply.GetTimeSamples(), "change", s.clock.True(steady).Sub(before))
	}
}

var errNotHolder = errors.New("the called host is not the holder")

// deliver calls the holder, which may be this host.
func (s *Service) deliver(ctx context.Context, holder limits.Allocator, message *peerpb.UsageCounts) (*peerpb.UsageReply, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	call := func() (*peerpb.UsageReply, error) { return s.peers.ReportUsage(ctx, holder.Addr, message) }
	if holder.Self {
		call = func() (*peerpb.UsageReply, error) { return s.ReportUsage(ctx, message) }
	}
	reply, err := call()
	if err != nil {
		return nil, err
	}
	if other := reply.GetHolder(); other.GetEpoch() > holder.Epoch {
		s.directory.LearnAllocator(limits.Allocator{Addr: other.GetAddr(), Epoch: other.GetEpoch()})
	}
	if reply.GetNotHolder() {
		return nil, errNotHolder
	}
	return reply, nil
}

// applyReply applies the reply to some counts. The caller holds mu.
func (s *Service) applyReply(reply *peerpb.UsageReply, sent []usage.Counts) {
	s.sender.interval = time.Duration(reply.GetIntervalMs()) * time.Millisecond
	s.counter.Settle(reply.GetClosed())
	if reply.GetSession() != s.sender.session {
		// The next message has all windows; those of this one are sent once more.
		s.sender.session, s.sender.interval = reply.GetSession(), 0
		s.counter.NewSession()
	} else {
		s.counter.Delivered(sent)
	}
	if dropped := s.counter.TakeDropped(); dropped > 0 {
		s.recorder.Add("usage_dropped_total", dropped)
		klog.InfoS("requests of workspaces are in no usage report", "requests", dropped, "closed", reply.GetClosed())
	}
}

func encodeCounts(counts []usage.Counts) []*peerpb.WindowCounts {
	encoded := make([]*peerpb.WindowCounts, len(counts))
	for i, c := range counts {
		encoded[i] = &peerpb.WindowCounts{Window: c.Window, Counts: c.ByWorkspace, Final: c.Final}
	}
	return encoded
}

func decodeCounts(encoded []*peerpb.WindowCounts) []usage.Counts {
	counts := make([]usage.Counts, len(encoded))
	for i, c := range encoded {
		counts[i] = usage.Counts{Window: c.GetWindow(), ByWorkspace: c.GetCounts(), Final: c.GetFinal()}
	}
	return counts
}
