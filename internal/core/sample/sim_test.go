package sample

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated trainer consumes 16 groups of 8 samples per step. It trains for
// 60 s, publishes a version and submits the groups of the next simStepsAhead
// steps. A sample takes 20 s plus or minus a fifth, and one in 16 takes ten
// times as long. New versions reach the replicas one after the other, the last
// one after 26 s.
const (
	simGroups       = 16
	simGroupSize    = 8
	simSteps        = 40
	simStepsAhead   = 4
	simMaxStaleness = 4
	simSeeds        = 4
	simTrainTime    = 60 * time.Second
	simTimePerToken = 200 * time.Millisecond
	simSampleTokens = 100
	simRolloutTime  = 26 * time.Second
	simSlots        = 8 // concurrent samples per replica
	simTick         = time.Second
)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simReplica struct {
	version int64
	running map[string]bool
}

// simulation runs one trainer in virtual time.
type simulation struct {
	random      *rand.Rand
	coordinator *Coordinator
	params      Params
	events      simQueue
	seq         int
	now         time.Duration
	replicas    []*simReplica
	waiting     []StartSample // in priority order
	placement   map[string]*simReplica

	epoch         string
	cursor        int64
	submitted     int64
	step          int64
	received      map[int64]int // number of groups by step
	version       int64
	training      bool
	idleSince     time.Duration
	trainerIdle   time.Duration
	staleness     []int64
	finished      bool
	otherVersions int // versions published by other trainers of the model per step
}

func newSimulation(seed uint64, p Params, replicas int) *simulation {
	epochs := 0
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 2)), params: p,
		coordinator: New(Config{NewEpoch: func() string { epochs++; return fmt.Sprint(epochs) }}),
		placement:   map[string]*simReplica{}, received: map[int64]int{}, step: 1,
	}
	for range replicas {
		s.replicas = append(s.replicas, &simReplica{running: map[string]bool{}})
	}
	s.coordinator.Declare([]Params{p})
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, run})
}

func (s *simulation) run() {
	s.submitThrough(1 + simStepsAhead)
	s.tick()
	for !s.finished {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
		s.runActions()
	}
}

func (s *simulation) tick() { s.after(simTick, s.tick) }

func (s *simulation) runActions() {
	for _, action := range s.coordinator.Run(s.now) {
		switch a := action.(type) {
		case StartSample:
			s.waiting = append(s.waiting, a)
			slices.SortStableFunc(s.waiting, func(x, y StartSample) int { return int(x.Priority - y.Priority) })
		case CancelSample:
			s.endSample(a.SampleID)
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, s.startOnReplica)
	s.pull()
}

// startOnReplica starts a sample on the suitable replica with the most free
// slots.
func (s *simulation) startOnReplica(a StartSample) bool {
	var best *simReplica
	for i, r := range s.replicas {
		if r.version >= a.MinVersion && len(r.running) < simSlots && !slices.Contains(a.Avoid, fmt.Sprint(i)) &&
			(best == nil || len(r.running) < len(best.running)) {
			best = r
		}
	}
	if best == nil {
		return false
	}
	best.running[a.SampleID] = true
	s.placement[a.SampleID] = best
	s.coordinator.SetReplica(a.SampleID, fmt.Sprint(slices.Index(s.replicas, best)))
	tokens := int(float64(simSampleTokens) * (0.8 + 0.4*s.random.Float64()))
	if s.random.IntN(16) == 0 {
		tokens *= 10
	}
	finish := "stop"
	if tokens > a.MaxTokens {
		tokens, finish = a.MaxTokens, FinishLength
	}
	s.coordinator.AppendChunk(s.now, a.SampleID, "t", best.version, "")
	s.after(time.Duration(tokens)*simTimePerToken, func() {
		if r := s.placement[a.SampleID]; r != nil {
			s.coordinator.AppendChunk(s.now, a.SampleID, "t", r.version, finish)
			s.endSample(a.SampleID)
		}
	})
	return true
}

func (s *simulation) endSample(id string) {
	if r := s.placement[id]; r != nil {
		delete(r.running, id)
		delete(s.placement, id)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(a StartSample) bool { return a.SampleID == id })
	s.coordinator.RecordEnd(s.now, id)
}

func (s *simulation) submitThrough(step int64) {
	for ; s.submitted < step; s.submitted++ {
		var groups []GroupSpec
		for g := range simGroups {
			groups = append(groups, GroupSpec{ID: fmt.Sprintf("s%d-g%d", s.submitted+1, g)})
		}
		_, s.epoch = s.coordinator.Submit(s.now, s.params.Name, s.epoch, s.submitted+1, groups)
	}
}

// pull accepts the ready groups and starts training as soon as a step is
// complete.
func (s *simulation) pull() {
	if s.training || s.epoch == "" {
		return
	}
	status, epoch, groups := s.coordinator.Pull(s.now, s.params.Name, s.epoch, s.cursor, simGroups)
	if status != Accepted {
		panic("epoch changed without a fault, now " + epoch)
	}
	for _, g := range groups {
		s.cursor = g.Seq
		s.received[g.Step]++
		for _, sample := range g.Samples {
			s.staleness = append(s.staleness, s.version-slices.Min(sample.Versions))
		}
	}
	if s.received[s.step] < simGroups {
		return
	}
	if s.step > 1 { // samples of the first step cannot overlap with training
		s.trainerIdle += s.now - s.idleSince
	}
	s.training = true
	for i := range s.otherVersions {
		s.after(simTrainTime*time.Duration(i+1)/time.Duration(s.otherVersions+1), s.publishVersion)
	}
	s.after(simTrainTime, s.finishTraining)
}

func (s *simulation) finishTraining() {
	s.training = false
	s.step++
	s.idleSince = s.now
	s.finished = s.step > simSteps
	s.publishVersion()
	s.submitThrough(s.step + simStepsAhead)
}

// publishVersion publishes a version and rolls it out to one replica after the
// other.
func (s *simulation) publishVersion() {
	s.version++
	version := s.version
	for i, r := range s.replicas {
		s.after(simRolloutTime*time.Duration(i+1)/time.Duration(len(s.replicas)), func() { s.loadVersion(r, version) })
	}
	s.coordinator.AdvanceVersion(s.now, s.params.Name, version)
}

// loadVersion loads a version on a replica; running samples continue on it.
func (s *simulation) loadVersion(r *simReplica, version int64) {
	r.version = max(r.version, version)
	ids := make([]string, 0, len(r.running))
	for id := range r.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if s.coordinator.AppendChunk(s.now, id, "t", r.version, "") {
			s.runActions()
		}
	}
}

type simCase struct {
	name   string
	policy Policy
	tokens int // length limit; the longest sample has 1,200 tokens
}

// BenchmarkStragglerPolicies reports, for each policy on its own, the share of
// time that the trainer is idle, the staleness at delivery in versions and the
// number of samples started per sample delivered. It runs in virtual time.
func BenchmarkStragglerPolicies(b *testing.B) {
	none := Policy{StepsAhead: simStepsAhead}
	with := func(p Policy, change func(*Policy)) Policy { change(&p); return p }
	surplus := func(n int) func(*Policy) { return func(p *Policy) { p.Surplus = n } }
	hedge := func(hedgeAfter, share float64) func(*Policy) {
		return func(p *Policy) { p.HedgeAfter, p.HedgeShare = hedgeAfter, share }
	}
	surplusAndHedge := func(n int, after, share float64) Policy { return with(with(none, surplus(n)), hedge(after, share)) }
	cases := []simCase{
		{"baseline", BaselinePolicy(), 1200}, {"none", none, 1200},
		{"ahead0", Policy{StepsAhead: 0}, 1200},
		{"ahead1", Policy{StepsAhead: 1}, 1200},
		{"surplus1", with(none, surplus(1)), 1200}, {"surplus2", with(none, surplus(2)), 1200},
		{"surplus4", with(none, surplus(4)), 1200},
		{"hedge1.5x10%", with(none, hedge(1.5, 0.10)), 1200}, {"hedge1.5x25%", with(none, hedge(1.5, 0.25)), 1200},
		{"hedge2x25%", with(none, hedge(2, 0.25)), 1200}, {"hedge4x25%", with(none, hedge(4, 0.25)), 1200},
		{"surplus1+hedge1.5x25%", surplusAndHedge(1, 1.5, 0.25), 1200}, {"surplus2+hedge1.5x25%", surplusAndHedge(2, 1.5, 0.25), 1200},
		{"ahead1+surplus2", Policy{StepsAhead: 1, Surplus: 2}, 1200},
		{"ahead1+hedge1.5x25%", Policy{StepsAhead: 1, HedgeAfter: 1.5, HedgeShare: 0.25}, 1200},
		{"ahead0+surplus2+hedge1.5x25%", Policy{Surplus: 2, HedgeAfter: 1.5, HedgeShare: 0.25}, 1200},
		{"ahead1+surplus2+hedge1.5x25%", Policy{StepsAhead: 1, Surplus: 2, HedgeAfter: 1.5, HedgeShare: 0.25}, 1200},
		{"length300", none, 300}, {"length300+hedge1.5x25%", with(none, hedge(1.5, 0.25)), 300},
	}
	for _, w := range []float64{0, 0.2, 0.5, 0.8, 1} {
		cases = append(cases, simCase{fmt.Sprintf("formula%g", w), PolicyFor(w, 2, simMaxStaleness), 1200})
	}
	for _, replicas := range []int{12, 24} {
		for _, c := range cases {
			b.Run(fmt.Sprintf("replicas%d/%s", replicas, c.name), func(b *testing.B) {
				for b.Loop() {
					p := Params{Name: "captions", GroupSize: simGroupSize, MaxTokens: c.tokens, MaxStaleness: simMaxStaleness, Policy: c.policy}
					reportSimulation(b, p, replicas, 0)
				}
			})
		}
	}
}

// BenchmarkSharedModel reports the same metrics for a trainer whose model gets
// two versions from other trainers for each of its own.
func BenchmarkSharedModel(b *testing.B) {
	for _, bound := range []int64{3, 6} {
		for _, w := range []float64{-1, 0.1, 0.2, 0.8} {
			b.Run(fmt.Sprintf("bound%d/formula%g", bound, w), func(b *testing.B) {
				for b.Loop() {
					p := Params{Name: "restock", GroupSize: simGroupSize, MaxTokens: 1200, MaxStaleness: bound, Policy: PolicyFor(w, 2, bound)}
					if w < 0 {
						p.Policy = BaselinePolicy()
					}
					reportSimulation(b, p, 24, 2)
				}
			})
		}
	}
}

func reportSimulation(b *testing.B, p Params, replicas, otherVersions int) {
	var idle, total time.Duration
	var started, dropped int64
	var stale []int64
	for seed := range uint64(simSeeds) {
		s := newSimulation(seed, p, replicas)
		s.otherVersions = otherVersions
		s.run()
		idle, total = idle+s.trainerIdle, total+s.now
		stale = append(stale, s.staleness...)
		counts := s.coordinator.Counts(p.Name)
		started, dropped = started+counts.Started, dropped+counts.Stale
	}
	sum := int64(0)
	for _, v := range stale {
		sum += v
	}
	b.ReportMetric(100*float64(idle)/float64(total), "idle_%")
	b.ReportMetric(float64(sum)/float64(len(stale)), "staleness_mean")
	b.ReportMetric(float64(slices.Max(stale)), "staleness_max")
	b.ReportMetric(float64(started)/float64(len(stale)), "started/delivered")
	b.ReportMetric(100*float64(dropped)/float64(started), "stale_dropped_%")
	b.ReportMetric(0, "ns/op")
}
