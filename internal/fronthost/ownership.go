package fronthost

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/logstore"
)

// Timeouts of partition ownership.
const (
	// renewalGrace is how long a runner continues while the store does not renew
	// the membership. Items may run twice in that time, but results are fenced.
	renewalGrace = 12 * time.Second
	// acquireTimeout bounds one attempt to acquire a partition, and the removal of
	// the blobs of expired jobs.
	acquireTimeout = 3 * time.Second
	// releaseTimeout bounds the release of a partition. It is below the interval
	// between two renewals.
	releaseTimeout = 300 * time.Millisecond
	// stopTimeout bounds the last appends of the runners on a graceful shutdown and on a
	// handover.
	stopTimeout = 1200 * time.Millisecond
	// handoverPause is how long a host that did not keep up owns no partitions.
	handoverPause = 10 * time.Second
)

// Hosts with little CPU leave partitions to larger hosts while there are any,
// because a runner processes the events of all runs of its models.
const (
	// minOwnerCores is the CPU share, in cores, from which a host joins the group
	// immediately. A runner of 224 runs uses about 0.15 cores.
	minOwnerCores = 0.5
	// smallMarker in a member's name identifies a small host to other small hosts.
	smallMarker = "-small-"
	// ownerCheckInterval is the interval at which small hosts read the owners of
	// partitions.
	ownerCheckInterval = time.Second
	// ownersTimeout bounds a read of the owners. A store that is slow answers later than
	// the next check is due.
	ownersTimeout = 2500 * time.Millisecond
	// vacantChecks is the number of consecutive checks that must find a vacant
	// partition before a small host joins. A member whose membership expires only
	// briefly owns its partitions again at the next check.
	vacantChecks = 3
)

// isSmall reports whether the host has less CPU than minOwnerCores.
func (h *Host) isSmall() bool {
	return h.settings.Limits.CPUShare*h.settings.Limits.Cores < minOwnerCores
}

// standBy joins a small host to the group when a partition stays vacant, and pauses
// its membership when all partitions are owned and a large host is among the owners.
func (h *Host) standBy(ctx context.Context) {
	ticker := time.NewTicker(ownerCheckInterval)
	defer ticker.Stop()
	vacant := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		callCtx, cancel := context.WithTimeout(ctx, ownersTimeout)
		owners, err := h.store.Owners(callCtx, partitionGroup, topicWork)
		cancel()
		if err != nil {
			klog.V(1).InfoS("partition owners could not be read", "err", err)
			continue
		}
		owned, large := len(owners), false
		for _, member := range owners {
			large = large || !strings.Contains(member, smallMarker)
		}
		vacant++
		if owned == h.settings.Platform.Store.Partitions {
			vacant = 0
		}
		switch {
		case large && vacant == 0:
			callCtx, cancel := context.WithTimeout(ctx, ownerCheckInterval)
			h.group.SetPaused(callCtx, true)
			cancel()
		case vacant >= vacantChecks:
			h.group.SetPaused(ctx, false)
		}
	}
}

// signalBehind reports that a runner of this host does not keep up.
func (h *Host) signalBehind() {
	select {
	case h.behind <- struct{}{}:
	default:
	}
}

// handOverWhenBehind gives the partitions of a large host to other large hosts while it
// does not keep up. Without others it keeps them: small hosts would be slower.
func (h *Host) handOverWhenBehind(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.behind:
		}
		pause := ownerCheckInterval
		if h.otherLargeOwner(ctx) && !h.draining.Load() {
			h.handOver(ctx)
			pause = handoverPause
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		h.group.SetPaused(ctx, false)
		select {
		case <-h.behind:
		default:
		}
	}
}

// otherLargeOwner reports whether another large host owns a partition.
func (h *Host) otherLargeOwner(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, ownerCheckInterval)
	defer cancel()
	owners, err := h.store.Owners(ctx, partitionGroup, topicWork)
	if err != nil {
		klog.InfoS("partitions are not handed over: their owners could not be read", "err", err)
		return false
	}
	for _, member := range owners {
		if member != h.member && !strings.Contains(member, smallMarker) {
			return true
		}
	}
	return false
}

// handOver leaves the group until its membership is resumed, once the runners have stored
// their results and partial outputs.
func (h *Host) handOver(ctx context.Context) {
	klog.InfoS("host does not keep up, handing its partitions over")
	h.group.HandOver(ctx, func() {
		h.mu.Lock()
		runners := slices.Collect(maps.Values(h.runners))
		clear(h.runners)
		h.mu.Unlock()
		stopRunners(runners)
	})
}

// stopRunners stops runners gracefully.
func stopRunners(runners []*runner) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var done sync.WaitGroup
	for _, r := range runners {
		klog.InfoS("releasing partition", "partition", r.partition, "epoch", r.epoch)
		done.Go(func() { r.stop(ctx) })
	}
	done.Wait()
}

// watchAssignments reconciles the runners with the assigned partitions on every
// change and once a second.
func (h *Host) watchAssignments(ctx context.Context, changed <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		h.reconcileRunners(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// reconcileRunners starts a runner for each newly assigned partition and stops the
// runners of partitions that are no longer assigned. If the epoch of a partition
// changed, the new runner takes over the running items of the former one. A runner that
// ended by itself, e.g. because it was fenced, is replaced: a renewal may list its
// partition again before it is released.
func (h *Host) reconcileRunners(ctx context.Context) {
	assigned := h.group.Assigned()
	if h.group.SinceRenewal() > renewalGrace {
		assigned = nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for p, r := range h.runners {
		if _, ok := assigned[p]; !ok {
			klog.InfoS("releasing partition", "partition", p, "epoch", r.epoch)
			delete(h.runners, p)
			go r.release()
		}
	}
	for p, epoch := range assigned {
		former := h.runners[p]
		if former != nil && former.hasEnded() {
			klog.InfoS("runner ended while its partition is assigned", "partition", p, "epoch", former.epoch, "assigned", epoch)
			delete(h.runners, p)
			former = nil
		}
		if (former != nil && former.epoch == epoch) || h.followers[p] == nil || h.draining.Load() {
			continue
		}
		klog.InfoS("acquiring partition", "partition", p, "epoch", epoch, "goes_on", former != nil)
		r := newRunner(h, p, epoch)
		if last := h.lastTenures[p]; last != nil && last.epoch == epoch {
			r.tenure.former = last
		}
		h.lastTenures[p] = r.tenure
		if former != nil {
			r.runState = former.runState
			former.runState = newRunState()
			former.cancel()
		}
		h.runners[p] = r
		var runnerCtx context.Context
		runnerCtx, r.cancel = context.WithCancel(ctx)
		go r.run(runnerCtx)
	}
}

// hasEnded reports whether the runner appends nothing any more.
func (r *runner) hasEnded() bool {
	select {
	case <-r.appenderDone:
		return true
	default:
		return false
	}
}

// release stops the runner of a partition that is being reassigned. The store does
// not reassign the partition before this member's next renewal, so there is time
// to store the results and partial outputs of the runs.
func (r *runner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	r.stop(ctx)
}

// releasePartitions stops all runners gracefully and leaves the group, so that
// other hosts acquire the partitions immediately.
func (h *Host) releasePartitions() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	h.mu.Lock()
	runners := slices.Collect(maps.Values(h.runners))
	h.mu.Unlock()
	stopRunners(runners)
	h.group.Stop(ctx)
}

// acquire makes this host the only writer of the partition, and waits until the
// host has read everything that was written before.
func (r *runner) acquire(ctx context.Context) error {
	if err := r.takeOverWriter(ctx); err != nil {
		return err
	}
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
		end, err := r.writer.Open(attemptCtx)
		if err == nil {
			err = r.host.follower(r.partition).WaitForOffset(attemptCtx, end)
		}
		cancel()
		if err == nil {
			klog.InfoS("partition acquired", "partition", r.partition, "epoch", r.epoch, "end", end)
			return nil
		}
		klog.InfoS("partition not acquired", "partition", r.partition, "epoch", r.epoch, "err", err)
		if isFenced(err) {
			r.host.group.ReleaseFenced(r.partition, r.epoch)
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// takeOverWriter waits until the former runners have stopped and continues with their
// writer, because its last append may still take effect. Without one, the runner gets a
// new writer.
func (r *runner) takeOverWriter(ctx context.Context) error {
	for former := r.former; former != nil && r.writer == nil; former = former.former {
		select {
		case <-former.appenderDone:
		case <-ctx.Done():
			return ctx.Err()
		}
		klog.InfoS("partition acquired again under the same epoch", "partition", r.partition, "epoch", r.epoch)
		r.writer = former.writer
	}
	r.former = nil
	if r.writer == nil {
		r.writer = logstore.NewFencedWriter(r.host.store, workPartition(r.partition), writerName, r.epoch)
	}
	return nil
}
