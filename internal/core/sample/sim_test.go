package sample

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulated trainer takes 16 groups of 8 samples a step, trains for 60 s,
// announces a version and has the groups of the next simAhead steps submitted.
// A sample takes 20 s, give or take a fifth, and 1 in 16 takes ten times as
// long. New versions reach the replicas one after the other within 26 s.
const (
	simGroups    = 16
	simGroupSize = 8
	simSteps     = 40
	simAhead     = 4
	simBound     = 4
	simSeeds     = 4
	simTrain     = 60 * time.Second
	simToken     = 200 * time.Millisecond
	simTokens    = 100
	simRollout   = 26 * time.Second
	simSlots     = 8 // samples at once per replica
	simTick      = time.Second
)

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
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
	random   *rand.Rand
	home     *Coordinator
	params   Params
	events   simQueue
	seq      int
	now      time.Duration
	replicas []*simReplica
	waiting  []StartSample // in order of priority
	on       map[string]*simReplica

	epoch     string
	cursor    int64
	submitted int64
	step      int64
	have      map[int64]int // groups by step
	version   int64
	training  bool
	idleSince time.Duration
	idle      time.Duration
	stale     []int64
	finished  bool
	others    int // versions of other trainers of the model per step
}

func newSimulation(seed uint64, p Params, replicas int) *simulation {
	epochs := 0
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 2)), params: p,
		home: New(Config{NewEpoch: func() string { epochs++; return fmt.Sprint(epochs) }}),
		on:   map[string]*simReplica{}, have: map[int64]int{}, step: 1,
	}
	for range replicas {
		s.replicas = append(s.replicas, &simReplica{running: map[string]bool{}})
	}
	s.home.Declare([]Params{p})
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

func (s *simulation) run() {
	s.submitUpTo(1 + simAhead)
	s.tick()
	for !s.finished {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
		s.act()
	}
}

func (s *simulation) tick() { s.after(simTick, s.tick) }

func (s *simulation) act() {
	for _, action := range s.home.Run(s.now) {
		switch a := action.(type) {
		case StartSample:
			s.waiting = append(s.waiting, a)
			slices.SortStableFunc(s.waiting, func(x, y StartSample) int { return int(x.Priority - y.Priority) })
		case CancelSample:
			s.end(a.SampleID)
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, s.place)
	s.pull()
}

// place starts a sample on the suitable replica with most room.
func (s *simulation) place(a StartSample) bool {
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
	s.on[a.SampleID] = best
	s.home.SetReplica(a.SampleID, fmt.Sprint(slices.Index(s.replicas, best)))
	tokens := int(float64(simTokens) * (0.8 + 0.4*s.random.Float64()))
	if s.random.IntN(16) == 0 {
		tokens *= 10
	}
	finish := "stop"
	if tokens > a.MaxTokens {
		tokens, finish = a.MaxTokens, FinishLength
	}
	s.home.AppendChunk(s.now, a.SampleID, "t", best.version, "")
	s.after(time.Duration(tokens)*simToken, func() {
		if r := s.on[a.SampleID]; r != nil {
			s.home.AppendChunk(s.now, a.SampleID, "t", r.version, finish)
			s.end(a.SampleID)
		}
	})
	return true
}

func (s *simulation) end(id string) {
	if r := s.on[id]; r != nil {
		delete(r.running, id)
		delete(s.on, id)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(a StartSample) bool { return a.SampleID == id })
	s.home.RecordEnd(s.now, id)
}

func (s *simulation) submitUpTo(step int64) {
	for ; s.submitted < step; s.submitted++ {
		var groups []GroupSpec
		for g := range simGroups {
			groups = append(groups, GroupSpec{ID: fmt.Sprintf("s%d-g%d", s.submitted+1, g)})
		}
		_, s.epoch = s.home.Submit(s.now, s.params.Name, s.epoch, s.submitted+1, groups)
	}
}

// pull takes what is ready and trains as soon as a step is whole.
func (s *simulation) pull() {
	if s.training || s.epoch == "" {
		return
	}
	verdict, epoch, groups := s.home.Pull(s.now, s.params.Name, s.epoch, s.cursor, simGroups)
	if verdict != Accepted {
		panic("a trainer without faults lost its epoch " + epoch)
	}
	for _, g := range groups {
		s.cursor = g.Seq
		s.have[g.Step]++
		for _, sample := range g.Samples {
			s.stale = append(s.stale, s.version-slices.Min(sample.Versions))
		}
	}
	if s.have[s.step] < simGroups {
		return
	}
	if s.step > 1 { // the first step has no earlier training to hide behind
		s.idle += s.now - s.idleSince
	}
	s.training = true
	for i := range s.others {
		s.after(simTrain*time.Duration(i+1)/time.Duration(s.others+1), s.release)
	}
	s.after(simTrain, s.trained)
}

func (s *simulation) trained() {
	s.training = false
	s.step++
	s.idleSince = s.now
	s.finished = s.step > simSteps
	s.release()
	s.submitUpTo(s.step + simAhead)
}

// release announces a version and swaps the replicas one after the other.
func (s *simulation) release() {
	s.version++
	version := s.version
	for i, r := range s.replicas {
		s.after(simRollout*time.Duration(i+1)/time.Duration(len(s.replicas)), func() { s.swap(r, version) })
	}
	s.home.AdvanceVersion(s.now, s.params.Name, version)
}

// swap loads a version; samples that run go on under it.
func (s *simulation) swap(r *simReplica, version int64) {
	r.version = max(r.version, version)
	ids := make([]string, 0, len(r.running))
	for id := range r.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if s.home.AppendChunk(s.now, id, "t", r.version, "") {
			s.act()
		}
	}
}

type simCase struct {
	name   string
	policy Policy
	tokens int // length limit; the longest sample has 1,200
}

// BenchmarkStragglerPolicies reports, for each policy alone, the share of time
// that the trainer idles, the staleness at delivery in versions and the
// samples started per sample delivered. It runs in virtual time.
func BenchmarkStragglerPolicies(b *testing.B) {
	none := Policy{StepsAhead: simAhead}
	with := func(p Policy, change func(*Policy)) Policy { change(&p); return p }
	surplus := func(n int) func(*Policy) { return func(p *Policy) { p.Surplus = n } }
	hedge := func(after, share float64) func(*Policy) {
		return func(p *Policy) { p.HedgeAfter, p.HedgeShare = after, share }
	}
	both := func(n int, after, share float64) Policy { return with(with(none, surplus(n)), hedge(after, share)) }
	cases := []simCase{
		{"baseline", BaselinePolicy(), 1200}, {"none", none, 1200},
		{"ahead0", Policy{StepsAhead: 0}, 1200},
		{"ahead1", Policy{StepsAhead: 1}, 1200},
		{"surplus1", with(none, surplus(1)), 1200}, {"surplus2", with(none, surplus(2)), 1200},
		{"surplus4", with(none, surplus(4)), 1200},
		{"hedge1.5x10%", with(none, hedge(1.5, 0.10)), 1200}, {"hedge1.5x25%", with(none, hedge(1.5, 0.25)), 1200},
		{"hedge2x25%", with(none, hedge(2, 0.25)), 1200}, {"hedge4x25%", with(none, hedge(4, 0.25)), 1200},
		{"surplus1+hedge1.5x25%", both(1, 1.5, 0.25), 1200}, {"surplus2+hedge1.5x25%", both(2, 1.5, 0.25), 1200},
		{"ahead1+surplus2", Policy{StepsAhead: 1, Surplus: 2}, 1200},
		{"ahead1+hedge1.5x25%", Policy{StepsAhead: 1, HedgeAfter: 1.5, HedgeShare: 0.25}, 1200},
		{"ahead0+surplus2+hedge1.5x25%", Policy{Surplus: 2, HedgeAfter: 1.5, HedgeShare: 0.25}, 1200},
		{"ahead1+surplus2+hedge1.5x25%", Policy{StepsAhead: 1, Surplus: 2, HedgeAfter: 1.5, HedgeShare: 0.25}, 1200},
		{"length300", none, 300}, {"length300+hedge1.5x25%", with(none, hedge(1.5, 0.25)), 300},
	}
	for _, w := range []float64{0, 0.2, 0.5, 0.8, 1} {
		cases = append(cases, simCase{fmt.Sprintf("formula%g", w), PolicyFor(w, 2, simBound), 1200})
	}
	for _, replicas := range []int{12, 24} {
		for _, c := range cases {
			b.Run(fmt.Sprintf("replicas%d/%s", replicas, c.name), func(b *testing.B) {
				for b.Loop() {
					p := Params{Name: "captions", GroupSize: simGroupSize, MaxTokens: c.tokens, MaxStaleness: simBound, Policy: c.policy}
					reportSimulation(b, p, replicas, 0)
				}
			})
		}
	}
}

// BenchmarkSharedModel reports the same for a trainer whose model gets two
// versions of other trainers for each of its own.
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

func reportSimulation(b *testing.B, p Params, replicas, others int) {
	var idle, total time.Duration
	var started, dropped int64
	var stale []int64
	for seed := range uint64(simSeeds) {
		s := newSimulation(seed, p, replicas)
		s.others = others
		s.run()
		idle, total = idle+s.idle, total+s.now
		stale = append(stale, s.stale...)
		counts := s.home.Counts(p.Name)
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
