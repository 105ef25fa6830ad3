package fronthost

import (
	"context"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Times of duties.
const (
	// unconfirmedLimit is how long a runner goes on while the store does not
	// renew the membership. Items may run twice, and results are fenced.
	unconfirmedLimit = 12 * time.Second
	// takeOverTimeout bounds one try to take a partition over.
	takeOverTimeout = 3 * time.Second
	// handOverTimeout is under the time between two renewals.
	handOverTimeout = 300 * time.Millisecond
	// stopTimeout bounds the last append of a runner that stops in order.
	stopTimeout = 1200 * time.Millisecond
)

// Hosts with little processor time leave duties to others as long as there are
// others: a runner reads the events of all runs of its models.
const (
	// fullCapacity is the processor time, in cores, from which a host takes
	// part in duties at once. A runner of 224 runs uses some 0.15 cores.
	fullCapacity = 0.5
	// smallMark in a member's name tells other small hosts what it is.
	smallMark = "-small-"
	// ownerCheck is the time between two looks at who holds duties.
	ownerCheck = time.Second
	// vacantChecks is how often in a row a duty must be vacant before a small
	// host takes part: members lapse and come back within one.
	vacantChecks = 3
)

func (h *Host) small() bool {
	return h.settings.Limits.CPUShare*h.settings.Limits.Cores < fullCapacity
}

// standBy lets a small host take part in duties only while the others hold none.
func (h *Host) standBy(ctx context.Context) {
	ticker := time.NewTicker(ownerCheck)
	defer ticker.Stop()
	vacant := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		callCtx, cancel := context.WithTimeout(ctx, ownerCheck)
		owners, err := h.store.Owners(callCtx, groupDuties, topicWork)
		cancel()
		if err != nil {
			klog.V(1).InfoS("owners of duties are not known", "err", err)
			continue
		}
		held, large := len(owners), false
		for _, member := range owners {
			large = large || !strings.Contains(member, smallMark)
		}
		vacant++
		if held == h.settings.Platform.Store.Partitions {
			vacant = 0
		}
		switch {
		case large && vacant == 0:
			h.group.SetPaused(ctx, true)
		case vacant >= vacantChecks:
			h.group.SetPaused(ctx, false)
		}
	}
}

// keepDuties starts and stops duties as the group deals partitions.
func (h *Host) keepDuties(ctx context.Context, changed <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		h.matchDuties(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (h *Host) matchDuties(ctx context.Context) {
	held := h.group.Assigned()
	if time.Since(h.group.LastRenewal()) > unconfirmedLimit {
		held = nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for p, r := range h.runners {
		if _, ok := held[p]; !ok {
			klog.InfoS("duty ends", "partition", p, "epoch", r.epoch)
			delete(h.runners, p)
			go r.handOver()
		}
	}
	for p, epoch := range held {
		former := h.runners[p]
		if (former != nil && former.epoch == epoch) || h.followers[p] == nil || h.draining.Load() {
			continue
		}
		klog.InfoS("duty begins", "partition", p, "epoch", epoch, "goes_on", former != nil)
		r := newRunner(h, p, epoch)
		if former != nil {
			r.runs = former.runs
			former.runs = newRuns()
			former.cancel()
		}
		h.runners[p] = r
		var duty context.Context
		duty, r.cancel = context.WithCancel(ctx)
		go r.run(duty)
	}
}

// handOver ends a duty that another host will take over. Until this member's
// next renewal the store does not deal the partition again, so there is time to
// store what the runs have made.
func (r *runner) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	r.stop(ctx)
}

// stopDuties ends all duties in order and leaves the group, so that other hosts
// take over at once.
func (h *Host) stopDuties() {
	h.mu.Lock()
	runners := make([]*runner, 0, len(h.runners))
	for _, r := range h.runners {
		runners = append(runners, r)
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var done sync.WaitGroup
	for _, r := range runners {
		done.Go(func() { r.stop(ctx) })
	}
	done.Wait()
	h.group.Stop(ctx)
}

// takeOver makes this host the only writer of a partition, and waits until it
// has read everything that was written before.
func (r *runner) takeOver(ctx context.Context) error {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, takeOverTimeout)
		writer, end, err := logstore.OpenFencedWriter(tryCtx, r.host.store, workPartition(r.partition), writerName, r.epoch)
		if err == nil {
			err = r.host.follower(r.partition).WaitForOffset(tryCtx, end)
		}
		cancel()
		if err == nil {
			r.writer = writer
			klog.InfoS("duty taken over", "partition", r.partition, "epoch", r.epoch, "end", end)
			return nil
		}
		klog.InfoS("duty is not taken over yet", "partition", r.partition, "epoch", r.epoch, "err", err)
		if isFenced(err) {
			r.host.group.ReleaseFenced(r.partition)
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
