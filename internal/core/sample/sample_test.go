package sample

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// testHarness runs a coordinator with one trainer. The tests generate the chunks
// of its samples.
type testHarness struct {
	t           *testing.T
	coordinator *Coordinator
	epoch       string
	starts      []StartSample
	cancelled   map[string]bool
	now         time.Duration
}

func newTestHarness(t *testing.T, p Params, c Config) *testHarness {
	epochs := 0
	c.NewEpoch = func() string { epochs++; return fmt.Sprintf("e%d", epochs) }
	r := &testHarness{t: t, coordinator: New(c), cancelled: map[string]bool{}}
	p.Name = "captions"
	r.coordinator.Declare([]Params{p})
	return r
}

func (r *testHarness) run() {
	for _, action := range r.coordinator.Run(r.now) {
		switch a := action.(type) {
		case StartSample:
			r.starts = append(r.starts, a)
		case CancelSample:
			r.cancelled[a.SampleID] = true
			r.coordinator.RecordEnd(r.now, a.SampleID)
		}
	}
}

func (r *testHarness) submit(step int64, ids ...string) CallStatus {
	var groups []GroupSpec
	for _, id := range ids {
		groups = append(groups, GroupSpec{ID: id, Prompt: "p"})
	}
	var status CallStatus
	status, r.epoch = r.coordinator.Submit(r.now, "captions", r.epoch, step, groups)
	r.run()
	return status
}

// finish completes the i-th started sample with n tokens of a version.
func (r *testHarness) finish(i, n int, version int64) {
	id := r.starts[i].SampleID
	for range n - 1 {
		r.coordinator.AppendChunk(r.now, id, "x", version, "")
	}
	r.coordinator.AppendChunk(r.now, id, "x", version, "stop")
	r.coordinator.RecordEnd(r.now, id)
	r.run()
}

func (r *testHarness) startedGroups() []string {
	var ids []string
	for _, s := range r.starts {
		ids = append(ids, s.Group)
	}
	return ids
}

// Guards against surplus samples that are delivered or not cancelled when their
// group is complete.
func TestSurplusSamplesAreCancelled(t *testing.T) {
	r := newTestHarness(t, Params{GroupSize: 2, Policy: Policy{Surplus: 1}}, Config{})
	r.submit(1, "g1")
	must.Len(t, 3, r.starts)
	r.finish(2, 1, 0)
	r.finish(0, 1, 0)
	must.Eq(t, map[string]bool{r.starts[1].SampleID: true}, r.cancelled)
	_, _, delivered := r.coordinator.Pull(r.now, "captions", r.epoch, 0, 1)
	must.Len(t, 1, delivered)
	must.Eq(t, r.starts[0].SampleID, delivered[0].Samples[0].ID)
	must.Eq(t, r.starts[2].SampleID, delivered[0].Samples[1].ID)
}

// Guards against hedges on the straggler's own replica, hedges of samples that
// are not late, and more hedges than the share allows.
func TestStragglerIsHedgedOnAnotherReplicaWithinShare(t *testing.T) {
	r := newTestHarness(t, Params{GroupSize: 2, Policy: Policy{HedgeAfter: 2, HedgeShare: 0.01}}, Config{})
	r.submit(1, "g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8")
	r.now = time.Second
	for i := 0; i < 16; i += 2 {
		r.finish(i, 1, 0)
		r.coordinator.SetReplica(r.starts[i+1].SampleID, fmt.Sprintf("r%d", i))
	}
	r.now = 2 * time.Second
	r.run()
	must.Len(t, 16, r.starts)
	r.now += time.Millisecond
	r.run()
	must.Len(t, 16+minHedgeAllowance+1, r.starts)
	must.Eq(t, []string{"r0"}, r.starts[16].Avoid)
	must.True(t, r.starts[16].Hedge)
	r.finish(16, 1, 0)
	must.True(t, r.cancelled[r.starts[1].SampleID])
}

// Guards against samples that start in another order than the trainer needs
// them, and against more running samples than allowed.
func TestLowerStepsAndNearlyCompleteGroupsStartFirst(t *testing.T) {
	r := newTestHarness(t, Params{GroupSize: 2, Policy: Policy{StepsAhead: 1}}, Config{MaxRunning: 2})
	r.submit(2, "b1")
	r.submit(1, "a1", "a2")
	r.submit(4, "c1")
	must.Eq(t, []string{"b1", "b1"}, r.startedGroups())
	r.coordinator.RecordEnd(r.now, r.starts[0].SampleID) // ends without a finish reason: failed
	r.run()
	must.Eq(t, []string{"b1", "b1", "a1"}, r.startedGroups())
	r.finish(1, 1, 0)
	r.finish(2, 1, 0)
	must.Eq(t, []string{"b1", "b1", "a1", "a1", "a2"}, r.startedGroups())
}

// Guards against samples that start on replicas whose version will be too old
// when they complete.
func TestExpectedStalenessRaisesMinVersion(t *testing.T) {
	r := newTestHarness(t, Params{GroupSize: 1, MaxStaleness: 3}, Config{})
	for v := int64(10); v <= 14; v++ {
		r.now += 10 * time.Second
		r.coordinator.AdvanceVersion(r.now, "captions", v)
	}
	r.submit(1, "g1")
	must.Eq(t, 11, r.starts[0].MinVersion)
	r.now += 20 * time.Second
	r.finish(0, 1, 14)
	r.submit(1, "g2")
	must.Eq(t, 13, r.starts[1].MinVersion)
}

// Guards against delivering groups in a sequence that a trainer restored from
// an older state cannot follow.
func TestCursorOutsideSequenceStartsNewEpoch(t *testing.T) {
	r := newTestHarness(t, Params{GroupSize: 1}, Config{})
	r.submit(1, "g1")
	r.finish(0, 1, 0)
	r.coordinator.Pull(r.now, "captions", r.epoch, 0, 1)
	status, epoch, _ := r.coordinator.Pull(r.now, "captions", r.epoch, 1, 1)
	must.Eq(t, Accepted, status)
	for _, cursor := range []int64{0, 2} {
		status, epoch, _ = r.coordinator.Pull(r.now, "captions", epoch, cursor, 1)
		must.Eq(t, EpochChanged, status)
	}
}

// Guards against repeating a sequence from its start for a trainer that returns
// to an older epoch, which the protocol does not allow.
func TestPreviousEpochAfterOfferStartsNewEpoch(t *testing.T) {
	r := newTestHarness(t, Params{GroupSize: 1}, Config{})
	_, first := r.coordinator.Submit(r.now, "captions", "foreign", 1, nil)
	_, again := r.coordinator.Submit(r.now, "captions", "foreign", 1, nil)
	must.Eq(t, first, again)
	r.epoch = first
	r.submit(1, "g1")
	r.finish(0, 1, 0)
	r.coordinator.Pull(r.now, "captions", r.epoch, 0, 1)
	status, epoch, _ := r.coordinator.Pull(r.now, "captions", "foreign", 0, 1)
	must.Eq(t, EpochChanged, status)
	must.NotEq(t, first, epoch)
}

// Guards against a step that waits forever for a group whose prompt crashes
// every backend server, and against a group that is delivered without samples
// after a single refusal.
func TestRepeatedlyRefusedGroupIsDeliveredWithoutSamples(t *testing.T) {
	r := newTestHarness(t, Params{GroupSize: 2}, Config{})
	r.submit(1, "g1")
	next := 0
	for range maxRefusalRounds {
		_, _, delivered := r.coordinator.Pull(r.now, "captions", r.epoch, 0, 1)
		must.SliceEmpty(t, delivered)
		r.now += time.Second
		r.run()
		must.Len(t, next+2, r.starts)
		for range 2 {
			r.coordinator.RecordRefusal(r.now, r.starts[next].SampleID, "crashes-backend-servers")
			r.coordinator.RecordEnd(r.now, r.starts[next].SampleID)
			next++
		}
	}
	_, _, delivered := r.coordinator.Pull(r.now, "captions", r.epoch, 0, 1)
	must.Eq(t, []DeliveredGroup{{Seq: 1, ID: "g1", Step: 1, RefusalReason: "crashes-backend-servers"}}, delivered)
}

// Guards against a coordinator at capacity that accepts part of a submission or
// does not accept groups again after others were acknowledged, and against a
// group ID that is silently reused for another step.
func TestSubmissionOverCapacityIsRejectedAsAWhole(t *testing.T) {
	r := newTestHarness(t, Params{GroupSize: 1}, Config{MaxGroups: 2})
	must.Eq(t, Accepted, r.submit(1, "g1"))
	must.Eq(t, AtCapacity, r.submit(1, "g2", "g3"))
	must.Eq(t, TooLarge, r.submit(1, "g2", "g3", "g4"))
	must.Eq(t, Conflict, r.submit(2, "g1"))
	r.finish(0, 1, 0)
	r.coordinator.Pull(r.now, "captions", r.epoch, 0, 1)
	r.coordinator.Pull(r.now, "captions", r.epoch, 1, 1)
	must.Eq(t, Accepted, r.submit(1, "g2", "g3"))
}

// Guards against a deadlock in which samples of incomplete groups use up the
// memory, so that no group can be completed.
func TestRetainedSamplesAreEvictedForFirstGroup(t *testing.T) {
	r := newTestHarness(t, Params{GroupSize: 4, MaxTokens: 1 << 20, Policy: Policy{StepsAhead: -1}}, Config{MaxBytes: 40000})
	next := 0
	for step, tokens := range []int{1, 250, 250} {
		r.submit(int64(step), fmt.Sprintf("g%d", step))
		for i := range 4 {
			r.finish(next, tokens, int64(min(i, 1)))
			next++
		}
	}
	must.Eq(t, 12, len(r.starts))
	r.coordinator.AdvanceVersion(r.now, "captions", 1) // makes the first sample of each group too stale
	r.run()
	must.Eq(t, []string{"g0"}, r.startedGroups()[12:])
	must.Eq(t, 3, r.coordinator.Counts("captions").Evicted)
	r.finish(12, 1, 1)
	_, _, delivered := r.coordinator.Pull(r.now, "captions", r.epoch, 0, 1)
	must.Eq(t, "g0", delivered[0].ID)
}
