package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"

	"github.com/sesamestand/sesamestand/internal/declare"
)

// world follows what a System told to start and to refuse.
type world struct {
	t       *rapid.T
	s       *Controller
	now     time.Time
	waiting map[uint64]Request
	running map[uint64]Request
}

func (w *world) take(actions []Action) {
	for _, a := range actions {
		request, ok := w.waiting[a.ID]
		if !ok {
			w.t.Fatalf("action %v for a request that does not wait", a)
		}
		delete(w.waiting, a.ID)
		if a.Kind == Start {
			w.running[a.ID] = request
		}
	}
}

func (w *world) check() {
	for _, id := range w.s.Replicas() {
		load, _ := w.s.Load(id)
		r := w.s.replicas.Get(id)
		running, waiting, solo := 0, 0, false
		for _, request := range w.running {
			if request.Replica == id {
				running++
				solo = solo || request.Isolated
			}
		}
		soloWaits := false
		for _, request := range w.waiting {
			if request.Replica == id {
				waiting++
				soloWaits = soloWaits || request.Isolated
			}
		}
		switch {
		case running != load.Running || waiting != load.Queued:
			w.t.Fatalf("%s: load says %+v; %d run and %d wait", id, load, running, waiting)
		case solo && running > 1:
			w.t.Fatalf("%s: a solo request does not run alone", id)
		case waiting > 0 && (r.leaving || !r.healthy):
			w.t.Fatalf("%s: work waits at a replica that takes none", id)
		case waiting > 0 && running < load.Limit && !solo && !(soloWaits && running > 0):
			w.t.Fatalf("%s: %d run below the limit of %d while %d wait", id, running, load.Limit, waiting)
		}
	}
}

// Guards against a limit that is exceeded, a free slot left idle while work
// waits, a request that is started twice or lost, and company for a solo request.
func TestSystemUnderRandomInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Defaults()
		config.InitialLimit, config.MaxQueue = rapid.IntRange(1, 4).Draw(t, "limit"), 12
		w := &world{t: t, s: New(config), now: time.Unix(1000, 0),
			waiting: make(map[uint64]Request), running: make(map[uint64]Request)}
		replicas := []string{"a", "b"}
		for _, id := range replicas {
			w.take(w.s.SetReplica(id, true, false, w.now))
		}
		next := uint64(0)
		for range 120 {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			replica := rapid.SampledFrom(replicas).Draw(t, "replica")
			before, _ := w.s.Load(replica)
			switch rapid.SampledFrom([]string{"add", "add", "add", "tokens", "done", "done", "cancel", "tick", "state"}).Draw(t, "event") {
			case "add":
				next++
				request := Request{ID: next, Replica: replica,
					Class:   declare.Class(rapid.IntRange(0, 2).Draw(t, "class")),
					Trainer: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "trainer"),
					Share:   rapid.Float64Range(0, 3).Draw(t, "share"), Priority: int64(rapid.IntRange(0, 2).Draw(t, "priority")),
					Isolated: rapid.IntRange(0, 9).Draw(t, "solo") == 0}
				if rapid.Bool().Draw(t, "has deadline") {
					request.Deadline = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond)
				}
				w.waiting[next] = request
				w.take(w.s.Enqueue(request, w.now))
			case "tokens":
				for id := range w.running {
					w.s.ObserveToken(id, time.Duration(rapid.IntRange(1, 50).Draw(t, "gap"))*time.Millisecond)
				}
			case "done":
				if id, ok := pickID(t, w.running); ok {
					delete(w.running, id)
					w.take(w.s.Done(id, true, w.now))
				}
			case "cancel":
				if id, ok := pickID(t, w.waiting); ok {
					delete(w.waiting, id)
					actions, found := w.s.Cancel(id, w.now)
					if !found {
						t.Fatalf("waiting request %d is not known", id)
					}
					w.take(actions)
				}
			case "tick":
				w.take(w.s.Tick(w.now))
			case "state":
				w.take(w.s.SetReplica(replica, rapid.IntRange(0, 3).Draw(t, "healthy") > 0, rapid.IntRange(0, 9).Draw(t, "leaving") == 0, w.now))
			}
			after, _ := w.s.Load(replica)
			if after.Running > before.Running && after.Running > after.Limit {
				t.Fatalf("%d run over the limit of %d", after.Running, after.Limit)
			}
			w.check()
		}
	})
}

func pickID(t *rapid.T, requests map[uint64]Request) (uint64, bool) {
	var ids []uint64
	for id := uint64(1); len(ids) < len(requests); id++ {
		if _, ok := requests[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// source keeps a queue filled with requests of one kind and a fixed length.
type source struct {
	request Request
	tokens  int
	depth   int
}

// saturate runs the sources on one replica until they got n tokens together,
// and returns the tokens of each. Each slot produces a token a step.
func saturate(config Config, sources []source, n int) []int {
	s := New(config)
	now := time.Unix(1000, 0)
	s.SetReplica("a", true, false, now)
	type job struct {
		id           uint64
		source, left int
	}
	var running []job
	owner := make(map[uint64]int)
	waiting := make([]int, len(sources))
	got := make([]int, len(sources))
	next := uint64(0)
	take := func(actions []Action) {
		for _, a := range actions {
			i := owner[a.ID]
			delete(owner, a.ID)
			waiting[i]--
			running = append(running, job{a.ID, i, sources[i].tokens})
		}
	}
	for total := 0; total < n; {
		for i, src := range sources {
			for waiting[i] < src.depth {
				next++
				request := src.request
				request.ID, request.Replica = next, "a"
				owner[next] = i
				waiting[i]++
				take(s.Enqueue(request, now))
			}
		}
		now = now.Add(10 * time.Millisecond)
		current := running
		running = nil
		for _, j := range current {
			s.ObserveToken(j.id, 10*time.Millisecond)
			got[j.source]++
			total++
			if j.left--; j.left == 0 {
				take(s.Done(j.id, true, now))
			} else {
				running = append(running, j)
			}
		}
	}
	return got
}

// Guards against training being starved by a flood of interactive work, and
// against it taking much more than its minimum share from it.
func TestTrainingKeepsItsMinimumShare(t *testing.T) {
	for _, limit := range []int{1, 4, 16} {
		config := Defaults()
		config.InitialLimit, config.MaxLimit = limit, limit
		got := saturate(config, []source{
			{Request{Class: declare.ClassInteractive}, 20, 30},
			{Request{Class: declare.ClassTraining, Trainer: "x"}, 60, 30},
		}, 40000)
		share := float64(got[1]) / float64(got[0]+got[1])
		must.Between(t, 0.09, share, 0.13, must.Sprintf("limit %d: tokens %v", limit, got))
	}
}

// Guards against trainers sharing by requests in place of tokens, and against
// a declared share that has no effect.
func TestTrainersShareByTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Defaults()
		config.InitialLimit = rapid.IntRange(1, 12).Draw(t, "limit")
		config.MaxLimit = config.InitialLimit
		var sources []source
		total, longest := 0.0, 0
		for i := range rapid.IntRange(2, 4).Draw(t, "trainers") {
			share := float64(rapid.IntRange(1, 4).Draw(t, "share"))
			total += share
			tokens := rapid.IntRange(5, 80).Draw(t, "tokens")
			longest = max(longest, tokens)
			sources = append(sources, source{
				Request{Class: declare.ClassTraining, Trainer: fmt.Sprint("t", i), Share: share}, tokens, 20,
			})
		}
		got := saturate(config, sources, 8000)
		sum := 0
		for _, tokens := range got {
			sum += tokens
		}
		// What is in flight may be uneven: at most the longest answer, or the
		// first estimate of its length, in each slot and for the next start.
		slack := float64(max(longest, defaultTokens) * (config.InitialLimit + 1))
		for i, tokens := range got {
			want := float64(sum) * sources[i].request.Share / total
			if lag := want - float64(tokens); lag > slack || lag < -slack {
				t.Fatalf("trainer %d got %d tokens, want %.0f within %.0f: %v", i, tokens, want, slack, got)
			}
		}
	})
}

// Guards against a stalled trainer keeping its share, and against it coming
// back with a claim on the time it did not use.
func TestIdleTrainerFreesItsShareAndStartsAtTheFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	config := Defaults()
	config.InitialLimit = 1
	s := New(config)
	s.SetReplica("a", true, false, now)
	id := uint64(0)
	order := ""
	var take func(actions []Action)
	names := make(map[uint64]string)
	add := func(trainer string) {
		id++
		names[id] = trainer
		take(s.Enqueue(Request{ID: id, Replica: "a", Class: declare.ClassTraining, Trainer: trainer, MaxTokens: 10}, now))
	}
	current := uint64(0)
	take = func(actions []Action) {
		for _, a := range actions {
			current = a.ID
			order += names[a.ID]
		}
	}
	finish := func() {
		for range 10 {
			s.ObserveToken(current, time.Millisecond)
		}
		take(s.Done(current, true, now))
	}
	for range 12 {
		add("x")
	}
	for range 4 {
		finish() // x alone gets everything
	}
	for range 3 {
		add("y")
	}
	for range 6 {
		finish()
	}
	must.Eq(t, "xxxxxxyxyxy", order)
}

// Guards against accepting work that cannot end before its deadline, and
// against refusing work that could start at once.
func TestEarlyRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	config := Defaults()
	config.InitialLimit, config.MaxLimit = 2, 2
	s := New(config)
	s.SetReplica("a", true, false, now)
	request := func(id uint64, deadline time.Duration) Request {
		return Request{ID: id, Replica: "a", MaxTokens: 50, Deadline: now.Add(deadline)}
	}
	must.Eq(t, Start, s.Enqueue(request(1, time.Second), now)[0].Kind)
	must.Eq(t, Start, s.Enqueue(request(2, time.Second), now)[0].Kind)
	for range 40 {
		s.ObserveToken(1, 10*time.Millisecond)
	}
	now = now.Add(time.Second)
	s.Tick(now)
	// 10 ms a token: a slot is free within 250 ms and the answer takes 500 ms.
	must.Eq(t, []Action{{Kind: Refuse, ID: 3, Cause: CauseDeadline}}, s.Enqueue(request(3, 300*time.Millisecond), now))
	must.SliceEmpty(t, s.Enqueue(request(4, 2*time.Second), now))
	now = now.Add(1800 * time.Millisecond)
	actions := s.Done(1, true, now)
	must.Len(t, 1, actions)
	must.Eq(t, CauseDeadline, actions[0].Cause)
}

// Guards against a limit that does not grow while tokens come fast, or does
// not fall when they slow down.
func TestLimitFollowsTimePerToken(t *testing.T) {
	now := time.Unix(1000, 0)
	config := Defaults()
	l := newLimiter(config, now)
	window := func(gap time.Duration) int {
		for range minSamples {
			l.observe(gap)
		}
		l.full = true
		now = now.Add(config.AdjustInterval)
		l.adjust(now)
		return l.value()
	}
	for range 60 {
		window(10 * time.Millisecond)
	}
	must.Eq(t, config.MaxLimit, l.value())
	must.Less(t, config.MaxLimit, window(40*time.Millisecond))
	for range 60 {
		window(40 * time.Millisecond)
	}
	must.Eq(t, 1, l.value())
	// The window after a decrease still shows what was started before it.
	must.Eq(t, 1, window(10*time.Millisecond))
	must.Eq(t, 2, window(10*time.Millisecond))
}

// Guards against interactive requests of a crashed batch waiting behind all
// training requests of it.
func TestSoloRequestsGoByClass(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Defaults())
	s.SetReplica("a", true, false, now)
	var order []uint64
	take := func(actions []Action) {
		for _, a := range actions {
			order = append(order, a.ID)
		}
	}
	for id, class := range []declare.Class{declare.ClassTraining, declare.ClassTraining, declare.ClassBatch, declare.ClassInteractive} {
		take(s.Enqueue(Request{ID: uint64(id), Replica: "a", Class: class, Isolated: true}, now))
	}
	for i := range 4 {
		take(s.Done(order[i], true, now))
	}
	must.Eq(t, []uint64{0, 3, 2, 1}, order)
}

// Guards against a pause of the whole engine lowering the limit, as each swap
// of weights would.
func TestPauseDoesNotLowerTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLimiter(Defaults(), now)
	for range 10 {
		before := l.value()
		for range 16 {
			for range 20 {
				l.observe(10 * time.Millisecond)
			}
			l.observe(time.Second)
		}
		now = now.Add(time.Second)
		l.adjust(now)
		must.GreaterEq(t, before, l.value())
	}
}

// Guards against a change of owner throwing the limit back to its start.
func TestNewOwnerGoesOnFromTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Defaults())
	s.SetReplica("a", true, false, now)
	s.AdoptLimit("a", 20, now)
	for id := range uint64(30) {
		s.Enqueue(Request{ID: id + 1, Replica: "a"}, now)
	}
	s.AdoptLimit("a", 200, now)
	load, _ := s.Load("a")
	must.Eq(t, Load{Running: 20, Queued: 10, Limit: 20, Wait: load.Wait}, load)
}

// Guards against a limit far above the engine's batch: the tokens still come
// fast then, but requests wait in the engine, where classes have no effect.
func TestLimitFallsWhenTheEngineQueues(t *testing.T) {
	now := time.Unix(1000, 0)
	config := Defaults()
	l := newLimiter(config, now)
	const batch = 16
	for range 200 {
		for range minSamples {
			l.observe(10 * time.Millisecond)
		}
		for range minFirsts {
			l.observeFirst(20*time.Millisecond + 30*time.Duration(max(0, l.value()-batch))*time.Millisecond)
		}
		l.full = true
		now = now.Add(config.AdjustInterval)
		l.adjust(now)
	}
	must.Between(t, batch/2, l.value(), 2*batch)
}
