// Package limits obtains grants for requests to backend servers that have a rate
// limit. Each service has one allocator among the entry hosts; the others ask it over
// gRPC. The decisions are in core/ratelimit.
package limits

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Timeouts and intervals.
const (
	// acquireTimeout bounds one call of the allocator. The latency objectives of
	// requests are a few times as long.
	acquireTimeout = 100 * time.Millisecond
	// unreachableTime is how long a host uses its own share after a call of the
	// allocator failed.
	unreachableTime = 500 * time.Millisecond
	// reportTimeout bounds one report of limits, and reportInterval is the time
	// between two reports of the same service.
	reportTimeout  = time.Second
	reportInterval = 200 * time.Millisecond
	// valueInterval is the least time between two reports of a limit whose value
	// changes. The beginning and the end of a limit are reported at once.
	valueInterval = time.Second
)

// Allocator identifies the host that grants the requests to a service's servers.
type Allocator struct {
	Addr string
	// Epoch grows with each change of the allocator; 0 where hosts agree without one.
	Epoch int64
	// Self is set if it is this host.
	Self bool
}

// Directory knows the allocators.
type Directory interface {
	// Allocator returns the allocator of a service, and false if none is known.
	Allocator(service string) (Allocator, bool)
	// LearnAllocator is called with an allocator that another host knows.
	LearnAllocator(Allocator)
	// LimitChanged is called on the allocator when it learns that a server names,
	// changes or ends a limit.
	LimitChanged(service string, o ratelimit.Observation)
}

// Peers calls other entry hosts.
type Peers interface {
	Acquire(ctx context.Context, addr string, request *peerpb.AcquireRequest) (*peerpb.AcquireReply, error)
}

// Controller holds the limits, grants and, for services of which this host is the
// allocator, the allocations. It is safe for concurrent use.
type Controller struct {
	host      string
	directory Directory
	peers     Peers
	recorder  *telemetry.Recorder

	mu          sync.Mutex
	limits      *ratelimit.Limits
	budget      *ratelimit.Budget
	allocator   *ratelimit.Allocator
	unreachable map[string]time.Time // end of unreachableTime, by address
	reports     map[string]*report   // by service
	reported    map[string]time.Time // last report of a value, by server
	prefetching map[string]bool      // by service
}

// report holds the servers whose limits this host still has to report.
type report struct{ servers map[string]bool }

// New returns a controller without limits. host is the unique ID of this process.
func New(host string, directory Directory, peers Peers, recorder *telemetry.Recorder) *Controller {
	limits := ratelimit.NewLimits()
	return &Controller{
		host: host, directory: directory, peers: peers, recorder: recorder,
		limits: limits, budget: ratelimit.NewBudget(limits), allocator: ratelimit.NewAllocator(limits),
		unreachable: make(map[string]time.Time), reports: make(map[string]*report),
		reported: make(map[string]time.Time), prefetching: make(map[string]bool),
	}
}

// Observe applies what an answer of a server says. A change is reported to the
// service's allocator in the background.
func (c *Controller) Observe(service string, o ratelimit.Observation) (changed bool) {
	c.mu.Lock()
	last, _ := c.limits.Last(o.Server)
	changed = c.limits.Observe(o)
	due := changed && (last.Named != o.Named || o.At.Sub(c.reported[o.Server]) >= valueInterval)
	if due {
		c.reported[o.Server] = o.At
	}
	c.mu.Unlock()
	if due {
		c.announce(service, o)
	}
	return changed
}

// ReadHeader returns what the header of a server's response says about the server's
// limit, for servers that name it in httpapi.HeaderRequestsPerSecond, and false if it
// says nothing. The absence of a limit counts only in a successful response.
func ReadHeader(server ratelimit.Candidate, response *http.Response, sent time.Time) (ratelimit.Observation, bool) {
	o := ratelimit.Observation{Server: server.Server, Incarnation: server.Incarnation, Sent: sent, At: time.Now()}
	text := response.Header.Get(httpapi.HeaderRequestsPerSecond)
	if text == "" {
		return o, response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	}
	o.PerSecond, o.Named = ratelimit.ParseRate(text)
	if !o.Named {
		klog.V(1).InfoS("rate limit of a backend server ignored: not a number of requests per second", "server", server.Server, "value", text)
	}
	return o, o.Named
}

// ObserveHeader applies what the header of a response says.
func (c *Controller) ObserveHeader(service string, server ratelimit.Candidate, response *http.Response, sent time.Time) {
	o, says := ReadHeader(server, response, sent)
	if !says {
		return
	}
	if o.Named {
		c.recorder.Count("limited_responses_total", "service", service)
	}
	if c.Observe(service, o) {
		c.recorder.RecordDecision("limit", "", "server", server.Server, "named", o.Named, "per_second", o.PerSecond, "status", response.StatusCode)
	}
}

// Learn applies an observation that another host made.
func (c *Controller) Learn(o ratelimit.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.Observe(o)
}

// announce passes a change on to the allocator.
func (c *Controller) announce(service string, o ratelimit.Observation) {
	if a, known := c.directory.Allocator(service); known && a.Self {
		c.directory.LimitChanged(service, o)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reports[service]
	if r == nil {
		r = &report{servers: make(map[string]bool)}
		c.reports[service] = r
		go c.sendReports(service)
	}
	r.servers[o.Server] = true
}

// sendReports reports changed limits of a service until the allocator has all of them.
func (c *Controller) sendReports(service string) {
	for {
		c.mu.Lock()
		r := c.reports[service]
		if len(r.servers) == 0 {
			delete(c.reports, service)
			c.mu.Unlock()
			return
		}
		sent := r.servers
		r.servers = make(map[string]bool)
		request := &peerpb.AcquireRequest{Host: c.host, Service: service, Observed: c.observed(sent, time.Now())}
		c.mu.Unlock()
		if err := c.sendReport(service, request); err != nil {
			klog.V(1).InfoS("limits not reported to the allocator, retrying", "service", service, "servers", len(sent), "err", err)
			c.mu.Lock()
			for server := range sent {
				if _, known := c.limits.Last(server); known {
					r.servers[server] = true
				}
			}
			c.mu.Unlock()
		}
		time.Sleep(reportInterval)
	}
}

var errNoAllocator = errors.New("no allocator is known")

func (c *Controller) sendReport(service string, request *peerpb.AcquireRequest) error {
	a, known := c.directory.Allocator(service)
	if !known {
		return errNoAllocator
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, err := c.call(ctx, a, request)
	return err
}

// call sends a request to the allocator, which may be this host by now, and applies
// what the reply says about the allocator and the limits.
func (c *Controller) call(ctx context.Context, a Allocator, request *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	request.Allocator = &peerpb.Allocator{Addr: a.Addr, Epoch: a.Epoch}
	if a.Self {
		return c.Acquire(ctx, request)
	}
	reply, err := c.peers.Acquire(ctx, a.Addr, request)
	if err != nil {
		return nil, err
	}
	if other := reply.GetAllocator(); other.GetEpoch() > a.Epoch {
		c.directory.LearnAllocator(Allocator{Addr: other.GetAddr(), Epoch: other.GetEpoch()})
	}
	if reply.GetNotAllocator() {
		return nil, errNotAllocator
	}
	now := time.Now()
	for _, l := range reply.GetLimits() {
		c.Learn(observation(l, now))
	}
	return reply, nil
}

var errNotAllocator = errors.New("the called host is not the allocator")

// NotifyFormer informs a former allocator of its successor, so that it stops granting
// requests even if it does not reach the platform.
func (c *Controller) NotifyFormer(ctx context.Context, former string, a Allocator) {
	request := &peerpb.AcquireRequest{Host: c.host, Allocator: &peerpb.Allocator{Addr: a.Addr, Epoch: a.Epoch}}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := c.peers.Acquire(ctx, former, request); err != nil {
		klog.InfoS("former allocator of rate limits not informed", "former", former, "epoch", a.Epoch, "err", err)
	}
}

// Retain removes the state of servers that are no longer registered, and returns those
// whose limit was known.
func (c *Controller) Retain(registered func(server string) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	removed := c.limits.Retain(registered)
	for _, server := range removed {
		delete(c.reported, server)
	}
	c.budget.Retain(registered)
	c.allocator.Retain(registered)
	return removed
}

// TakeOver makes this host the allocator without knowledge of former grants.
func (c *Controller) TakeOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allocator = ratelimit.NewAllocator(c.limits)
}
