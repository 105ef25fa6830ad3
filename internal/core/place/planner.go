package place

import (
	"cmp"
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
	servers      []Server // sorted by ID
	wanted       map[string]int
	shifts       shifts
	updated      time.Time
	gap          bool // between the last two updates: this host was paused
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
	p.gap = now.Sub(p.updated) > pauseTime
	p.updated = now
	p.declarations = d
	servers = slices.SortedFunc(slices.Values(servers), func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	wanted := make(map[string]int)
	for name, model := range d.Models {
		if n := model.Replicas[p.dataCentre]; n > 0 {
			wanted[name] = n
		}
	}
	wanted = p.shifts.apply(now, wanted, minimums(d), demand)
	reassign := !slices.Equal(servers, p.servers) || !maps.Equal(wanted, p.wanted)
	if reassign {
		p.servers, p.wanted = servers, wanted
		p.replaceServers(servers)
		assigned := Assign(servers, wanted)
		p.replicas.Each(func(id string, r *replica) bool {
			r.wanted = assigned[id]
			return true
		})
	}
	for _, name := range slices.Sorted(maps.Keys(d.Models)) {
		target := Target{Version: newest(name)}
		if pin := d.Models[name].PinnedVersion; pin > 0 {
			target = Target{Version: pin, Pinned: true}
		}
		if old := p.rollouts.Get(name); reassign || old == nil || old.target != target {
			p.retarget(now, name, target)
		}
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
	if !r.reachable && r.seen && reachable && now.Sub(r.lostSince) >= unreachableGrace/2 {
		r.returned = now
	}
	r.seen, r.reachable, r.at = true, reachable, now
	if !reachable {
		return
	}
	if state.Loading != r.state.Loading {
		r.loadingSince = now
	}
	r.state = state
	if !r.baseKnown {
		r.baseKnown, r.baseError, r.baseAt = true, state.LastError, now
	}
	r.sawLoading = r.sawLoading || state.Loading != 0
	p.settleOrder(now, r)
}

// settleOrder compares the state with the order that this host sent last.
func (p *Planner) settleOrder(now time.Time, r *replica) {
	if r.order == nil || r.reserved {
		return
	}
	if effective(r.state, *r.order) {
		r.order, r.failures, r.isolated = nil, 0, false
		r.retryAt = time.Time{}
		return
	}
	if r.state.Loading != 0 && !stuck(now, r) {
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

// RecordSent records that an order went out. An order whose answer was lost counts
// as sent: the next states show whether it took effect.
func (p *Planner) RecordSent(now time.Time, id string, order engine.Order) {
	if r := p.replicas.Get(id); r != nil {
		r.order, r.reserved, r.orderedAt, r.loadingSeen = &order, false, now, false
		r.baseError = r.state.LastError
	}
}

// CancelAction takes an action back that was not sent.
func (p *Planner) CancelAction(id string) {
	if r := p.replicas.Get(id); r != nil && r.reserved {
		r.order, r.reserved = nil, false
	}
}

// RecordRefusal records that an order did not take effect, for example because the
// engine has seen a higher fencing number.
func (p *Planner) RecordRefusal(now time.Time, id string) {
	if r := p.replicas.Get(id); r != nil {
		r.order, r.reserved = nil, false
		r.retryAt = now.Add(backoffFirst)
	}
}

// session is one call of Plan.
type session struct {
	*Planner
	now       time.Time
	owned     func(id string) bool
	turn      bool // this host may start swaps by counting
	turnStart time.Time
	watch     map[string]bool
}

// Plan returns the orders that the owned replicas need now and that may be
// given. Each action must be followed by Sent, Refused or Release.
func (p *Planner) Plan(now time.Time, turn TimeSlot, owned, may func(id string) bool) Plan {
	var plan Plan
	s := &session{Planner: p, now: now, owned: owned, watch: make(map[string]bool)}
	s.turnStart = now.Truncate(turnTime)
	current := now.Unix() / int64(turnTime.Seconds()) % int64(max(1, turn.Count))
	s.turn = current == int64(turn.Index) && now.Sub(s.turnStart) < turnUse &&
		!s.turnStart.Before(turn.ViewReadAt.Add(settleTime))
	p.replicas.Each(func(id string, r *replica) bool {
		if r.Leaving || !owned(id) {
			return true
		}
		if r.failures >= isolateAfter && !r.isolated {
			r.isolated = true
			plan.Isolated = append(plan.Isolated, id)
		}
		if !may(id) {
			return true
		}
		if action, ok := s.next(r); ok {
			plan.Actions = append(plan.Actions, action)
			r.order, r.reserved = &action.Order, true
		}
		return true
	})
	for id := range s.watch {
		if !owned(id) {
			plan.Watch = append(plan.Watch, id)
		}
	}
	slices.Sort(plan.Watch)
	return plan
}

// next returns the one order that a replica needs most.
func (s *session) next(r *replica) (Action, bool) {
	model := s.declarations.Models[r.wanted]
	ro := s.rollouts.Get(r.wanted)
	if model == nil || ro == nil || !r.reachable || s.now.Sub(r.at) > freshTime || !r.at.After(r.orderedAt) {
		return Action{}, false
	}
	if r.order != nil || r.state.Loading != 0 && !stuck(s.now, r) || s.now.Before(r.retryAt) {
		return Action{}, false
	}
	action := Action{Replica: r.ID, Addr: r.Addr}
	switch {
	case r.state.Model != r.wanted && ro.target.Version == 0:
		return action, false // no version is known that it could load
	case r.state.Model != r.wanted:
		action.Reason = ReasonModel
		action.Order = engine.Order{Kind: engine.OrderLoadModel, Model: r.wanted, Version: ro.target.Version}
	case s.versionDiffers(r, ro.target):
		action.Reason = ReasonVersion
		action.Order = engine.Order{Kind: engine.OrderLoadVersion, Model: r.wanted, Version: ro.target.Version}
	default:
		return s.refine(r, model.Adapters, action)
	}
	if s.counts(r, ro) {
		action.Deadline = s.turnStart.Add(turnTime)
	}
	source, ready := s.ready(r, ro)
	action.Order.Source = source
	return action, ready
}

// versionDiffers says whether the replica must load the target. An older
// version than it runs is ordered only by a pin of the newest configuration.
func (p *Planner) versionDiffers(r *replica, target Target) bool {
	if target.Version == 0 || r.state.Version == target.Version {
		return false
	}
	return r.state.Version < target.Version || target.Pinned && p.declarations.ConfigCurrent
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
	// An engine that reports no role knows none and serves mixed work.
	if role := p.roleOf(r); r.state.Role != role && r.state.Role != "" {
		action.Reason = ReasonRole
		action.Order = engine.Order{Kind: engine.OrderSetRole, Role: role}
		return action, true
	}
	return action, false
}
