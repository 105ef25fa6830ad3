package fronthost

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/backend"
	"github.com/sesamestand/sesamestand/internal/core/deployment"
	"github.com/sesamestand/sesamestand/internal/core/forward"
	"github.com/sesamestand/sesamestand/internal/core/ratelimit"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/logstore"
)

// The owner of the control partition is the allocator of all services. It publishes
// its address and the limits that it knows in the control partition, which all hosts
// follow. Grants do not need its ownership to be certain: a former owner that the store
// does not reach grants requests until it learns of its successor from any host.

// limitRecord publishes the limit of a server. Without a limit, the key is removed.
type limitRecord struct {
	Incarnation int64   `json:"incarnation"`
	PerSecond   float64 `json:"per_second"`
}

// allocatorRecord publishes the allocator.
type allocatorRecord struct {
	Addr  string `json:"addr"`
	Epoch int64  `json:"epoch"`
}

func isLimitKey(key string) bool { return strings.HasPrefix(key, limitKeyPrefix) }

// applyLimit applies a published limit. The caller holds mu.
func (h *Host) applyLimit(r logstore.Record, now time.Time) error {
	o := ratelimit.Observation{Server: strings.TrimPrefix(r.Key, limitKeyPrefix), Sent: now, At: now}
	server := h.state.Servers.Get(o.Server)
	if server != nil {
		o.Incarnation = server.Incarnation
	}
	if !r.IsTombstone() {
		var l limitRecord
		if err := json.Unmarshal(r.Value, &l); err != nil {
			return eris.Wrap(err, "decode the limit of a server")
		}
		o.Incarnation, o.Named, o.PerSecond = l.Incarnation, true, l.PerSecond
	}
	h.limits.Learn(o)
	return nil
}

// applyLimitAllocator applies a published allocator. The caller holds mu.
func (h *Host) applyLimitAllocator(r logstore.Record) error {
	if r.IsTombstone() {
		return nil
	}
	var a allocatorRecord
	if err := json.Unmarshal(r.Value, &a); err != nil {
		return eris.Wrap(err, "decode the allocator of limits")
	}
	h.learnAllocator(limits.Allocator{Addr: a.Addr, Epoch: a.Epoch})
	return nil
}

// learnAllocator takes over a newer allocator. If it is this host, it begins without
// knowledge of what the former one granted.
func (h *Host) learnAllocator(a limits.Allocator) {
	a.Self = a.Addr == h.settings.Host.PeerAddr
	for {
		known := h.limitAllocator.Load()
		if known != nil && a.Epoch <= known.Epoch {
			return
		}
		if !h.limitAllocator.CompareAndSwap(known, &a) {
			continue
		}
		klog.InfoS("allocator of limits changed", "addr", a.Addr, "epoch", a.Epoch, "self", a.Self)
		if a.Self && (known == nil || !known.Self) {
			h.limits.TakeOver()
		}
		if a.Self && known != nil && !known.Self {
			go h.limits.NotifyFormer(h.baseCtx, known.Addr, a)
		}
		return
	}
}

// becomeAllocator publishes that this host is the allocator. The runner owns the
// control partition.
func (r *runner) becomeAllocator() {
	data, err := json.Marshal(allocatorRecord{Addr: r.host.settings.Host.PeerAddr, Epoch: r.epoch})
	if err != nil {
		klog.ErrorS(err, "allocator of limits could not be encoded")
		return
	}
	r.queueRecords([]logstore.Record{{Key: limitAllocatorKey, Value: data}})
}

// limitDirectory implements limits.Directory.
type limitDirectory Host

// Allocator implements limits.Directory. All services have the same allocator.
func (d *limitDirectory) Allocator(string) (limits.Allocator, bool) {
	a := d.limitAllocator.Load()
	if a == nil || a.Addr == "" {
		return limits.Allocator{}, false
	}
	return *a, true
}

// LearnAllocator implements limits.Directory.
func (d *limitDirectory) LearnAllocator(a limits.Allocator) { (*Host)(d).learnAllocator(a) }

// LimitChanged implements limits.Directory. It publishes the limit if this host still
// owns the control partition.
func (d *limitDirectory) LimitChanged(_ string, o ratelimit.Observation) {
	record := logstore.Record{Key: limitKeyPrefix + o.Server}
	if o.Named {
		data, err := json.Marshal(limitRecord{Incarnation: o.Incarnation, PerSecond: o.PerSecond})
		if err != nil {
			klog.ErrorS(err, "limit of a server could not be encoded", "server", o.Server)
			return
		}
		record.Value = data
	}
	d.mu.Lock()
	r := d.runners[controlPartition]
	d.mu.Unlock()
	if r != nil {
		r.queueRecords([]logstore.Record{record})
	}
}

// removePublishedLimits removes the published limits of servers that are no longer
// registered, if this host is the allocator.
func (h *Host) removePublishedLimits(servers []string) {
	if a := h.limitAllocator.Load(); a == nil || !a.Self {
		return
	}
	for _, id := range servers {
		(*limitDirectory)(h).LimitChanged("", ratelimit.Observation{Server: id})
	}
}

// observeLimit records what a response of a server says about its rate limit, and
// logs each change.
func (h *Host) observeLimit(o backend.LimitObservation) {
	h.mu.Lock()
	server := h.state.Servers.Get(o.Target.ID)
	h.mu.Unlock()
	if o.Named {
		h.recorder.Count("limited_responses_total", "call", string(o.Call))
	}
	if server == nil {
		return
	}
	changed := h.limits.Observe(server.Service, ratelimit.Observation{
		Server: server.ID, Incarnation: server.Incarnation, Named: o.Named, PerSecond: o.PerSecond, Sent: o.Sent, At: time.Now(),
	})
	if changed {
		h.recorder.RecordDecision("limit", "", "server", o.Target.ID, "named", o.Named, "per_second", o.PerSecond, "call", string(o.Call), "status", o.Status)
	}
}

func candidateOf(s *deployment.Server) ratelimit.Candidate {
	return ratelimit.Candidate{Server: s.ID, Incarnation: s.Incarnation}
}

func candidatesOf(servers []*deployment.Server) []ratelimit.Candidate {
	list := make([]ratelimit.Candidate, len(servers))
	for i, s := range servers {
		list[i] = candidateOf(s)
	}
	return list
}

const (
	// waitObjectiveShare is the share of a route's latency objective that a request may
	// wait for its turn at a server with a limit; the rest is left to the server.
	waitObjectiveShare = 0.6
	// waitDeadlineShare is the share of the time left that a request may wait, so that
	// its caller can return after a refusal.
	waitDeadlineShare = 0.25
	// maxSelections bounds how often a server is selected again because another request
	// took what was granted, or because the server left while the request waited.
	maxSelections = 3
)

// selectServer selects the server for the next send, after the request has waited for
// its turn if the server has a rate limit. It returns nil if there is none; the request
// must not be sent then.
func (f *forwarding) selectServer(ctx context.Context, hedge bool) *deployment.Server {
	h := f.host
	for range maxSelections {
		selection := f.choose()
		if hedge && selection.LastResort {
			return nil
		}
		f.allLeaving = selection.Leaving
		request := limits.Request{
			ID: f.request.ID, Service: f.service, Strained: selection.Strained, Slower: selection.Slower, Limited: candidatesOf(selection.NeedGrant),
			Patience: f.patience(), Hedge: hedge, Failing: selection.Failing, Background: f.background || f.yields(selection),
		}
		if selection.Server != nil {
			best := candidateOf(selection.Server)
			request.Best = &best
		}
		f.rateLimited = nil
		id := h.limits.Select(ctx, request)
		f.noteTurn(ctx, request, id)
		if id == "" && (selection.Server == nil || selection.Failing) {
			f.rateLimited = request.Limited
			return nil
		}
		if server := f.current(selection, id); server != nil {
			return server
		}
		f.host.recordTurnedAway(f.request.ID, f.call, "server", id)
	}
	return nil
}

// noteTurn notes whether the request got a grant, if it needed one. It needed none if the
// best server without a limit took it.
func (f *forwarding) noteTurn(ctx context.Context, request limits.Request, id string) {
	granted := slices.ContainsFunc(request.Limited, func(c ratelimit.Candidate) bool { return c.Server == id })
	switch {
	case granted:
		f.turn = turnGranted
	case len(request.Limited) > 0 && !request.Hedge && id == "" && ctx.Err() == nil && f.turn == noTurn:
		f.turn = turnRefused
	}
}

// yields reports whether the request should leave its turn at servers with a rate limit to
// those of another workspace.
func (f *forwarding) yields(selection forward.Selection) bool {
	if f.caller.workspace == nil || len(selection.NeedGrant) == 0 {
		return false
	}
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	return f.host.turns.Yields(f.caller.Workspace(), time.Now())
}

// current returns a selected server if it has not left while the request waited.
func (f *forwarding) current(selection forward.Selection, id string) *deployment.Server {
	now := time.Now()
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	registered := f.host.state.Servers.Get(id)
	for _, s := range append(selection.NeedGrant, selection.Server) {
		if s == nil || s.ID != id || registered == nil || registered.Incarnation != s.Incarnation {
			continue
		}
		if !registered.Leaving || selection.LastResort && registered.IsLastResort(now) {
			return s
		}
	}
	return nil
}

// choose applies the balancer to the servers of the request's service. The result
// refers to copies of the servers.
func (f *forwarding) choose() forward.Selection {
	h := f.host
	now := time.Now()
	claimAge := h.claimAge()
	h.mu.Lock()
	defer h.mu.Unlock()
	state := func(s *deployment.Server) ratelimit.State { return h.limits.State(candidateOf(s), now) }
	if h.spill != nil {
		return f.chooseWithSpillover(state, claimAge, now)
	}
	return h.forward.Choose(h.serversByService[f.service], h.settings.Host.DataCentre, f.excluded, state, now)
}

// patience returns how long the request may wait for its turn. A longer queue would
// make every request late while there are more requests than the limits allow; callers
// are refused and return instead.
func (f *forwarding) patience() time.Duration {
	patience := time.Duration(waitDeadlineShare * float64(time.Until(f.deadline)))
	if f.route.Objective > 0 {
		patience = min(patience, time.Duration(waitObjectiveShare*float64(f.route.Objective)))
	}
	return max(patience, 0)
}

// grantPatience is how far ahead runs on replicas with a rate limit are reserved.
const grantPatience = 500 * time.Millisecond

// requestGrants asks for runs on replicas with a rate limit, for items that no other
// replica can take. The caller holds host.mu.
func (r *runner) requestGrants(replicas []string) {
	byService := make(map[string][]ratelimit.Candidate)
	for _, id := range replicas {
		if s := r.host.state.Servers.Get(id); s != nil {
			byService[s.Service] = append(byService[s.Service], candidateOf(s))
		}
	}
	for service, servers := range byService {
		r.host.limits.Prefetch(r.host.baseCtx, service, servers, grantPatience, r.wake)
	}
}
