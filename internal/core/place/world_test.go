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
	step      = 200 * time.Millisecond
	leaseTerm = 6 * time.Second
	model     = "album"
	centre    = "yoff"
)

// simEngine is an engine that swaps weights for some time.
type simEngine struct {
	place.Server
	state   engine.State
	checks  bool // refuses old fencing numbers
	down    bool
	loaded  time.Time // when the load ends
	pending int64     // highest fence of an order that took effect
}

// delivery is an order on its way to an engine.
type delivery struct {
	at     time.Time
	engine *simEngine
	order  engine.Order
}

// simHost is one owner.
type simHost struct {
	id          string
	permit      lease.Authorizer
	proposer    *lease.Proposer
	planner     *place.Planner
	offset      int
	pausedUntil time.Time
	nextRead    time.Time // of the view stream
	states      map[string]time.Time
	watch       []string
	outgoing    []outgoing
	dead        bool // as the others see it
}

// outgoing is an order that was permitted and not sent yet.
type outgoing struct {
	action   place.Action
	fence    int64
	deadline time.Time
}

// world is one data centre with a log, owners and engines.
type world struct {
	now      time.Time
	random   *rand.Rand
	log      [][]byte
	logged   []time.Time
	logDown  bool
	hosts    []*simHost
	engines  []*simEngine
	set      place.Declarations
	newest   int64
	swapTime time.Duration
	failLoad float64
	// lateOrders lets orders arrive long after their deadline.
	lateOrders bool
	flying     []delivery
	check      func() // after each step
	effects    func(e *simEngine, order engine.Order)
	stores     int // loads from the weight store
}

func newWorld(seed uint64, hosts, engines int, share float64, checks bool) *world {
	w := &world{now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 2)), newest: 1, swapTime: 2 * time.Second}
	w.set = place.Declarations{Version: 1, ConfigCurrent: true, Models: map[string]*declare.Model{model: {Name: model,
		Replicas: map[string]int{centre: engines}, MinServing: share, FencingChecked: checks}}}
	for i := range engines {
		id := fmt.Sprintf("engine-%03d", i)
		w.engines = append(w.engines, &simEngine{Server: place.Server{ID: id, Addr: id, Model: model}, checks: checks,
			state: engine.State{Model: model, Version: 1, Role: engine.RoleMixed}, pending: lease.NoEpoch})
	}
	for i := range hosts {
		id := fmt.Sprintf("host-%02d", i)
		w.hosts = append(w.hosts, &simHost{id: id, planner: place.NewPlanner(centre), states: map[string]time.Time{},
			permit:   lease.Authorizer{Views: lease.NewViewTable(), Self: id, LeaseTerm: leaseTerm},
			proposer: lease.NewProposer(id, centre, time.Hour)})
	}
	return w
}

// run advances all hosts and engines.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for _, e := range w.engines {
			w.finishLoad(e)
		}
		w.deliver()
		for _, h := range w.hosts {
			if w.now.After(h.pausedUntil) {
				w.act(h)
			}
		}
		if w.check != nil {
			w.check()
		}
	}
}

func (w *world) finishLoad(e *simEngine) {
	if e.state.Loading == 0 || w.now.Before(e.loaded) {
		return
	}
	if w.random.Float64() < w.failLoad {
		e.state.LastError = fmt.Sprintf("load of version %d failed", e.state.Loading)
	} else {
		e.state.Version, e.state.LastError = e.state.Loading, ""
	}
	e.state.Loading = 0
}

func (w *world) deliver() {
	w.flying = slices.DeleteFunc(w.flying, func(d delivery) bool {
		if w.now.Before(d.at) {
			return false
		}
		w.take(d.engine, d.order)
		return true
	})
}

// take lets an order take effect unless the engine refuses it.
func (w *world) take(e *simEngine, order engine.Order) {
	if e.down || e.checks && order.Fence < e.state.Fence {
		return
	}
	if e.checks {
		e.state.Fence = order.Fence
	}
	if w.effects != nil {
		w.effects(e, order)
	}
	e.pending = max(e.pending, order.Fence)
	if order.Kind == engine.OrderLoadVersion && e.state.Loading != order.Version {
		e.state.Loading = order.Version
		e.loaded = w.now.Add(w.swapTime)
		if order.Source == "" {
			w.stores++
		}
	}
}

// act runs one host for one step.
func (w *world) act(h *simHost) {
	w.sendOutgoing(h)
	w.readLog(h)
	if record, ok := h.proposer.Next(w.now, h.permit.Views, w.live(h)); ok && !w.logDown && !h.permit.LastReadStart.IsZero() {
		data, _ := record.Encode()
		w.log, w.logged = append(w.log, data), append(w.logged, w.now)
	}
	servers := make([]place.Server, len(w.engines))
	for i, e := range w.engines {
		servers[i] = e.Server
	}
	h.planner.Update(w.now, w.set, servers, func(string) int64 { return w.newest }, nil)
	owned := func(id string) bool {
		view, _, ok := h.permit.Views.View(centre)
		return ok && lease.Owner(id, view.Hosts) == h.id
	}
	for _, e := range w.engines {
		every := time.Second
		if slices.Contains(h.watch, e.ID) {
			every = 400 * time.Millisecond
		}
		if (owned(e.ID) || slices.Contains(h.watch, e.ID)) && w.now.Sub(h.states[e.ID]) >= every {
			h.states[e.ID] = w.now
			h.planner.Observe(w.now, e.ID, e.state, !e.down)
		}
	}
	view, _, _ := h.permit.Views.View(centre)
	turn := place.TimeSlot{Index: slices.Index(view.Hosts, h.id), Count: len(view.Hosts), ViewReadAt: view.ReadAt}
	plan := h.planner.Plan(w.now, turn, owned, func(id string) bool {
		_, refusal := h.permit.AuthorizeOrder(w.now, id, centre, w.set.Models[model].FencingChecked)
		return refusal == ""
	})
	h.watch = plan.Watch
	for _, action := range plan.Actions {
		w.permitOrder(h, action)
	}
}

// permitOrder checks the permission; the order leaves in the next step, unless
// the host is paused in between.
func (w *world) permitOrder(h *simHost, action place.Action) {
	checked := w.set.Models[model].FencingChecked
	permission, refusal := h.permit.AuthorizeOrder(w.now, action.Replica, centre, checked)
	if refusal != "" {
		h.planner.CancelAction(action.Replica)
		return
	}
	deadline := w.now.Add(3 * time.Second)
	if !permission.Deadline.IsZero() && permission.Deadline.Before(deadline) {
		deadline = permission.Deadline
	}
	if !action.Deadline.IsZero() && action.Deadline.Before(deadline) {
		deadline = action.Deadline
	}
	action.Order.Fence, action.Order.Holder = permission.Fence, h.id
	h.outgoing = append(h.outgoing, outgoing{action, permission.Fence, deadline})
	h.planner.RecordSent(w.now, action.Replica, action.Order)
}

func (w *world) sendOutgoing(h *simHost) {
	for _, o := range h.outgoing {
		if !w.now.Before(o.deadline) && !w.lateOrders {
			continue
		}
		i := slices.IndexFunc(w.engines, func(e *simEngine) bool { return e.ID == o.action.Replica })
		if w.lateOrders && w.random.IntN(4) == 0 {
			delay := time.Duration(w.random.Int64N(int64(30 * time.Second)))
			w.flying = append(w.flying, delivery{w.now.Add(delay), w.engines[i], o.action.Order})
			continue
		}
		w.take(w.engines[i], o.action.Order)
	}
	h.outgoing = nil
}

func (w *world) readLog(h *simHost) {
	if w.logDown || w.now.Before(h.nextRead) {
		return
	}
	h.nextRead = w.now.Add(time.Duration(w.random.Int64N(int64(time.Second))))
	for ; h.offset < len(w.log); h.offset++ {
		_, _, _ = h.permit.Views.Apply(w.now, int64(h.offset), w.logged[h.offset], w.log[h.offset])
	}
	h.permit.RecordRead(w.now, w.now)
	h.permit.Views.Prune(w.now, leaseTerm)
}

// live returns the live hosts as h sees them.
func (w *world) live(h *simHost) []string {
	var ids []string
	for _, other := range w.hosts {
		if other == h || !other.dead {
			ids = append(ids, other.id)
		}
	}
	return ids
}

func (w *world) unfinished() int {
	n := 0
	for _, e := range w.engines {
		if e.state.Version != w.newest || e.state.Loading != 0 {
			n++
		}
	}
	return n
}

func (w *world) loading() int {
	n := 0
	for _, e := range w.engines {
		if e.state.Loading != 0 {
			n++
		}
	}
	return n
}
