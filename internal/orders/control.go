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
	// controlTick is how often due state reads and orders are looked for.
	controlTick = 200 * time.Millisecond
	// watchInterval is the time between two reads of another owner's replica
	// that a rollout waits for.
	watchInterval = 400 * time.Millisecond
	// stateTimeout bounds one state read.
	stateTimeout = time.Second
	// orderTimeout bounds one order to an engine that checks fences.
	orderTimeout = 3 * time.Second
	// healthyIntervals is the age, in state intervals, up to which a replica
	// counts as healthy.
	healthyIntervals = 3
	// minHealthyTime keeps short state intervals from taking a replica out of
	// service because of one slow answer on a busy machine.
	minHealthyTime = time.Second
	// configKey carries the newest configuration version in the table of
	// weight versions; no model can have this name.
	configKey = "@config"
)

// poll is the reading of one replica's state.
type poll struct {
	addr    string
	state   engine.State
	okAt    time.Time // of the last successful read
	due     time.Time
	reading bool // at most one read of a replica is on its way
}

// control reads states and sends orders until ctx ends.
func (c *Controller) control(ctx context.Context) error {
	var watch []string
	return every(ctx, controlTick, func(time.Time) {
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

// engines returns the engines of this data centre by ID.
func (c *Controller) engines() map[string]platform.BackendServer {
	servers := make(map[string]platform.BackendServer)
	for _, server := range c.inventory.BackendServers() {
		if server.Kind == platform.KindEngine && server.DataCentre == c.self.DataCentre {
			servers[server.ID] = server
		}
	}
	return servers
}

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
	rows := make([]place.Server, 0, len(servers))
	for _, s := range servers {
		rows = append(rows, place.Server{ID: s.ID, Addr: s.Addr, Model: s.Model, Leaving: s.Leaving})
	}
	var demand map[string]float64
	if c.cfg.Demand != nil {
		demand = c.cfg.Demand()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.Update(time.Now(), d, rows, c.versions.Newest, demand)
	for id := range c.polls {
		if s, ok := servers[id]; !ok || s.Addr != c.polls[id].addr {
			delete(c.polls, id)
		}
	}
}

// readStates starts the state reads of owned and watched replicas that are
// due. It doesn't wait for them, so that a silent engine holds up no other.
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
		if !ok || !c.due(now, server, interval) {
			continue
		}
		go func() {
			_, _ = c.readState(ctx, server.ID, server.Addr)
			c.mu.Lock()
			defer c.mu.Unlock()
			if p := c.polls[server.ID]; p != nil {
				p.reading = false
			}
		}()
	}
}

func (c *Controller) due(now time.Time, server platform.BackendServer, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.polls[server.ID]
	if p == nil {
		p = &poll{addr: server.Addr}
		c.polls[server.ID] = p
	}
	// Half a tick early, so that the interval is kept on average.
	if p.reading || now.Before(p.due.Add(-controlTick/2)) {
		return false
	}
	p.due, p.reading = now.Add(interval), true
	return true
}

// readState reads one engine's state and passes it to the planner.
func (c *Controller) readState(ctx context.Context, id, addr string) (engine.State, error) {
	reading, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := c.admin.State(reading, addr)
	if err != nil {
		c.count("engine_state_errors_total")
		klog.V(2).ErrorS(err, "read engine state", "replica", id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.planner.Observe(now, id, state, err == nil)
	if p := c.polls[id]; p != nil && err == nil {
		p.state, p.okAt = state, now
	}
	return state, err
}

func (c *Controller) plan(servers map[string]platform.BackendServer) place.Plan {
	set, _ := c.configs.Current()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	checked := make(map[string]bool, len(servers))
	for id, server := range servers {
		checked[id] = c.checkedLocked(set, server)
	}
	view, _, _ := c.permit.Views.View(c.self.DataCentre)
	turn := place.TimeSlot{Index: slices.Index(view.Hosts, c.self.ID), Count: len(view.Hosts), ViewReadAt: view.ReadAt}
	return c.planner.Plan(now, turn, c.ownsByViewLocked, func(id string) bool {
		_, refusal := c.permit.AuthorizeOrder(now, id, c.self.DataCentre, checked[id])
		if refusal != "" && refusal != lease.NotOwner {
			c.count("orders_held_total", "reason", string(refusal))
		}
		return refusal == ""
	})
}

// startOrder carries out one order in the background; the planner gives a
// replica no other one meanwhile.
func (c *Controller) startOrder(ctx context.Context, action place.Action) {
	go func() {
		c.order(ctx, action)
		c.mu.Lock()
		c.planner.CancelAction(action.Replica)
		c.mu.Unlock()
	}()
}

// order reads the state back, checks the permission just before the send, and
// sends the order with a deadline inside the lease term.
func (c *Controller) order(ctx context.Context, action place.Action) {
	before := c.stateOf(action.Replica)
	state, err := c.readState(ctx, action.Replica, action.Addr)
	if err != nil || changed(before, state) {
		return // the next tick plans with the new state
	}
	permission, refusal := c.mayOrder(action.Replica)
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
	sending, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	action.Order.Fence, action.Order.OrderOwner = permission.Fence, c.self.ID
	err = c.admin.SendOrder(sending, action.Addr, action.Order)
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

func changed(a, b engine.State) bool {
	return a.Model != b.Model || a.Version != b.Version || a.Loading != b.Loading || a.Incarnation != b.Incarnation
}

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
