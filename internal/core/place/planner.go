package place

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
	"github.com/sesamestand/sesamestand/internal/engine"
)

// Planner holds the desired and the reported state of the engines of one data
// centre. It is not safe for concurrent use.
type Planner struct {
	dataCentre   string
	declarations Declarations
	replicas     *table.Table[string, replica]
	rollouts     *table.Table[string, rollout]
	wanted       map[string]int
	shifts       shifts
}

// NewPlanner returns a planner that knows no engine.
func NewPlanner(dataCentre string) *Planner {
	return &Planner{
		dataCentre: dataCentre,
		replicas:   table.New[string, replica](),
		rollouts:   table.New[string, rollout](),
		wanted:     make(map[string]int),
		shifts:     newShifts(),
	}
}

// Update takes the newest declarations, host list, versions and demand.
func (p *Planner) Update(now time.Time, d Declarations, servers []Server, newest func(string) int64, demand map[string]float64) {
	p.declarations = d
	p.replaceServers(servers)
	wanted := make(map[string]int)
	for name, model := range d.Models {
		if n := model.Replicas[p.dataCentre]; n > 0 {
			wanted[name] = n
		}
	}
	p.wanted = p.shifts.apply(now, wanted, minimums(d), demand)
	assigned := Assign(servers, p.wanted)
	p.replicas.Each(func(id string, r *replica) bool {
		r.wanted = assigned[id]
		return true
	})
	for _, name := range slices.Sorted(maps.Keys(d.Models)) {
		target := Target{Version: newest(name)}
		if pin := d.Models[name].PinnedVersion; pin > 0 {
			target = Target{Version: pin, Pinned: true}
		}
		p.retarget(now, name, target)
	}
}

// minimums returns the replicas that must keep serving each model.
func minimums(d Declarations) map[string]int {
	least := make(map[string]int)
	for _, need := range d.Needs {
		least[need.Model] = max(least[need.Model], need.MinReplicas)
	}
	return least
}

func (p *Planner) replaceServers(servers []Server) {
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		present[s.ID] = true
		if r := p.replicas.Get(s.ID); r != nil && r.Addr == s.Addr {
			r.Server = s
			continue
		}
		p.replicas.Put(s.ID, replica{Server: s})
	}
	for _, id := range p.replicas.Keys() {
		if !present[id] {
			p.replicas.Delete(id)
		}
	}
}

// Observe takes the state read from a replica, or the failure to read it.
func (p *Planner) Observe(now time.Time, id string, state engine.State, reachable bool) {
	r := p.replicas.Get(id)
	if r == nil {
		return
	}
	if r.reachable && !reachable || !r.seen && !reachable {
		r.lostSince = now
	}
	r.seen, r.reachable, r.at = true, reachable, now
	if !reachable {
		return
	}
	r.state = state
	if !r.baseKnown {
		r.baseKnown, r.baseError = true, state.LastError
	}
	r.sawLoading = r.sawLoading || state.Loading != 0
	p.settleOrder(now, r)
}

// settleOrder compares the state with the order that this host sent last.
func (p *Planner) settleOrder(now time.Time, r *replica) {
	if r.order == nil {
		return
	}
	if effective(r.state, *r.order) {
		if ro := p.rollouts.Get(r.wanted); ro != nil && r.loadingSeen {
			ro.swapTime = (ro.swapTime + now.Sub(r.orderedAt)) / 2
		}
		r.order, r.failures, r.isolated = nil, 0, false
		r.retryAt = time.Time{}
		return
	}
	if r.state.Loading != 0 {
		r.loadingSeen = true
		return
	}
	if r.loadingSeen || r.state.LastError != r.baseError || now.Sub(r.orderedAt) > orderGrace {
		p.fail(now, r)
	}
}

func effective(state engine.State, order engine.Order) bool {
	switch order.Kind {
	case engine.OrderLoadModel:
		return state.Model == order.Model && state.Loading == 0
	case engine.OrderLoadVersion:
		return state.Version == order.Version && state.Loading == 0
	case engine.OrderLoadAdapter:
		return slices.Contains(state.Adapters, order.Adapter)
	case engine.OrderSetRole:
		return state.Role == order.Role
	}
	return true
}

func (p *Planner) fail(now time.Time, r *replica) {
	r.order = nil
	r.failures++
	r.retryAt = now.Add(min(backoffFirst<<min(r.failures-1, 10), backoffMost))
	if r.failures >= isolateAfter {
		r.retryAt = now.Add(isolateTime)
	}
}

// Sent records that an order went out. An order whose answer was lost counts
// as sent: the next states show whether it took effect.
func (p *Planner) Sent(now time.Time, id string, order engine.Order) {
	if r := p.replicas.Get(id); r != nil {
		r.order, r.orderedAt, r.loadingSeen = &order, now, false
		r.baseError = r.state.LastError
	}
}

// Refused records that an order did not take effect, for example because the
// engine has seen a higher fencing number.
func (p *Planner) Refused(now time.Time, id string) {
	if r := p.replicas.Get(id); r != nil {
		r.order = nil
		r.retryAt = now.Add(backoffFirst)
	}
}

// Plan returns the orders that the owned replicas need now.
func (p *Planner) Plan(now time.Time, owned func(id string) bool) Plan {
	var plan Plan
	watch := make(map[string]bool)
	p.replicas.Each(func(id string, r *replica) bool {
		if r.Leaving || !owned(id) {
			return true
		}
		if r.failures >= isolateAfter && !r.isolated {
			r.isolated = true
			plan.Isolated = append(plan.Isolated, id)
		}
		if action, ok := p.next(now, r, watch); ok {
			plan.Actions = append(plan.Actions, action)
		}
		return true
	})
	for id := range watch {
		if !owned(id) {
			plan.Watch = append(plan.Watch, id)
		}
	}
	slices.Sort(plan.Watch)
	return plan
}

// next returns the one order that a replica needs most.
func (p *Planner) next(now time.Time, r *replica, watch map[string]bool) (Action, bool) {
	model := p.declarations.Models[r.wanted]
	ro := p.rollouts.Get(r.wanted)
	if model == nil || ro == nil || !r.reachable || now.Sub(r.at) > freshTime || !r.at.After(r.orderedAt) {
		return Action{}, false
	}
	if r.order != nil || r.state.Loading != 0 || now.Before(r.retryAt) {
		return Action{}, false
	}
	action := Action{Replica: r.ID, Addr: r.Addr}
	switch {
	case r.state.Model != r.wanted:
		action.Reason = ReasonModel
		action.Order = engine.Order{Kind: engine.OrderLoadModel, Model: r.wanted, Version: ro.target.Version}
	case p.versionDiffers(r, ro.target):
		action.Reason = ReasonVersion
		action.Order = engine.Order{Kind: engine.OrderLoadVersion, Model: r.wanted, Version: ro.target.Version}
	default:
		return p.refine(r, model.Adapters, action)
	}
	source, ready := p.ready(now, r, ro, watch)
	action.Order.Source = source
	return action, ready
}

// versionDiffers says whether the replica must load the target. An older
// version than it runs is ordered only by a pin of the newest configuration.
func (p *Planner) versionDiffers(r *replica, target Target) bool {
	if target.Version == 0 || r.state.Version == target.Version {
		return false
	}
	return r.state.Version < target.Version || target.Pinned && p.declarations.PinsCurrent
}

// refine orders missing adapters, then the role.
func (p *Planner) refine(r *replica, adapters []string, action Action) (Action, bool) {
	for _, adapter := range adapters {
		if !slices.Contains(r.state.Adapters, adapter) {
			action.Reason = ReasonAdapter
			action.Order = engine.Order{Kind: engine.OrderLoadAdapter, Model: r.wanted, Adapter: adapter}
			return action, true
		}
	}
	if role := p.roleOf(r); r.state.Role != role {
		action.Reason = ReasonRole
		action.Order = engine.Order{Kind: engine.OrderSetRole, Role: role}
		return action, true
	}
	return action, false
}
