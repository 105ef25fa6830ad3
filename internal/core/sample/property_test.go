package sample

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// feed is what the test fed into one sample.
type feed struct {
	home     int
	tokens   []string
	versions []int64
	max      int
}

// message is a call of the trainer or the answer to it.
type message struct {
	home   int
	epoch  string // that the call carries
	cursor int64
	groups []string // nil for a pull

	verdict CallStatus
	now     string // epoch in the answer
	given   []DeliveredGroup
}

// world is two homes, a trainer that follows the protocol and a network that
// delays, repeats, crosses and loses calls and answers.
type world struct {
	t       *rapid.T
	random  *rand.Rand
	params  Params
	homes   [2]*Coordinator
	newest  [2]int64 // as each home knows it
	latest  int64
	epochs  int
	time    time.Duration
	feeds   map[string]*feed
	running []string
	scoring []ScoreGroup
	scorers []int // home of each entry of scoring
	calls   []message
	answers []message

	preferred int // home that most calls reach
	epoch     string
	cursor    int64
	wanted    []string
	took      map[string]bool
	given     map[string]string // content by epoch and sequence number
}

func newWorld(t *rapid.T) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), feeds: map[string]*feed{}, took: map[string]bool{}, given: map[string]string{}, latest: 5}
	w.params = Params{
		Name: "captions", GroupSize: 1 + w.random.IntN(3), MaxTokens: 4,
		MaxStaleness:   w.random.Int64N(4),
		ScoringEnabled: w.random.IntN(2) == 0, ScoreRequired: w.random.IntN(2) == 0,
	}
	w.params.Policy = PolicyFor(w.random.Float64(), 2, w.params.MaxStaleness)
	if w.random.IntN(5) == 0 {
		w.params.Policy = BaselinePolicy()
	}
	w.replaceHome(0)
	w.replaceHome(1)
	for i := range 10 {
		w.wanted = append(w.wanted, fmt.Sprintf("g%d", i))
	}
	return w
}

func (w *world) replaceHome(i int) {
	w.running = slices.DeleteFunc(w.running, func(id string) bool { return w.feeds[id].home == i })
	w.homes[i] = New(Config{
		NewEpoch:   func() string { w.epochs++; return fmt.Sprintf("e%d", w.epochs) },
		MaxRunning: 7, MaxGroups: 6, MaxBytes: 4000, MaxAcknowledgedIDs: 5, ParkedTTL: 3 * time.Second, MaxPullBytes: 1000,
	})
	w.homes[i].Declare([]Params{w.params})
	w.homes[i].AdvanceVersion(w.time, w.params.Name, w.newest[i])
}

// run executes the actions of a home.
func (w *world) run(i int) {
	for _, action := range w.homes[i].Run(w.time) {
		switch a := action.(type) {
		case StartSample:
			must.MapNotContainsKey(w.t, w.feeds, a.SampleID)
			must.LessEq(w.t, max(w.newest[i], 0), a.MinVersion)
			w.feeds[a.SampleID] = &feed{home: i, max: a.MaxTokens}
			w.running = append(w.running, a.SampleID)
		case ScoreGroup:
			w.scoring, w.scorers = append(w.scoring, a), append(w.scorers, i)
		}
	}
	running, groups, bytes := w.homes[i].Usage(w.params.Name)
	mine := 0
	for _, id := range w.running {
		if w.feeds[id].home == i {
			mine++
		}
	}
	must.Eq(w.t, mine, running)
	must.LessEq(w.t, 7, running)
	must.LessEq(w.t, 6, groups)
	must.LessEq(w.t, 4000, bytes)
	w.checkMemory(i, bytes)
}

// checkMemory compares the memory counted with what is really held.
func (w *world) checkMemory(i int, counted int64) {
	held := int64(0)
	w.homes[i].trainers.Get(w.params.Name).groups.Each(func(_ string, g *group) bool {
		held += int64(len(g.prompt))
		for _, s := range g.samples {
			held += int64(len(s.tokens)) * tokenHeaderBytes
		}
		return true
	})
	must.LessEq(w.t, counted, held)
}

func (w *world) send(groups []string) {
	home := w.preferred
	if w.random.IntN(16) == 0 {
		home = 1 - home
	}
	w.calls = append(w.calls, message{home: home, epoch: w.epoch, cursor: w.cursor, groups: groups})
}

// arrive lets a home answer a call.
func (w *world) arrive(m message) {
	h, name := w.homes[m.home], w.params.Name
	if m.groups != nil {
		var groups []GroupSpec
		for _, id := range m.groups {
			groups = append(groups, GroupSpec{ID: id, Prompt: "prompt of " + id})
		}
		m.verdict, m.now = h.Submit(w.time, name, m.epoch, int64(len(m.groups[0])), groups)
	} else {
		m.verdict, m.now, m.given = h.Pull(w.time, name, m.epoch, m.cursor, 3)
		w.checkGiven(m)
	}
	w.run(m.home)
	w.answers = append(w.answers, m)
}

// checkGiven checks an answer at the moment when the home gives it.
func (w *world) checkGiven(m message) {
	for _, g := range m.given {
		key := fmt.Sprintf("%s/%d", m.now, g.Seq)
		content := fmt.Sprintf("%+v", g)
		if before, again := w.given[key]; again {
			must.Eq(w.t, before, content)
		}
		w.given[key] = content
		if g.RefusalReason != "" {
			must.SliceEmpty(w.t, g.Samples)
			continue
		}
		must.Len(w.t, w.params.GroupSize, g.Samples)
		must.True(w.t, !w.params.ScoringEnabled || g.Unscored != g.Samples[0].HasScore)
		must.False(w.t, g.Unscored && w.params.ScoreRequired)
		for _, s := range g.Samples {
			fed := w.feeds[s.ID]
			must.Eq(w.t, fed.tokens, s.Tokens)
			must.Eq(w.t, fed.versions, s.Versions)
			must.NotEq(w.t, "", s.FinishReason)
			must.LessEq(w.t, w.params.MaxStaleness, w.newest[m.home]-slices.Min(s.Versions))
		}
	}
}

// receive lets the trainer take an answer.
func (w *world) receive(m message) {
	if m.epoch != w.epoch {
		return
	}
	if m.verdict == EpochChanged || (m.verdict == Accepted && m.now != w.epoch) {
		w.epoch, w.cursor = m.now, 0
		return
	}
	for _, g := range m.given {
		if g.Seq != w.cursor+1 {
			continue
		}
		w.cursor++
		must.False(w.t, w.took[g.ID], must.Sprintf("group %s came twice", g.ID))
		must.SliceContains(w.t, w.wanted, g.ID)
		w.took[g.ID] = true
		w.wanted = slices.DeleteFunc(w.wanted, func(id string) bool { return id == g.ID })
	}
}

// feed gives the next token of a running sample, or ends it.
func (w *world) feed(id string, fail bool) {
	f := w.feeds[id]
	h := w.homes[f.home]
	if !fail && len(f.tokens) < f.max {
		version := w.latest - w.random.Int64N(3)/2
		token, finish := fmt.Sprintf("t%d", len(f.tokens)), ""
		if w.random.IntN(3) == 0 {
			finish = "stop"
		}
		live := h.samples[id] != nil
		h.AppendChunk(w.time, id, token, version, finish)
		if live {
			f.tokens = append(f.tokens, token)
			if !slices.Contains(f.versions, version) {
				f.versions = append(f.versions, version)
			}
		}
		if finish == "" && live {
			w.run(f.home)
			return
		}
	}
	if fail && w.random.IntN(8) == 0 {
		h.RecordRefusal(w.time, id, "crashes-backend-servers")
	}
	w.running = slices.DeleteFunc(w.running, func(o string) bool { return o == id })
	h.RecordEnd(w.time, id)
	w.run(f.home)
}

func (w *world) scored(i int, ok bool) {
	a, home := w.scoring[i], w.scorers[i]
	w.scoring, w.scorers = slices.Delete(w.scoring, i, i+1), slices.Delete(w.scorers, i, i+1)
	var scores []float64
	for range a.Samples {
		if ok {
			scores = append(scores, 0.5)
		}
	}
	w.homes[home].RecordScores(w.time, a.Trainer, a.Group, a.Attempt, scores)
	w.run(home)
}

func (w *world) announce(i int) {
	w.newest[i] = w.latest
	w.homes[i].AdvanceVersion(w.time, w.params.Name, w.latest)
	w.run(i)
}

// pick returns a random index, or -1 when there is nothing to pick.
func pick[T any](w *world, from []T) int {
	if len(from) == 0 {
		return -1
	}
	return w.random.IntN(len(from))
}

// take removes a random message.
func (w *world) take(from *[]message) (message, bool) {
	i := pick(w, *from)
	if i < 0 {
		return message{}, false
	}
	m := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	return m, true
}

// exchange carries the newest call to its home and mostly the answer back.
func (w *world) exchange() {
	m := w.calls[len(w.calls)-1]
	w.calls = w.calls[:len(w.calls)-1]
	w.arrive(m)
	if w.random.IntN(4) > 0 {
		w.receive(w.answers[len(w.answers)-1])
	}
}

func (w *world) submit() {
	if i := pick(w, w.wanted); i >= 0 {
		w.send(slices.Clone(w.wanted[i:min(i+4, len(w.wanted))]))
	}
}

func (w *world) finishAll() {
	for len(w.running) > 0 {
		w.feed(w.running[0], w.random.IntN(8) == 0)
	}
	for len(w.scoring) > 0 {
		w.scored(0, w.random.IntN(4) > 0)
	}
}

// step does one thing at random. Whole exchanges are frequent, so that runs
// get past the first deliveries.
func (w *world) step() {
	switch n := w.random.IntN(100); {
	case n < 12:
		if w.submit(); len(w.calls) > 0 {
			w.exchange()
		}
	case n < 32:
		w.send(nil)
		w.exchange()
	case n < 36:
		w.submit()
	case n < 39:
		w.send(nil)
	case n < 45:
		if m, ok := w.take(&w.calls); ok {
			w.arrive(m)
		}
	case n < 48: // a repeated call
		if i := pick(w, w.calls); i >= 0 {
			w.arrive(w.calls[i])
		}
	case n < 52:
		if m, ok := w.take(&w.answers); ok {
			w.receive(m)
		}
	case n < 64:
		if i := pick(w, w.running); i >= 0 {
			w.feed(w.running[i], w.random.IntN(5) == 0)
		}
	case n < 70:
		w.finishAll()
	case n < 74:
		if i := pick(w, w.scoring); i >= 0 {
			w.scored(i, w.random.IntN(2) == 0)
		}
	case n < 79:
		w.latest++
		w.announce(w.random.IntN(2))
	case n < 83:
		w.announce(w.random.IntN(2))
	case n < 92:
		w.time += time.Duration(w.random.IntN(2000)) * time.Millisecond
		w.run(0)
		w.run(1)
	case n < 94:
		w.preferred = w.random.IntN(2)
	case n < 95:
		w.replaceHome(w.random.IntN(2))
	case n < 96:
		i := w.random.IntN(2)
		w.homes[i].ReleaseTrainer("captions")
		w.run(i)
	case n < 97: // a home leaves and hands its groups over
		i := w.random.IntN(2)
		w.homes[1-i].Import(w.time, "captions", w.homes[i].Export("captions"))
		w.run(1 - i)
		w.replaceHome(i)
	case n < 98: // the trainer restarts
		w.epoch, w.cursor, w.answers = "", 0, nil
	default: // the trainer wants more
		for range w.random.IntN(4) {
			w.wanted = append(w.wanted, fmt.Sprintf("g%d", len(w.wanted)+len(w.took)))
		}
	}
}

// Guards against a group that comes twice, comes incomplete, changes between
// two answers or is over the bound when given, against versions that the
// chunks did not name, and against exceeded bounds, under lost, late and
// crossed messages, two homes, lost homes, restarts of the trainer, failures
// and new versions at any point; and against a trainer that is never served
// afterwards. Each check runs several seeds.
func TestDeliveryHoldsUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 6 {
			w := newWorld(t)
			for range 250 {
				w.step()
			}
			w.settle()
		}
	})
}

// settle lets everything work, in half of the runs with all that was offered
// too stale to be given again, and checks that the trainer gets all groups.
func (w *world) settle() {
	w.calls, w.answers = nil, nil
	if w.random.IntN(2) == 0 {
		w.latest += w.params.MaxStaleness + 1
		w.announce(w.preferred)
	}
	for range 3000 {
		if len(w.wanted) == 0 {
			return
		}
		w.time += 200 * time.Millisecond
		w.finishAll()
		w.arrive(message{home: w.preferred, epoch: w.epoch, cursor: w.cursor, groups: w.wanted[:min(3, len(w.wanted))]})
		w.receive(w.answers[len(w.answers)-1])
		w.arrive(message{home: w.preferred, epoch: w.epoch, cursor: w.cursor})
		w.receive(w.answers[len(w.answers)-1])
	}
	must.SliceEmpty(w.t, w.wanted, must.Sprint(w.describe()))
}

// describe lists the groups of the trainer's home.
func (w *world) describe() string {
	t := w.homes[w.preferred].trainers.Get(w.params.Name)
	text := fmt.Sprintf("%+v newest %d bytes %d running %d epoch %s", t.params, t.newestVersion, t.chargedBytes, t.running, t.epoch)
	t.groups.Each(func(id string, g *group) bool {
		text += fmt.Sprintf("\n%s step %d phase %d parked %v active %v samples %d complete %d retry in %v cost %d",
			id, g.step, g.phase, g.parked, g.memoryReserved, len(g.samples), g.completeCount(), g.retryAt-w.time, g.chargedBytes)
		return true
	})
	return text
}
