package place

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/sesamestand/sesamestand/internal/engine"
)

// retarget starts a rollout when the target or the replicas of a model change.
func (p *Planner) retarget(now time.Time, model string, target Target) {
	purpose := model + "@" + strconv.FormatInt(target.Version, 10)
	var members []string
	p.replicas.Each(func(id string, r *replica) bool {
		if r.wanted == model && !r.Leaving {
			members = append(members, id)
		}
		return true
	})
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(purpose, a), score(purpose, b)), cmp.Compare(a, b))
	})
	old := p.rollouts.Get(model)
	if old == nil {
		p.rollouts.Put(model, rollout{target: target, since: now, members: members, blind: p.gap})
		return
	}
	if old.target != target {
		next := rollout{target: target, since: now, members: members, blind: p.gap}
		if old.target.Version != 0 && now.Before(old.chainsEnd(p.allowance(model, len(old.members))).Add(supersedeTime)) {
			next.disturbed = now // the earlier rollout may still go on
		}
		p.rollouts.Put(model, next)
		for _, id := range members {
			r := p.replicas.Get(id)
			r.sawLoading, r.baseKnown = false, false
			r.failures, r.isolated, r.retryAt = 0, false, time.Time{}
		}
		return
	}
	if !slices.Equal(old.members, members) {
		old.members = members
		old.disturbed = now
	}
}

// allowance is the number of replicas of a group that may be missing at once.
// It is at least one, because otherwise no replica could ever be swapped.
func (p *Planner) allowance(model string, members int) int {
	share := p.declarations.Models[model].MinServing
	return max(1, int(float64(members)*(1-share)+1e-9))
}

// predecessor returns the position that the given position waits for, and the
// wave it is in. The waves double from storeLoads up to the allowance; beyond
// that each position waits for the one an allowance earlier. At most as many
// positions as the widest wave can therefore be in a swap at once.
func predecessor(position, allowance int) (before, wave int, ok bool) {
	start, width := 0, min(storeLoads, allowance)
	previous, previousWidth := -1, 0
	for ; position >= start+width; wave++ {
		previous, previousWidth = start, width
		start += width
		width = min(2*width, allowance)
	}
	if previous < 0 {
		return 0, wave, false
	}
	return previous + (position-start)%previousWidth, wave, true
}

// ready says whether the replica may start its swap now and where it copies
// the weights from. It adds the replicas whose state it needs to watch.
func (s *session) ready(r *replica, ro *rollout) (string, bool) {
	position := slices.Index(ro.members, r.ID)
	if position < 0 {
		return "", false
	}
	if !serves(r, r.wanted) { // it takes nothing away
		return s.census(r, ro).source, true
	}
	allowance := s.allowance(r.wanted, len(ro.members))
	end := ro.chainsEnd(allowance)
	if s.now.Before(end) {
		return s.readyInChain(r, ro, position, allowance)
	}
	for _, id := range ro.members {
		if other := s.replicas.Get(id); !s.finished(other, ro.target) || s.now.Sub(other.at) > unreachableGrace {
			s.watch[id] = true
		}
	}
	if !s.turn || s.turnStart.Before(end.Add(settleTime)) {
		return "", false
	}
	return s.readyByCount(r, ro, position, allowance)
}

// chainsEnd is when owners stop to follow chains and begin to count. All
// owners must change over together, because chains leave no room for replicas
// that are started by counting. It therefore follows from what all know.
func (ro *rollout) chainsEnd(allowance int) time.Time {
	if !ro.disturbed.IsZero() && !ro.blind {
		return ro.disturbed
	}
	_, waves, _ := predecessor(len(ro.members), allowance)
	return ro.since.Add(max(chainTime, time.Duration(waves+1)*waveTime))
}

// readyInChain lets a replica swap when its predecessor is done. It steps over
// predecessors that are given up; their owners retry them only by counting.
func (s *session) readyInChain(r *replica, ro *rollout, position, allowance int) (string, bool) {
	// Others may have stepped over a replica that failed, that was gone for a
	// while, or whose former owner did nothing; it waits for the counting.
	unwatched := r.baseAt.After(ro.since.Add(settleTime))
	if ro.blind || r.failures > 0 || r.triedInVain() || unwatched || r.returned.After(ro.since) {
		return "", false
	}
	for {
		before, _, ok := predecessor(position, allowance)
		if !ok {
			return "", true
		}
		first := s.replicas.Get(ro.members[before])
		s.watch[first.ID] = true
		switch {
		case s.finished(first, ro.target):
			return sourceOf(first, ro.target), true
		case first.reachable && !first.triedInVain():
			return "", false
		case !first.reachable && (!first.seen || s.now.Sub(first.lostSince) < unreachableGrace):
			return "", false
		case first.reachable && before < min(storeLoads, allowance):
			// The version failed where it was loaded from the store; it may be
			// bad, and then it must not reach further replicas.
			return "", false
		}
		position = before
	}
}

// census is the state of the other replicas of a model.
type census struct {
	missing int // do not serve
	failed  int // tried the target and do not run it
	unknown bool
	source  string
}

func (s *session) census(r *replica, ro *rollout) census {
	var c census
	for _, id := range ro.members {
		other := s.replicas.Get(id)
		switch {
		case id == r.ID:
		case s.finished(other, ro.target) && s.now.Sub(other.at) <= 2*unreachableGrace:
			c.source = cmp.Or(sourceOf(other, ro.target), c.source)
		case !s.current(other):
			c.unknown = true
		case !other.reachable && s.now.Sub(other.lostSince) > unreachableGrace, stuck(s.now, other):
			// Waiting for it could hold the rollout up for good.
		case !serves(other, r.wanted) || other.order != nil:
			c.missing++
		case other.triedInVain():
			c.failed++
		}
	}
	return c
}

// current says whether the state of a replica can be counted with. The state
// of another owner's replica must have been read in this host's turn, because
// its owner may have given an order in its own turn before.
func (s *session) current(r *replica) bool {
	if s.owned(r.ID) {
		return r.seen && s.now.Sub(r.at) <= freshTime
	}
	return r.seen && !r.at.Before(s.turnStart)
}

// readyByCount lets a replica swap when enough others serve.
func (s *session) readyByCount(r *replica, ro *rollout, position, allowance int) (string, bool) {
	c := s.census(r, ro)
	if c.unknown {
		return "", false
	}
	// A version that failed on others and runs nowhere is likely bad; only the
	// replicas that load from the store go on trying it.
	if c.source == "" && c.failed > 0 && position >= storeLoads {
		return "", false
	}
	return c.source, c.missing < allowance
}

// triedInVain says whether a replica that does not run the target tried it.
func (r *replica) triedInVain() bool {
	return r.seen && r.state.Loading == 0 && (r.sawLoading || r.state.LastError != r.baseError)
}

// stuck says whether a load takes so long that it will hardly end.
func stuck(now time.Time, r *replica) bool {
	return r.state.Loading != 0 && now.Sub(r.loadingSince) > stuckTime
}

// sourceOf returns the address to copy the target from, or an empty string
// when the replica runs another version by now.
func sourceOf(r *replica, target Target) string {
	if r.state.Version == target.Version && r.state.Loading == 0 {
		return r.Addr
	}
	return ""
}

// serves says whether the replica answers requests for the model.
func serves(r *replica, model string) bool {
	return r.reachable && r.state.Model == model && r.state.Loading == 0 && r.state.Version > 0
}

// finished says whether the replica runs the target or, unless it is pinned, a
// newer version.
func (p *Planner) finished(r *replica, target Target) bool {
	if !r.seen || !r.reachable || r.state.Model != r.wanted || r.state.Loading != 0 {
		return false
	}
	return r.state.Version == target.Version || !target.Pinned && r.state.Version > target.Version
}

// roleOf returns the wanted role of a replica.
func (p *Planner) roleOf(*replica) string { return engine.RoleMixed }
