package sample

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// rig is one home with one trainer whose samples the test runs by hand.
type rig struct {
	t      *testing.T
	home   *Coordinator
	epoch  string
	starts []StartSample
	cancel map[string]bool
	now    time.Duration
}

func newRig(t *testing.T, p Params, c Config) *rig {
	epochs := 0
	c.NewEpoch = func() string { epochs++; return fmt.Sprintf("e%d", epochs) }
	r := &rig{t: t, home: New(c), cancel: map[string]bool{}}
	p.Name = "captions"
	r.home.Declare([]Params{p})
	return r
}

func (r *rig) run() {
	for _, action := range r.home.Run(r.now) {
		switch a := action.(type) {
		case StartSample:
			r.starts = append(r.starts, a)
		case CancelSample:
			r.cancel[a.SampleID] = true
			r.home.RecordEnd(r.now, a.SampleID)
		}
	}
}

func (r *rig) submit(step int64, ids ...string) CallStatus {
	var groups []GroupSpec
	for _, id := range ids {
		groups = append(groups, GroupSpec{ID: id, Prompt: "p"})
	}
	var verdict CallStatus
	verdict, r.epoch = r.home.Submit(r.now, "captions", r.epoch, step, groups)
	r.run()
	return verdict
}

// finish ends the i-th started sample with n tokens of a version.
func (r *rig) finish(i, n int, version int64) {
	id := r.starts[i].SampleID
	for range n - 1 {
		r.home.AppendChunk(r.now, id, "x", version, "")
	}
	r.home.AppendChunk(r.now, id, "x", version, "stop")
	r.home.RecordEnd(r.now, id)
	r.run()
}

func (r *rig) groupsStarted() []string {
	var ids []string
	for _, s := range r.starts {
		ids = append(ids, s.Group)
	}
	return ids
}

// Guards against surplus samples that are kept or go on running.
func TestFirstCompleteSamplesCountAndTheRestIsCancelled(t *testing.T) {
	r := newRig(t, Params{GroupSize: 2, Policy: Policy{Surplus: 1}}, Config{})
	r.submit(1, "g1")
	must.Len(t, 3, r.starts)
	r.finish(2, 1, 0)
	r.finish(0, 1, 0)
	must.Eq(t, map[string]bool{r.starts[1].SampleID: true}, r.cancel)
	_, _, given := r.home.Pull(r.now, "captions", r.epoch, 0, 1)
	must.Len(t, 1, given)
	must.Eq(t, r.starts[0].SampleID, given[0].Samples[0].ID)
	must.Eq(t, r.starts[2].SampleID, given[0].Samples[1].ID)
}

// Guards against hedges on the same replica, hedges of samples in time, and
// more hedges than the share allows.
func TestLateSampleIsHedgedElsewhereWithinTheShare(t *testing.T) {
	r := newRig(t, Params{GroupSize: 2, Policy: Policy{HedgeAfter: 2, HedgeShare: 0.01}}, Config{})
	r.submit(1, "g1", "g2", "g3", "g4", "g5", "g6", "g7", "g8")
	r.now = time.Second
	for i := 0; i < 16; i += 2 {
		r.finish(i, 1, 0)
		r.home.SetReplica(r.starts[i+1].SampleID, fmt.Sprintf("r%d", i))
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
	must.True(t, r.cancel[r.starts[1].SampleID])
}

// Guards against work in another order than the trainer needs it, and against
// more samples at once than allowed.
func TestLowerStepsAndNearlyCompleteGroupsGoFirst(t *testing.T) {
	r := newRig(t, Params{GroupSize: 2, Policy: Policy{StepsAhead: 1}}, Config{MaxRunning: 2})
	r.submit(2, "b1")
	r.submit(1, "a1", "a2")
	r.submit(4, "c1")
	must.Eq(t, []string{"b1", "b1"}, r.groupsStarted())
	r.home.RecordEnd(r.now, r.starts[0].SampleID) // failed
	r.run()
	must.Eq(t, []string{"b1", "b1", "a1"}, r.groupsStarted())
	r.finish(1, 1, 0)
	r.finish(2, 1, 0)
	must.Eq(t, []string{"b1", "b1", "a1", "a1", "a2"}, r.groupsStarted())
}

// Guards against starts on replicas whose version will be too old when the
// sample is finished.
func TestExpectedStalenessRaisesTheMinimumVersion(t *testing.T) {
	r := newRig(t, Params{GroupSize: 1, MaxStaleness: 3}, Config{})
	for v := int64(10); v <= 14; v++ {
		r.now += 10 * time.Second
		r.home.AdvanceVersion(r.now, "captions", v)
	}
	r.submit(1, "g1")
	must.Eq(t, 11, r.starts[0].MinVersion)
	r.now += 20 * time.Second
	r.finish(0, 1, 14)
	r.submit(1, "g2")
	must.Eq(t, 13, r.starts[1].MinVersion)
}

// Guards against a trainer that went back to an older state being given groups
// in a sequence that it can't follow.
func TestCursorOutsideTheSequenceStartsAnEpoch(t *testing.T) {
	r := newRig(t, Params{GroupSize: 1}, Config{})
	r.submit(1, "g1")
	r.finish(0, 1, 0)
	r.home.Pull(r.now, "captions", r.epoch, 0, 1)
	verdict, epoch, _ := r.home.Pull(r.now, "captions", r.epoch, 1, 1)
	must.Eq(t, Accepted, verdict)
	for _, cursor := range []int64{0, 2} {
		verdict, epoch, _ = r.home.Pull(r.now, "captions", epoch, cursor, 1)
		must.Eq(t, EpochChanged, verdict)
	}
}

// Guards against a trainer that fell back to an older epoch, which the protocol
// does not foresee, being given the same sequence again from its start.
func TestOlderEpochAfterAnOfferStartsAnEpoch(t *testing.T) {
	r := newRig(t, Params{GroupSize: 1}, Config{})
	_, first := r.home.Submit(r.now, "captions", "foreign", 1, nil)
	_, again := r.home.Submit(r.now, "captions", "foreign", 1, nil)
	must.Eq(t, first, again)
	r.epoch = first
	r.submit(1, "g1")
	r.finish(0, 1, 0)
	r.home.Pull(r.now, "captions", r.epoch, 0, 1)
	verdict, epoch, _ := r.home.Pull(r.now, "captions", "foreign", 0, 1)
	must.Eq(t, EpochChanged, verdict)
	must.NotEq(t, first, epoch)
}

// Guards against a step that waits for good for a group whose prompt crashes
// every backend server, and against a group given up after a single refusal.
func TestGroupRefusedAgainAndAgainIsGivenWithoutSamples(t *testing.T) {
	r := newRig(t, Params{GroupSize: 2}, Config{})
	r.submit(1, "g1")
	next := 0
	for range maxRefusalRounds {
		_, _, given := r.home.Pull(r.now, "captions", r.epoch, 0, 1)
		must.SliceEmpty(t, given)
		r.now += time.Second
		r.run()
		must.Len(t, next+2, r.starts)
		for range 2 {
			r.home.RecordRefusal(r.now, r.starts[next].SampleID, "crashes-backend-servers")
			r.home.RecordEnd(r.now, r.starts[next].SampleID)
			next++
		}
	}
	_, _, given := r.home.Pull(r.now, "captions", r.epoch, 0, 1)
	must.Eq(t, []DeliveredGroup{{Seq: 1, ID: "g1", Step: 1, RefusalReason: "crashes-backend-servers"}}, given)
}

// Guards against a full home that neither refuses groups nor takes them again
// later, and against a group ID that silently changes its prompt.
func TestFullHomeRefusesWholeCalls(t *testing.T) {
	r := newRig(t, Params{GroupSize: 1}, Config{MaxGroups: 2})
	must.Eq(t, Accepted, r.submit(1, "g1"))
	must.Eq(t, AtCapacity, r.submit(1, "g2", "g3"))
	must.Eq(t, TooLarge, r.submit(1, "g2", "g3", "g4"))
	must.Eq(t, Conflict, r.submit(2, "g1"))
	r.finish(0, 1, 0)
	r.home.Pull(r.now, "captions", r.epoch, 0, 1)
	r.home.Pull(r.now, "captions", r.epoch, 1, 1)
	must.Eq(t, Accepted, r.submit(1, "g2", "g3"))
}

// Guards against groups that hold all memory with samples of incomplete groups,
// so that none can ever be completed.
func TestKeptSamplesMakeRoomForTheFirstGroup(t *testing.T) {
	r := newRig(t, Params{GroupSize: 4, MaxTokens: 1 << 20, Policy: Policy{StepsAhead: -1}}, Config{MaxBytes: 40000})
	next := 0
	for step, tokens := range []int{1, 250, 250} {
		r.submit(int64(step), fmt.Sprintf("g%d", step))
		for i := range 4 {
			r.finish(next, tokens, int64(min(i, 1)))
			next++
		}
	}
	must.Eq(t, 12, len(r.starts))
	r.home.AdvanceVersion(r.now, "captions", 1) // the first sample of each group is too old
	r.run()
	must.Eq(t, []string{"g0"}, r.groupsStarted()[12:])
	must.Eq(t, 3, r.home.Counts("captions").Evicted)
	r.finish(12, 1, 1)
	_, _, given := r.home.Pull(r.now, "captions", r.epoch, 0, 1)
	must.Eq(t, "g0", given[0].ID)
}
