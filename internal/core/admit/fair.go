package admit

// flow holds the requests of one trainer on one replica for weighted fair
// queueing. Its virtual time is the number of tokens charged to it divided by
// its share; the waiting flow with the lowest virtual time is served first.
type flow struct {
	queue       queue
	virtualTime float64
	running     int
}

func (f *flow) active() bool { return len(f.queue) > 0 || f.running > 0 }

// flow returns the flow of a trainer for a new request. A flow that was idle
// starts at the system virtual time of the replica: it is neither compensated
// for the time that it was idle nor charged again for tokens that it received
// earlier.
func (r *replica) flow(trainer string) *flow {
	f := r.flows.Get(trainer)
	if f == nil {
		f = r.flows.Put(trainer, flow{virtualTime: r.virtualTime})
	}
	if !f.active() {
		f.virtualTime = max(f.virtualTime, r.virtualTime)
	}
	return f
}

// nextFlow returns the flow with waiting requests that has the lowest virtual
// time, or nil.
func (r *replica) nextFlow() *flow {
	var best *flow
	r.flows.Each(func(_ string, f *flow) bool {
		if len(f.queue) > 0 && (best == nil || f.virtualTime < best.virtualTime) {
			best = f
		}
		return true
	})
	return best
}

// charge adds tokens to a trainer's virtual time and delta to its number of
// running requests.
func (r *replica) charge(trainer string, tokens, share float64, delta int) {
	f := r.flows.Get(trainer)
	if f == nil {
		f = r.flows.Put(trainer, flow{virtualTime: r.virtualTime})
	}
	if share <= 0 {
		share = 1
	}
	f.virtualTime += tokens / share
	f.running += delta
}

// advanceVirtualTime raises the system virtual time to the lowest virtual time
// of the active flows and removes idle flows that it has passed.
func (r *replica) advanceVirtualTime() {
	lowest, any := 0.0, false
	r.flows.Each(func(_ string, f *flow) bool {
		if f.active() && (!any || f.virtualTime < lowest) {
			lowest, any = f.virtualTime, true
		}
		return true
	})
	if any {
		r.virtualTime = max(r.virtualTime, lowest)
	}
	r.flows.Each(func(trainer string, f *flow) bool {
		if !f.active() && (!any || f.virtualTime <= r.virtualTime) {
			r.flows.Delete(trainer)
		}
		return true
	})
}
