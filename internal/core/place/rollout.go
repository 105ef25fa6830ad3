package place

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/sesamestand/sesamestand/internal/engine"
)

// retarget starts a rollout if the target of a model has changed, and updates
// the rollout if its members have.
func (p *Planner) retarget(now time.Time, model string, target Target) {
	rankKey := model + "@" + strconv.FormatInt(target.Version, 10)
	var members []string
	p.replicas.Each(func(id string, r *replica) bool {
		if r.assignedModel == model && !r.Leaving {
			members = append(members, id)
		}
		return true
	})
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(rankKey, a), rendezvousScore(rankKey, b)), cmp.Compare(a, b))
	})
	old := p.rollouts.Get(model)
	if old == nil {
		p.rollouts.Put(model, rollout{target: target, startedAt: now, members: members, startUnknown: p.wasPaused})
		return
	}
	if old.target != target {
		next := rollout{target: target, startedAt: now, members: members, startUnknown: p.wasPaused}
		switch end := old.chainsEnd(p.maxUnavailable(model, len(old.members))); {
		case now.Before(old.startedAt.Add(startDelay - pauseThreshold)): // no owner has started it
			next.chainsBrokenAt, next.startUnknown, next.startDisputed = old.chainsBrokenAt, old.startUnknown || p.wasPaused, old.startDisputed
		case now.Before(old.startedAt.Add(startDelay + pauseThreshold)):
			next.startDisputed = true
		case old.target.Version != 0 && now.Before(end.Add(supersedeGrace)):
			next.chainsBrokenAt = now // the previous rollout may still be running
		}
		p.rollouts.Put(model, next)
		for _, id := range members {
			r := p.replicas.Get(id)
			r.loadObserved, r.baselineKnown = false, false
			r.failures, r.isolated, r.retryAt = 0, false, time.Time{}
		}
		return
	}
	if !slices.Equal(old.members, members) {
		old.members = members
		old.chainsBrokenAt = now
	}
}

// maxUnavailable returns the number of replicas of a model that may be
// unavailable at once. It is at least one, because otherwise no replica could
// ever be swapped.
func (p *Planner) maxUnavailable(model string, members int) int {
	share := p.declarations.Models[model].MinServing
	return max(1, int(float64(members)*(1-share)+1e-9))
}

// predecessor returns the position that the given position waits for, and its
// wave. The width of the waves doubles from maxStoreLoads up to maxUnavailable;
// beyond that, each position waits for the one maxUnavailable positions
// earlier. The number of positions that swap at once is therefore at most the
// width of the widest wave.
func predecessor(position, maxUnavailable int) (prevPosition, wave int, ok bool) {
	start, width := 0, min(maxStoreLoads, maxUnavailable)
	previous, previousWidth := -1, 0
	for ; position >= start+width; wave++ {
		previous, previousWidth = start, width
		start += width
		width = min(2*width, maxUnavailable)
	}
	if previous < 0 {
		return 0, wave, false
	}
	return previous + (position-start)%previousWidth, wave, true
}

// readyToSwap reports whether the replica may start its swap now, and returns
// the address from which it copies the weights, which is empty for the weight
// store. It adds the replicas whose state must be known to s.watch.
func (s *planPass) readyToSwap(r *replica, ro *rollout) (string, bool) {
	position := slices.Index(ro.members, r.ID)
	if position < 0 {
		return "", false
	}
	if !serves(r, r.assignedModel) { // its swap does not reduce the number of serving replicas
		return s.countReplicas(r, ro).source, true
	}
	if ro.startUnknown && !ro.startDisputed {
		s.checkForLoads(ro)
	}
	maxUnavailable := s.maxUnavailable(r.assignedModel, len(ro.members))
	end := ro.chainsEnd(maxUnavailable)
	if s.now.Before(end) {
		return s.readyInChain(r, ro, position, maxUnavailable)
	}
	for _, id := range ro.members {
		if other := s.replicas.Get(id); !s.reachedTarget(other, ro.target) || s.now.Sub(other.observedAt) > unreachableGrace {
			s.watch[id] = true
		}
	}
	if !s.slotActive || s.slotStart.Before(end.Add(propagationTime)) {
		return "", false
	}
	return s.readyByCount(r, ro, position, maxUnavailable)
}

// startsByCount reports whether the swap of this replica reduces the number of
// serving replicas and is decided by counting.
func (s *planPass) startsByCount(r *replica, ro *rollout) bool {
	return serves(r, r.assignedModel) && !s.now.Before(ro.chainsEnd(s.maxUnavailable(r.assignedModel, len(ro.members))))
}

// checkForLoads clears startUnknown once no replica of the model has loaded
// anything for noLoadPeriod: then no owner follows chains.
func (s *planPass) checkForLoads(ro *rollout) {
	idle := true
	for _, id := range ro.members {
		other := s.replicas.Get(id)
		s.watch[id] = true
		fresh := other.observed && s.now.Sub(other.observedAt) <= maxStateAge
		idle = idle && fresh && other.state.Loading == 0
	}
	switch {
	case !idle:
		ro.noLoadSince = time.Time{}
	case ro.noLoadSince.IsZero():
		ro.noLoadSince = s.now
	case s.now.Sub(ro.noLoadSince) >= noLoadPeriod:
		ro.startUnknown, ro.chainsBrokenAt = false, s.now
	}
}

// chainsEnd returns the time at which owners stop following chains and start
// counting. All owners must switch at the same time, because chains leave no
// capacity for replicas that are swapped by counting. The time is therefore
// computed only from what all owners know.
func (ro *rollout) chainsEnd(maxUnavailable int) time.Time {
	if !ro.chainsBrokenAt.IsZero() && !ro.startUnknown && !ro.startDisputed {
		return ro.chainsBrokenAt
	}
	_, waves, _ := predecessor(len(ro.members), maxUnavailable)
	return ro.startedAt.Add(max(minChainPhase, time.Duration(waves+1)*waveDuration))
}

// readyInChain reports whether a replica may swap because its predecessor has
// finished. It skips predecessors that failed or are unreachable; their owners
// retry them only by counting.
func (s *planPass) readyInChain(r *replica, ro *rollout, position, maxUnavailable int) (string, bool) {
	// Other owners may have skipped a replica that failed, that was unreachable
	// for a while, or whose former owner did nothing. Such a replica waits for
	// the counting phase.
	observedLate := r.baselineAt.After(ro.startedAt.Add(propagationTime))
	if s.now.Before(ro.startedAt.Add(startDelay)) || ro.startUnknown || ro.startDisputed || r.failures > 0 || r.attemptFailed() || observedLate || r.reachableAgainAt.After(ro.startedAt) {
		return "", false
	}
	for {
		prevPosition, _, ok := predecessor(position, maxUnavailable)
		if !ok {
			return "", true
		}
		prev := s.replicas.Get(ro.members[prevPosition])
		s.watch[prev.ID] = true
		switch {
		case s.reachedTarget(prev, ro.target):
			return sourceAddr(prev, ro.target), true
		case prev.reachable && !prev.attemptFailed():
			return "", false
		case !prev.reachable && (!prev.observed || s.now.Sub(prev.unreachableSince) < unreachableGrace):
			return "", false
		case prev.reachable && prevPosition < min(maxStoreLoads, maxUnavailable):
			// The version failed on a replica that loaded it from the store. It
			// may be broken and must not reach further replicas.
			return "", false
		}
		position = prevPosition
	}
}

// replicaCounts summarizes the state of the other replicas of a model.
type replicaCounts struct {
	unavailable int    // do not serve or have a pending order
	failed      int    // tried to load the target and do not run it
	incomplete  bool   // the state of some replica is not current
	source      string // address to copy the target from, if any
}

func (s *planPass) countReplicas(r *replica, ro *rollout) replicaCounts {
	var c replicaCounts
	for _, id := range ro.members {
		other := s.replicas.Get(id)
		switch {
		case id == r.ID:
		case s.reachedTarget(other, ro.target) && s.now.Sub(other.observedAt) <= 2*unreachableGrace:
			c.source = cmp.Or(sourceAddr(other, ro.target), c.source)
		case !s.isCurrent(other):
			c.incomplete = true
		case !other.reachable && s.now.Sub(other.unreachableSince) > unreachableGrace, loadTimedOut(s.now, other):
			// Waiting for this replica could block the rollout forever.
		case !serves(other, r.assignedModel) || other.pendingOrder != nil:
			c.unavailable++
		case other.attemptFailed():
			c.failed++
		}
	}
	return c
}

// isCurrent reports whether the state of a replica is recent enough for
// counting. The state of another owner's replica must have been read within
// this host's time slot, because its owner may have sent an order in its own
// slot before.
func (s *planPass) isCurrent(r *replica) bool {
	if s.owned(r.ID) {
		return r.observed && s.now.Sub(r.observedAt) <= maxStateAge
	}
	return r.observed && !r.observedAt.Before(s.slotStart)
}

// readyByCount reports whether a replica may swap because enough others serve.
func (s *planPass) readyByCount(r *replica, ro *rollout, position, maxUnavailable int) (string, bool) {
	c := s.countReplicas(r, ro)
	if c.incomplete {
		return "", false
	}
	// A version that failed on other replicas and runs nowhere is probably
	// broken; only the replicas that load from the store retry it.
	if c.source == "" && c.failed > 0 && position >= maxStoreLoads {
		return "", false
	}
	return c.source, c.unavailable < maxUnavailable
}

// attemptFailed reports whether a replica that does not run the target has
// tried to load it.
func (r *replica) attemptFailed() bool {
	return r.observed && r.state.Loading == 0 && (r.loadObserved || r.state.LastError != r.baselineError)
}

// loadTimedOut reports whether a load has taken so long that it is unlikely to
// complete.
func loadTimedOut(now time.Time, r *replica) bool {
	return r.state.Loading != 0 && now.Sub(r.loadingSince) > loadTimeout
}

// sourceAddr returns the address to copy the target version from, or an empty
// string if the replica now runs another version.
func sourceAddr(r *replica, target Target) string {
	if r.state.Version == target.Version && r.state.Loading == 0 {
		return r.Addr
	}
	return ""
}

// serves reports whether the replica serves requests for the model.
func serves(r *replica, model string) bool {
	return r.reachable && r.state.Model == model && r.state.Loading == 0 && r.state.Version > 0
}

// reachedTarget reports whether the replica runs the target or, unless it is
// pinned, a newer version.
func (p *Planner) reachedTarget(r *replica, target Target) bool {
	if !r.observed || !r.reachable || r.state.Model != r.assignedModel || r.state.Loading != 0 {
		return false
	}
	return r.state.Version == target.Version || !target.Pinned && r.state.Version > target.Version
}

// targetRole returns the role that a replica should have.
func (p *Planner) targetRole(*replica) string { return engine.RoleMixed }
