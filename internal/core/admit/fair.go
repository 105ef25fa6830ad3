package admit

// flow is the work of one trainer at one replica. Its virtual time is the
// tokens it was given, divided by its share; the flow with the lowest virtual
// time goes first.
type flow struct {
	queue   queue
	virtual float64
	running int
}

func (f *flow) active() bool { return len(f.queue) > 0 || f.running > 0 }

// flow returns the flow of a trainer for a new request. A flow that was idle
// starts at the floor: it neither keeps a claim on the time it did not use nor
// pays again for what it took before.
func (r *replica) flow(trainer string) *flow {
	f := r.flows.Get(trainer)
	if f == nil {
		f = r.flows.Put(trainer, flow{virtual: r.floor})
	}
	if !f.active() {
		f.virtual = max(f.virtual, r.floor)
	}
	return f
}

// nextFlow returns the waiting flow with the lowest virtual time, or nil.
func (r *replica) nextFlow() *flow {
	var best *flow
	r.flows.Each(func(_ string, f *flow) bool {
		if len(f.queue) > 0 && (best == nil || f.virtual < best.virtual) {
			best = f
		}
		return true
	})
	return best
}

// charge adds tokens to a trainer's virtual time and delta to its running count.
func (r *replica) charge(trainer string, tokens, share float64, delta int) {
	f := r.flows.Get(trainer)
	if f == nil {
		f = r.flows.Put(trainer, flow{virtual: r.floor})
	}
	if share <= 0 {
		share = 1
	}
	f.virtual += tokens / share
	f.running += delta
}

// settle raises the floor to the lowest virtual time in use and forgets idle
// flows that the floor has passed.
func (r *replica) settle() {
	lowest, any := 0.0, false
	r.flows.Each(func(_ string, f *flow) bool {
		if f.active() && (!any || f.virtual < lowest) {
			lowest, any = f.virtual, true
		}
		return true
	})
	if any {
		r.floor = max(r.floor, lowest)
	}
	r.flows.Each(func(trainer string, f *flow) bool {
		if !f.active() && (!any || f.virtual <= r.floor) {
			r.flows.Delete(trainer)
		}
		return true
	})
}
