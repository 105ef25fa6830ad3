package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/lease"
	"github.com/sesamestand/sesamestand/internal/core/place"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/engine"
)

const (
	step       = 200 * time.Millisecond
	leaseTerm  = 6 * time.Second
	model      = "album"
	dataCentre = "yoff"
)

// simEngine simulates an engine whose weight swaps take time.
type simEngine struct {
	place.Server
	state         engine.State
	checksFencing bool // rejects outdated fencing numbers
	unreachable   bool
	loadEndsAt    time.Time
	highestFence  int64 // highest fencing number of an order that took effect
}

// delayedOrder is an order in flight to an engine.
type delayedOrder struct {
	at     time.Time
	engine *simEngine
	order  engine.Order
}

// simHost simulates one owner.
type simHost struct {
	id           string
	authorizer   lease.Authorizer
	proposer     *lease.Proposer
	planner      *place.Planner
	nextOffset   int
	pausedUntil  time.Time
	nextLogRead  time.Time
	observedAt   map[string]time.Time
	watch        []string
	outgoing     []outgoingOrder
	reportedDead bool // according to the other hosts
}

// outgoingOrder is an order that was permitted and not sent yet.
type outgoingOrder struct {
	action   place.Action
	fence    int64
	deadline time.Time
}

// testCluster simulates one data centre with a log, owners and engines.
type testCluster struct {
	now             time.Time
	random          *rand.Rand
	log             [][]byte
	appendedAt      []time.Time
	logUnavailable  bool
	hosts           []*simHost
	engines         []*simEngine
	declarations    place.Declarations
	newest          int64
	loadTime        time.Duration
	loadFailureRate float64
	// delayOrders lets orders arrive long after their deadline.
	delayOrders    bool
	delayedOrders  []delayedOrder
	afterStep      func() // called after each step
	onOrderApplied func(e *simEngine, order engine.Order)
	storeLoads     int // number of loads from the weight store
}

func newTestCluster(seed uint64, hosts, engines int, minServing float64, fencingChecked bool) *testCluster {
	c := &testCluster{now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 2)), newest: 1, loadTime: 2 * time.Second}
	c.declarations = place.Declarations{Version: 1, ConfigCurrent: true, Models: map[string]*declare.Model{model: {Name: model,
		Replicas: map[string]int{dataCentre: engines}, MinServing: minServing, FencingChecked: fencingChecked}}}
	for i := range engines {
		id := fmt.Sprintf("engine-%03d", i)
		c.engines = append(c.engines, &simEngine{Server: place.Server{ID: id, Addr: id, Model: model}, checksFencing: fencingChecked,
			state: engine.State{Model: model, Version: 1, Role: engine.RoleMixed}, highestFence: lease.NoEpoch})
	}
	for i := range hosts {
		id := fmt.Sprintf("host-%02d", i)
		c.hosts = append(c.hosts, &simHost{id: id, planner: place.NewPlanner(dataCentre), observedAt: map[string]time.Time{},
			authorizer: lease.Authorizer{Views: lease.NewViewTable(), Self: id, LeaseTerm: leaseTerm},
			proposer:   lease.NewProposer(id, dataCentre, time.Hour)})
	}
	return c
}

// run advances all hosts and engines by d.
func (c *testCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		for _, e := range c.engines {
			c.finishLoad(e)
		}
		c.deliverDelayed()
		for _, h := range c.hosts {
			if c.now.After(h.pausedUntil) {
				c.stepHost(h)
			}
		}
		if c.afterStep != nil {
			c.afterStep()
		}
	}
}

func (c *testCluster) finishLoad(e *simEngine) {
	if e.state.Loading == 0 || c.now.Before(e.loadEndsAt) {
		return
	}
	if c.random.Float64() < c.loadFailureRate {
		e.state.LastError = fmt.Sprintf("load of version %d failed", e.state.Loading)
	} else {
		e.state.Version, e.state.LastError = e.state.Loading, ""
	}
	e.state.Loading = 0
}

func (c *testCluster) deliverDelayed() {
	c.delayedOrders = slices.DeleteFunc(c.delayedOrders, func(d delayedOrder) bool {
		if c.now.Before(d.at) {
			return false
		}
		c.applyOrder(d.engine, d.order)
		return true
	})
}

// applyOrder applies an order unless the engine rejects it.
func (c *testCluster) applyOrder(e *simEngine, order engine.Order) {
	if e.unreachable || e.checksFencing && order.Fence < e.state.Fence {
		return
	}
	if e.checksFencing {
		e.state.Fence = order.Fence
	}
	if c.onOrderApplied != nil {
		c.onOrderApplied(e, order)
	}
	e.highestFence = max(e.highestFence, order.Fence)
	if order.Kind == engine.OrderLoadVersion && e.state.Loading != order.Version {
		e.state.Loading = order.Version
		e.loadEndsAt = c.now.Add(c.loadTime)
		if order.Source == "" {
			c.storeLoads++
		}
	}
}

// stepHost runs one host for one step.
func (c *testCluster) stepHost(h *simHost) {
	c.sendOutgoing(h)
	c.readLog(h)
	if record, ok := h.proposer.Next(c.now, h.authorizer.Views, c.liveHosts(h)); ok && !c.logUnavailable && !h.authorizer.LastReadStart.IsZero() {
		data, _ := record.Encode()
		c.log, c.appendedAt = append(c.log, data), append(c.appendedAt, c.now)
	}
	servers := make([]place.Server, len(c.engines))
	for i, e := range c.engines {
		servers[i] = e.Server
	}
	h.planner.Update(c.now, c.declarations, servers, func(string) int64 { return c.newest }, nil)
	owned := func(id string) bool {
		view, _, ok := h.authorizer.Views.View(dataCentre)
		return ok && lease.Owner(id, view.Hosts) == h.id
	}
	for _, e := range c.engines {
		every := time.Second
		if slices.Contains(h.watch, e.ID) {
			every = 400 * time.Millisecond
		}
		if (owned(e.ID) || slices.Contains(h.watch, e.ID)) && c.now.Sub(h.observedAt[e.ID]) >= every {
			h.observedAt[e.ID] = c.now
			h.planner.Observe(c.now, e.ID, e.state, !e.unreachable)
		}
	}
	view, _, _ := h.authorizer.Views.View(dataCentre)
	slot := place.TimeSlot{Index: slices.Index(view.Hosts, h.id), Count: len(view.Hosts), ViewReadAt: view.ReadAt}
	plan := h.planner.Plan(c.now, slot, owned, func(id string) bool {
		_, refusal := h.authorizer.AuthorizeOrder(c.now, id, dataCentre, c.declarations.Models[model].FencingChecked)
		return refusal == ""
	})
	h.watch = plan.Watch
	for _, action := range plan.Actions {
		c.queueOrder(h, action)
	}
}

// queueOrder queues an order if the host may send it. The order is sent in the
// host's next step, which a pause of the host delays.
func (c *testCluster) queueOrder(h *simHost, action place.Action) {
	checked := c.declarations.Models[model].FencingChecked
	permission, refusal := h.authorizer.AuthorizeOrder(c.now, action.Replica, dataCentre, checked)
	if refusal != "" {
		h.planner.CancelAction(action.Replica)
		return
	}
	deadline := c.now.Add(3 * time.Second)
	if !permission.Deadline.IsZero() && permission.Deadline.Before(deadline) {
		deadline = permission.Deadline
	}
	if !action.Deadline.IsZero() && action.Deadline.Before(deadline) {
		deadline = action.Deadline
	}
	action.Order.Fence, action.Order.OrderOwner = permission.Fence, h.id
	h.outgoing = append(h.outgoing, outgoingOrder{action, permission.Fence, deadline})
	h.planner.RecordSent(c.now, action.Replica, action.Order)
}

func (c *testCluster) sendOutgoing(h *simHost) {
	for _, o := range h.outgoing {
		if !c.now.Before(o.deadline) && !c.delayOrders {
			continue
		}
		i := slices.IndexFunc(c.engines, func(e *simEngine) bool { return e.ID == o.action.Replica })
		if c.delayOrders && c.random.IntN(4) == 0 {
			delay := time.Duration(c.random.Int64N(int64(30 * time.Second)))
			c.delayedOrders = append(c.delayedOrders, delayedOrder{c.now.Add(delay), c.engines[i], o.action.Order})
			continue
		}
		c.applyOrder(c.engines[i], o.action.Order)
	}
	h.outgoing = nil
}

func (c *testCluster) readLog(h *simHost) {
	if c.logUnavailable || c.now.Before(h.nextLogRead) {
		return
	}
	h.nextLogRead = c.now.Add(time.Duration(c.random.Int64N(int64(time.Second))))
	for ; h.nextOffset < len(c.log); h.nextOffset++ {
		_, _, _ = h.authorizer.Views.Apply(c.now, int64(h.nextOffset), c.appendedAt[h.nextOffset], c.log[h.nextOffset])
	}
	h.authorizer.RecordRead(c.now, c.now)
	h.authorizer.Views.Prune(c.now, leaseTerm)
}

// liveHosts returns the IDs of the hosts that h considers live.
func (c *testCluster) liveHosts(h *simHost) []string {
	var ids []string
	for _, other := range c.hosts {
		if other == h || !other.reportedDead {
			ids = append(ids, other.id)
		}
	}
	return ids
}

func (c *testCluster) outdatedReplicas() int {
	n := 0
	for _, e := range c.engines {
		if e.state.Version != c.newest || e.state.Loading != 0 {
			n++
		}
	}
	return n
}

func (c *testCluster) loadingReplicas() int {
	n := 0
	for _, e := range c.engines {
		if e.state.Loading != 0 {
			n++
		}
	}
	return n
}
