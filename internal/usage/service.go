// Package usage counts the requests of workspaces on each host, sends the counts to the
// holder of the duties over gRPC, and reports them there to the platform. The decisions are
// in core/usage.
package usage

import (
	"context"
	"sync"
	"time"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/core/usage"
	"github.com/sesamestand/sesamestand/internal/duties"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// tickInterval is the time between two checks of what is due.
const tickInterval = 100 * time.Millisecond

// Directory knows the holder: the owner of the control partition, which is also the
// allocator of rate limits.
type Directory interface {
	Allocator(service string) (limits.Allocator, bool)
	LearnAllocator(limits.Allocator)
}

// Peers calls other entry hosts.
type Peers interface {
	ReportUsage(ctx context.Context, addr string, counts *peerpb.UsageCounts) (*peerpb.UsageReply, error)
}

// Config has the constant values of a service.
type Config struct {
	Process     string // unique to the process
	Windows     usage.Windows
	RecordBytes int // maximum size of a record
}

// Service counts requests, sends the counts, and reports them while this host is the holder.
// It is safe for concurrent use. A nil service counts nothing.
type Service struct {
	config    Config
	directory Directory
	peers     Peers
	api       duties.ControlAPI
	recorder  *telemetry.Recorder
	wall      func() time.Time
	sending   sync.Mutex // held while counts are sent

	mu      sync.Mutex
	clock   *usage.Clock
	sampled time.Time // on the steady clock
	counter *usage.Counter
	starts  *usage.Starts
	sender  sender
	tenure  *tenure // nil unless this host is the holder
	// unconfirmed is the newest report that may be stored. It outlives the tenure, which may
	// become certain again under the same fence.
	unconfirmed *unconfirmed
}

// New returns a service that has counted nothing. wall returns the time of day.
func New(c Config, directory Directory, peers Peers, api duties.ControlAPI, recorder *telemetry.Recorder, wall func() time.Time) *Service {
	steady := boottime.Now()
	clock := usage.NewClock(wall(), steady)
	return &Service{
		config: c, directory: directory, peers: peers, api: api, recorder: recorder, wall: wall,
		clock: clock, sampled: steady, counter: usage.NewCounter(c.Windows, clock.True(steady)), starts: usage.NewStarts(),
	}
}

// Run samples the clocks and sends the counts until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.sample()
		s.sendIfDue(ctx)
	}
}

// sample records what the clocks show, once in a SampleInterval.
func (s *Service) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if steady := boottime.Now(); steady.Sub(s.sampled) >= usage.SampleInterval {
		s.sampled = steady
		s.clock.Sample(s.wall(), steady)
	}
	s.counter.Advance(s.now())
}

// now returns the estimate of true time. The caller holds mu.
func (s *Service) now() time.Time { return s.clock.True(boottime.Now()) }

// trueTime returns the estimate of true time at a moment of this process's clock. The caller
// holds mu.
func (s *Service) trueTime(at time.Time) time.Time { return s.now().Add(-time.Since(at)) }

// Request counts one request of a caller, at most once whatever is sent for it. It is used
// by one goroutine. A nil request is not counted.
type Request struct {
	service *Service
	mark    usage.Mark
	counted bool
}

// NewRequest returns a request that was not sent yet, or nil if requests without a workspace
// or on this host are not counted.
func (s *Service) NewRequest(workspace string) *Request {
	if s == nil || workspace == "" {
		return nil
	}
	return &Request{service: s, mark: usage.Mark{Workspace: workspace}}
}

// Began records that a server was sent the request, or that the first event of a stream
// arrived, at a moment of this process's clock.
func (r *Request) Began(at time.Time) {
	if r == nil || r.counted {
		return
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.mark, r.counted = r.service.counter.Began(r.mark.Workspace, r.service.trueTime(at)), true
}

// Refused records that no server has run the request so far, and none is being sent it.
func (r *Request) Refused() {
	if r == nil || !r.counted {
		return
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.counted = false
	r.service.counter.Cancel(r.mark)
}

// Answered records when the response to the send arrived by which the request is counted.
// server is the service that the request was sent to, and written when.
func (r *Request) Answered(server string, written, responded time.Time) {
	if r == nil || !r.counted {
		return
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	began := r.service.starts.Began(server, written, responded)
	r.mark = r.service.counter.Move(r.mark, r.service.trueTime(began))
}
