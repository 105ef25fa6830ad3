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
		p.rollouts.Put(model, rollout{target: target, since: now, members: members, swapTime: defaultSwapTime})
		return
	}
	if old.target != target {
		next := rollout{target: target, since: now, members: members, swapTime: old.swapTime}
		next.disturbed = old.target.Version != 0 && now.Sub(old.since) < supersedeTime
		p.rollouts.Put(model, next)
		for _, id := range members {
			r := p.replicas.Get(id)
			r.sawLoading, r.baseKnown, r.passedSince = false, false, time.Time{}
			r.failures, r.isolated, r.retryAt = 0, false, time.Time{}
		}
		return
	}
	if !slices.Equal(old.members, members) {
		old.members = members
		old.disturbed = true
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
func (p *Planner) ready(now time.Time, r *replica, ro *rollout, watch map[string]bool) (string, bool) {
	position := slices.Index(ro.members, r.ID)
	if position < 0 {
		return "", false
	}
	allowance := p.allowance(r.wanted, len(ro.members))
	before, wave, waits := predecessor(position, allowance)
	due := ro.since.Add(time.Duration(wave)*ro.swapTime + stallTime)
	if !ro.disturbed && r.failures == 0 && now.Before(due.Add(time.Duration(wave)*time.Second)) {
		if !waits {
			return "", true
		}
		first := p.replicas.Get(ro.members[before])
		watch[first.ID] = true
		return sourceOf(first, ro.target), p.finished(first, ro.target)
	}
	for _, id := range ro.members {
		if other := p.replicas.Get(id); !p.finished(other, ro.target) || now.Sub(other.at) > unreachableGrace {
			watch[id] = true
		}
	}
	return p.readyByCount(now, r, ro, position, allowance)
}

// readyByCount lets a replica swap when enough others serve.
func (p *Planner) readyByCount(now time.Time, r *replica, ro *rollout, position, allowance int) (string, bool) {
	missing, loading, failed, unknown := 0, 0, 0, false
	source := ""
	for _, id := range ro.members {
		other := p.replicas.Get(id)
		switch {
		case id == r.ID:
		case p.finished(other, ro.target) && now.Sub(other.at) <= 2*unreachableGrace:
			source = cmp.Or(sourceOf(other, ro.target), source)
		case !other.seen || now.Sub(other.at) > freshTime:
			unknown = true
		case !other.reachable:
			if now.Sub(other.lostSince) < unreachableGrace {
				missing++
			}
		case other.state.Loading != 0:
			missing++
			loading++
		case !serves(other, r.wanted):
			missing++
		case other.sawLoading || other.state.LastError != other.baseError:
			failed++
		}
	}
	if !serves(r, r.wanted) { // it takes nothing away
		return source, true
	}
	if unknown || now.UnixMilli()/lateSlice.Milliseconds()%lateSlices != int64(position%lateSlices) {
		return "", false
	}
	// A version that failed on others and runs nowhere is likely bad; only the
	// replicas that load from the store go on trying it.
	if source == "" && failed > 0 && position >= storeLoads {
		return "", false
	}
	return source, missing < allowance || missing > 0 && loading == 0 && allowance == 1 && missing < len(ro.members)-1
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
