package orders

import (
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/lease"
	"github.com/sesamestand/sesamestand/internal/core/place"
	"github.com/sesamestand/sesamestand/internal/engine"
	"github.com/sesamestand/sesamestand/internal/platform"
)

const (
	// controlInterval is the time between two runs of the control loop, which
	// starts the state reads and orders that are due.
	controlInterval = 200 * time.Millisecond
	// watchInterval is the time between two state reads of a watched replica: one
	// of another owner whose progress a rollout waits for.
	watchInterval = 400 * time.Millisecond
	// stateTimeout bounds one state read.
	stateTimeout = time.Second
	// orderTimeout bounds one order. An order to an engine that does not check
	// fencing numbers is also bounded by the lease.
	orderTimeout = 3 * time.Second
	// healthyWindowIntervals is the time after a successful state read during
	// which a replica counts as healthy, in state intervals.
	healthyWindowIntervals = 3
	// minHealthyWindow is the lower bound of that time. It keeps one slow response on
	// a busy machine from making a replica unhealthy when StateInterval is short.
	minHealthyWindow = time.Second
	// configKey is the key of the newest configuration version in the table of
	// weight versions. It is not a valid model name.
	configKey = "@config"
)

// poll tracks the state reads of one replica.
type poll struct {
	addr        string
	state       engine.State
	succeededAt time.Time // time of the last successful read
	nextAt      time.Time // earliest time of the next read
	inFlight    bool      // a read is in flight; there is at most one
}

// runControlLoop starts state reads and orders when they are due, until ctx ends.
func (c *Controller) runControlLoop(ctx context.Context) error {
	var watch []string
	return every(ctx, controlInterval, func(time.Time) {
		servers := c.engines()
		c.updatePlanner(servers)
		c.readStates(ctx, servers, watch)
		plan := c.plan(servers)
		watch = plan.Watch
		for _, id := range plan.Isolated {
			c.count("replicas_isolated_total")
			c.decision("what", "isolate", "replica", id, "reason", string(place.ReasonIsolated))
		}
		for _, action := range plan.Actions {
			c.startOrder(ctx, action)
		}
	})
}

// engines returns the engines of the local data centre by ID.
func (c *Controller) engines() map[string]platform.BackendServer {
	servers := make(map[string]platform.BackendServer)
	for _, server := range c.inventory.BackendServers() {
		if server.Kind == platform.KindEngine && server.DataCentre == c.self.DataCentre {
			servers[server.ID] = server
		}
	}
	return servers
}

// updatePlanner passes the declarations, the engines, the weight versions and
// the demand to the planner. It deletes the polls of engines that were removed
// or have another address.
func (c *Controller) updatePlanner(servers map[string]platform.BackendServer) {
	set, version := c.configs.Current()
	d := place.Declarations{Version: version}
	if set != nil {
		d.Models, d.Needs = set.Models, set.Needs
	}
	if version > 0 {
		c.versions.Announce(configKey, version)
	}
	d.ConfigCurrent = version >= c.versions.Newest(configKey)
	var demand map[string]float64
	if c.cfg.Demand != nil {
		demand = c.cfg.Demand()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := make([]place.Server, 0, len(servers))
	for _, s := range servers {
		p := c.polls[s.ID]
		saysLeaving := p != nil && p.addr == s.Addr && p.state.Leaving
		engines = append(engines, place.Server{ID: s.ID, Addr: s.Addr, Model: s.Model, Leaving: s.Leaving || saysLeaving})
	}
	c.planner.Update(time.Now(), d, engines, c.versions.Newest, demand)
	for id := range c.polls {
		if s, ok := servers[id]; !ok || s.Addr != c.polls[id].addr {
			delete(c.polls, id)
		}
	}
}

// readStates starts the state reads that are due, of owned replicas and of those
// with an ID in watch. It does not wait for them, so that an unresponsive engine
// does not delay the others.
func (c *Controller) readStates(ctx context.Context, servers map[string]platform.BackendServer, watch []string) {
	now := time.Now()
	intervals := make(map[string]time.Duration)
	for _, id := range watch {
		intervals[id] = watchInterval
	}
	for _, r := range c.snapshot.Load().owned {
		intervals[r.ID] = c.cfg.StateInterval
	}
	for id, interval := range intervals {
		server, ok := servers[id]
		if !ok || !c.beginPoll(now, server, interval) {
			continue
		}
		go func() {
			_, _ = c.readState(ctx, server.ID, server.Addr)
			c.mu.Lock()
			defer c.mu.Unlock()
			if p := c.polls[server.ID]; p != nil {
				p.inFlight = false
			}
		}()
	}
}

// beginPoll reports whether a read of the server's state is due. If so, it marks
// the read as in flight and schedules the next one.
func (c *Controller) beginPoll(now time.Time, server platform.BackendServer, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.polls[server.ID]
	if p == nil {
		p = &poll{addr: server.Addr}
		c.polls[server.ID] = p
	}
	// A read may start up to half a control interval early, so that the average
	// time between two reads is the interval.
	if p.inFlight || now.Before(p.nextAt.Add(-controlInterval/2)) {
		return false
	}
	p.nextAt, p.inFlight = now.Add(interval), true
	return true
}

// readState reads the state of one engine and passes it to the planner.
func (c *Controller) readState(ctx context.Context, id, addr string) (engine.State, error) {
	readCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := c.admin.State(readCtx, addr)
	if err != nil {
		c.count("engine_state_errors_total")
		klog.V(2).ErrorS(err, "reading engine state failed", "replica", id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.planner.Observe(now, id, state, err == nil)
	if p := c.polls[id]; p != nil && err == nil {
		p.state, p.succeededAt = state, now
	}
	return state, err
}

// plan returns the orders that the owned replicas need next. Orders that this
// host is not permitted to send now are left out.
func (c *Controller) plan(servers map[string]platform.BackendServer) place.Plan {
	set, _ := c.configs.Current()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	checked := make(map[string]bool, len(servers))
	for id, server := range servers {
		checked[id] = c.fencingCheckedLocked(set, server)
	}
	view, _, _ := c.authorizer.Views.View(c.self.DataCentre)
	slot := place.TimeSlot{Index: slices.Index(view.Hosts, c.self.ID), Count: len(view.Hosts), ViewReadAt: view.ReadAt}
	return c.planner.Plan(now, slot, c.ownsByViewLocked, func(id string) bool {
		_, refusal := c.authorizer.AuthorizeOrder(now, id, c.self.DataCentre, checked[id])
		if refusal != "" && refusal != lease.NotOwner {
			c.count("orders_held_total", "reason", string(refusal))
		}
		return refusal == ""
	})
}

// startOrder sends one order in the background. The planner plans no other
// order for the replica until it ends.
func (c *Controller) startOrder(ctx context.Context, action place.Action) {
	go func() {
		c.sendOrder(ctx, action)
		c.mu.Lock()
		c.planner.CancelAction(action.Replica)
		c.mu.Unlock()
	}()
}

// sendOrder reads the engine's state, checks that this host may send orders to
// the replica, and sends the order. The order's deadline is no later than that of
// the permission.
func (c *Controller) sendOrder(ctx context.Context, action place.Action) {
	lastState := c.stateOf(action.Replica)
	state, err := c.readState(ctx, action.Replica, action.Addr)
	if err != nil || stateChanged(lastState, state) {
		return // the next run of the control loop plans with the new state
	}
	if state.Leaving {
		c.count("turned_away_total", "call", "order")
		c.recorder.RecordDecision("turned-away", "", "call", "order", "server", action.Replica, "order", action.Order.Kind)
		return
	}
	permission, refusal := c.authorizeOrder(action.Replica)
	if refusal != "" || state.Fence > permission.Fence {
		c.count("orders_held_total", "reason", heldReason(refusal))
		return
	}
	deadline := time.Now().Add(orderTimeout)
	if !permission.Deadline.IsZero() && permission.Deadline.Before(deadline) {
		deadline = permission.Deadline
	}
	if !action.Deadline.IsZero() && action.Deadline.Before(deadline) {
		deadline = action.Deadline
	}
	sendCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	action.Order.Fence, action.Order.OrderOwner = permission.Fence, c.self.ID
	err = c.admin.SendOrder(sendCtx, action.Addr, action.Order)
	c.mu.Lock()
	if errors.Is(err, engine.ErrFenced) {
		c.planner.RecordRefusal(time.Now(), action.Replica)
	} else {
		c.planner.RecordSent(time.Now(), action.Replica, action.Order)
	}
	c.mu.Unlock()
	c.count("orders_total", "kind", action.Order.Kind, "outcome", outcome(err))
	c.decision("what", "order", "replica", action.Replica, "order", action.Order.Kind, "model", action.Order.Model,
		"version", action.Order.Version, "adapter", action.Order.Adapter, "source", action.Order.Source,
		"fence", action.Order.Fence, "reason", string(action.Reason), "outcome", outcome(err))
}

// stateChanged reports whether a plan based on state a may be wrong for state b.
func stateChanged(a, b engine.State) bool {
	return a.Model != b.Model || a.Version != b.Version || a.Loading != b.Loading || a.Incarnation != b.Incarnation
}

// heldReason returns why an order was not sent. An empty refusal means that the
// engine has seen a higher fencing number.
func heldReason(refusal lease.Refusal) string {
	if refusal == "" {
		return "the engine has seen a higher fencing number"
	}
	return string(refusal)
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, engine.ErrFenced):
		return "fenced"
	}
	return "unknown"
}
