package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/table"
	"github.com/sesamestand/sesamestand/internal/engine"
)

// Planner holds the desired and the reported state of the engines in one data
// centre. It is not safe for concurrent use.
type Planner struct {
	dataCentre     string
	declarations   Declarations
	replicas       *table.Table[string, replica]
	rollouts       *table.Table[string, rollout]
	servers        []Server // sorted by ID
	wantedReplicas map[string]int
	rebalancer     rebalancer
	updatedAt      time.Time
	wasPaused      bool // this host was paused between the last two updates
}

// NewPlanner returns a planner without engines.
func NewPlanner(dataCentre string) *Planner {
	return &Planner{
		dataCentre:     dataCentre,
		replicas:       table.New[string, replica](),
		rollouts:       table.New[string, rollout](),
		wantedReplicas: make(map[string]int),
		rebalancer:     newRebalancer(),
	}
}

// Update applies the latest declarations, host list, weight versions and
// demand.
func (p *Planner) Update(now time.Time, d Declarations, servers []Server, newest func(string) int64, demand map[string]float64) {
	p.wasPaused = now.Sub(p.updatedAt) > pauseThreshold
	p.updatedAt = now
	p.declarations = d
	servers = slices.SortedFunc(slices.Values(servers), func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	wanted := make(map[string]int)
	for name, model := range d.Models {
		if n := model.Replicas[p.dataCentre]; n > 0 {
			wanted[name] = n
		}
	}
	wanted = p.rebalancer.apply(now, wanted, minReplicas(d), demand)
	reassign := !slices.Equal(servers, p.servers) || !maps.Equal(wanted, p.wantedReplicas)
	if reassign {
		p.servers, p.wantedReplicas = servers, wanted
		p.replaceServers(servers)
		assigned := Assign(servers, wanted)
		p.replicas.Each(func(id string, r *replica) bool {
			r.assignedModel = assigned[id]
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

// minReplicas returns the minimum number of replicas that must serve each
// model.
func minReplicas(d Declarations) map[string]int {
	minimum := make(map[string]int)
	for _, need := range d.Needs {
		minimum[need.Model] = max(minimum[need.Model], need.MinReplicas)
	}
	return minimum
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
	// Update retargets the rollouts of declared models only.
	p.rollouts.Each(func(model string, ro *rollout) bool {
		if p.declarations.Models[model] == nil {
			ro.members = slices.DeleteFunc(ro.members, func(id string) bool { return !present[id] })
		}
		return true
	})
}

// Observe records the state read from a replica, or that it could not be read.
func (p *Planner) Observe(now time.Time, id string, state engine.State, reachable bool) {
	r := p.replicas.Get(id)
	if r == nil {
		return
	}
	if r.reachable && !reachable || !r.observed && !reachable {
		r.unreachableSince = now
	}
	if !r.reachable && r.observed && reachable && now.Sub(r.unreachableSince) >= unreachableGrace/2 {
		r.reachableAgainAt = now
	}
	r.observed, r.reachable, r.observedAt = true, reachable, now
	if !reachable {
		return
	}
	if state.Loading != r.state.Loading {
		r.loadingSince = now
	}
	r.state = state
	if !r.baselineKnown {
		r.baselineKnown, r.baselineError, r.baselineAt = true, state.LastError, now
	}
	r.loadObserved = r.loadObserved || state.Loading != 0
	p.checkPendingOrder(now, r)
}

// checkPendingOrder compares the state with the order that this host sent last
// and clears the order once it took effect or failed.
func (p *Planner) checkPendingOrder(now time.Time, r *replica) {
	if r.pendingOrder == nil || r.unsent {
		return
	}
	if orderApplied(r.state, *r.pendingOrder) {
		r.pendingOrder, r.failures, r.isolated = nil, 0, false
		r.retryAt = time.Time{}
		return
	}
	if r.state.Loading != 0 && !loadTimedOut(now, r) {
		r.orderLoadObserved = true
		return
	}
	if r.orderLoadObserved || r.state.LastError != r.baselineError || now.Sub(r.orderedAt) > orderEffectTimeout {
		p.recordFailure(now, r)
	}
}

func orderApplied(state engine.State, order engine.Order) bool {
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

func (p *Planner) recordFailure(now time.Time, r *replica) {
	r.pendingOrder = nil
	r.failures++
	r.retryAt = now.Add(min(initialBackoff<<min(r.failures-1, 10), maxBackoff))
	if r.failures >= isolateAfterFailures {
		r.retryAt = now.Add(isolationPeriod)
	}
}

// RecordSent records that an order was sent. An order whose response was lost
// counts as sent: the next observed states show whether it took effect.
func (p *Planner) RecordSent(now time.Time, id string, order engine.Order) {
	if r := p.replicas.Get(id); r != nil {
		r.pendingOrder, r.unsent, r.orderedAt, r.orderLoadObserved = &order, false, now, false
		r.baselineError = r.state.LastError
	}
}

// CancelAction cancels a planned action that was not sent.
func (p *Planner) CancelAction(id string) {
	if r := p.replicas.Get(id); r != nil && r.unsent {
		r.pendingOrder, r.unsent = nil, false
	}
}

// RecordRefusal records that an order did not take effect, for example because
// the engine has seen a higher fencing number.
func (p *Planner) RecordRefusal(now time.Time, id string) {
	if r := p.replicas.Get(id); r != nil {
		r.pendingOrder, r.unsent = nil, false
		r.retryAt = now.Add(initialBackoff)
	}
}

// planPass holds the state of one call of Plan.
type planPass struct {
	*Planner
	now        time.Time
	owned      func(id string) bool
	slotActive bool // this host may start swaps by counting
	slotStart  time.Time
	watch      map[string]bool
}

// Plan returns the orders that the replicas accepted by owned need now,
// restricted to those for which mayOrder returns true. Each action must be
// followed by a call of RecordSent, RecordRefusal or CancelAction.
func (p *Planner) Plan(now time.Time, slot TimeSlot, owned, mayOrder func(id string) bool) Plan {
	var plan Plan
	s := &planPass{Planner: p, now: now, owned: owned, watch: make(map[string]bool)}
	s.slotStart = now.Truncate(slotDuration)
	activeSlot := now.Unix() / int64(slotDuration.Seconds()) % int64(max(1, slot.Count))
	s.slotActive = activeSlot == int64(slot.Index) && now.Sub(s.slotStart) < slotUsableTime &&
		!s.slotStart.Before(slot.ViewReadAt.Add(propagationTime))
	p.replicas.Each(func(id string, r *replica) bool {
		if r.Leaving || !owned(id) {
			return true
		}
		if r.failures >= isolateAfterFailures && !r.isolated {
			r.isolated = true
			plan.Isolated = append(plan.Isolated, id)
		}
		if !mayOrder(id) {
			return true
		}
		if action, ok := s.nextAction(r); ok {
			plan.Actions = append(plan.Actions, action)
			r.pendingOrder, r.unsent = &action.Order, true
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

// nextAction returns the order that a replica needs first.
func (s *planPass) nextAction(r *replica) (Action, bool) {
	model := s.declarations.Models[r.assignedModel]
	ro := s.rollouts.Get(r.assignedModel)
	if model == nil || ro == nil || !r.reachable || s.now.Sub(r.observedAt) > maxStateAge || !r.observedAt.After(r.orderedAt) {
		return Action{}, false
	}
	if r.pendingOrder != nil || r.state.Loading != 0 && !loadTimedOut(s.now, r) || s.now.Before(r.retryAt) {
		return Action{}, false
	}
	action := Action{Replica: r.ID, Addr: r.Addr}
	switch {
	case r.state.Model != r.assignedModel && ro.target.Version == 0:
		return action, false // no version of the model is known
	case r.state.Model != r.assignedModel:
		action.Reason = ReasonModel
		action.Order = engine.Order{Kind: engine.OrderLoadModel, Model: r.assignedModel, Version: ro.target.Version}
	case s.needsVersion(r, ro.target):
		action.Reason = ReasonVersion
		action.Order = engine.Order{Kind: engine.OrderLoadVersion, Model: r.assignedModel, Version: ro.target.Version}
	default:
		return s.nextAdapterOrRole(r, model.Adapters, action)
	}
	switch {
	case s.startsByCount(r, ro):
		action.Deadline = s.slotStart.Add(slotDuration)
	case serves(r, r.assignedModel):
		action.Deadline = s.now.Add(chainOrderTimeout)
	}
	source, ready := s.readyToSwap(r, ro)
	action.Order.Source = source
	return action, ready
}

// needsVersion reports whether the replica must load the target. A version
// older than the running one is ordered only if it is pinned by the newest
// configuration.
func (p *Planner) needsVersion(r *replica, target Target) bool {
	if target.Version == 0 || r.state.Version == target.Version {
		return false
	}
	return r.state.Version < target.Version || target.Pinned && p.declarations.ConfigCurrent
}

// nextAdapterOrRole returns an order for a missing adapter or, if there is none,
// for a different role.
func (p *Planner) nextAdapterOrRole(r *replica, adapters []string, action Action) (Action, bool) {
	for _, adapter := range adapters {
		if !slices.Contains(r.state.Adapters, adapter) {
			action.Reason = ReasonAdapter
			action.Order = engine.Order{Kind: engine.OrderLoadAdapter, Model: r.assignedModel, Adapter: adapter}
			return action, true
		}
	}
	// An engine that reports no role does not support roles and serves all
	// kinds of work.
	if role := p.targetRole(r); r.state.Role != role && r.state.Role != "" {
		action.Reason = ReasonRole
		action.Order = engine.Order{Kind: engine.OrderSetRole, Role: role}
		return action, true
	}
	return action, false
}
