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

// sampleInput holds the chunks that the test passed to one sample.
type sampleInput struct {
	coordinator int
	tokens      []string
	versions    []int64
	maxTokens   int
}

// call is a call of the trainer and, once handled, the response.
type call struct {
	coordinator int
	epoch       string // epoch of the call
	cursor      int64
	groups      []string // groups to submit; nil for a pull

	status        CallStatus
	responseEpoch string // epoch of the response
	delivered     []DeliveredGroup
}

// protocolTest runs two coordinators, a trainer that follows the protocol, and
// a network that delays, duplicates, reorders and loses calls and responses.
type protocolTest struct {
	t               *rapid.T
	random          *rand.Rand
	params          Params
	coordinators    [2]*Coordinator
	knownVersion    [2]int64 // newest version known to each coordinator
	latestVersion   int64
	epochs          int
	now             time.Duration
	inputs          map[string]*sampleInput
	running         []string
	pendingScores   []ScoreGroup
	scoreRequesters []int // coordinator of each entry of pendingScores
	calls           []call
	responses       []call

	primary       int // coordinator that most calls reach
	epoch         string
	cursor        int64
	missing       []string
	accepted      map[string]bool
	firstDelivery map[string]string // content first delivered, by epoch and sequence number
}

func newProtocolTest(t *rapid.T) *protocolTest {
	seed := rapid.Uint64().Draw(t, "seed")
	p := &protocolTest{t: t, random: rand.New(rand.NewPCG(seed, 1)), inputs: map[string]*sampleInput{}, accepted: map[string]bool{}, firstDelivery: map[string]string{}, latestVersion: 5}
	p.params = Params{
		Name: "captions", GroupSize: 1 + p.random.IntN(3), MaxTokens: 4,
		MaxStaleness:   p.random.Int64N(4),
		ScoringEnabled: p.random.IntN(2) == 0, ScoreRequired: p.random.IntN(2) == 0,
	}
	p.params.Policy = PolicyFor(p.random.Float64(), 2, p.params.MaxStaleness)
	if p.random.IntN(5) == 0 {
		p.params.Policy = BaselinePolicy()
	}
	p.restartCoordinator(0)
	p.restartCoordinator(1)
	for i := range 10 {
		p.missing = append(p.missing, fmt.Sprintf("g%d", i))
	}
	return p
}

func (p *protocolTest) restartCoordinator(i int) {
	p.running = slices.DeleteFunc(p.running, func(id string) bool { return p.inputs[id].coordinator == i })
	p.coordinators[i] = New(Config{
		NewEpoch:   func() string { p.epochs++; return fmt.Sprintf("e%d", p.epochs) },
		MaxRunning: 7, MaxGroups: 6, MaxBytes: 4000, MaxAcknowledgedIDs: 5, ParkedTTL: 3 * time.Second, MaxPullBytes: 1000,
	})
	p.coordinators[i].Declare([]Params{p.params})
	p.coordinators[i].AdvanceVersion(p.now, p.params.Name, p.knownVersion[i])
}

// run executes the actions of a coordinator and checks its limits.
func (p *protocolTest) run(i int) {
	for _, action := range p.coordinators[i].Run(p.now) {
		switch a := action.(type) {
		case StartSample:
			must.MapNotContainsKey(p.t, p.inputs, a.SampleID)
			must.LessEq(p.t, max(p.knownVersion[i], 0), a.MinVersion)
			p.inputs[a.SampleID] = &sampleInput{coordinator: i, maxTokens: a.MaxTokens}
			p.running = append(p.running, a.SampleID)
		case ScoreGroup:
			p.pendingScores, p.scoreRequesters = append(p.pendingScores, a), append(p.scoreRequesters, i)
		}
	}
	running, groups, bytes := p.coordinators[i].Usage(p.params.Name)
	expected := 0
	for _, id := range p.running {
		if p.inputs[id].coordinator == i {
			expected++
		}
	}
	must.Eq(p.t, expected, running)
	must.LessEq(p.t, 7, running)
	must.LessEq(p.t, 6, groups)
	must.LessEq(p.t, 4000, bytes)
	p.checkMemory(i, bytes)
}

// checkMemory checks that the charged memory covers the prompts and tokens
// held.
func (p *protocolTest) checkMemory(i int, counted int64) {
	held := int64(0)
	p.coordinators[i].trainers.Get(p.params.Name).groups.Each(func(_ string, g *group) bool {
		held += int64(len(g.prompt))
		for _, s := range g.samples {
			held += int64(len(s.tokens)) * tokenHeaderBytes
		}
		return true
	})
	must.LessEq(p.t, counted, held)
}

func (p *protocolTest) send(groups []string) {
	coordinator := p.primary
	if p.random.IntN(16) == 0 {
		coordinator = 1 - coordinator
	}
	p.calls = append(p.calls, call{coordinator: coordinator, epoch: p.epoch, cursor: p.cursor, groups: groups})
}

// handleCall passes a call to its coordinator and queues the response.
func (p *protocolTest) handleCall(m call) {
	c, name := p.coordinators[m.coordinator], p.params.Name
	if m.groups != nil {
		var groups []GroupSpec
		for _, id := range m.groups {
			groups = append(groups, GroupSpec{ID: id, Prompt: "prompt of " + id})
		}
		m.status, m.responseEpoch = c.Submit(p.now, name, m.epoch, int64(len(m.groups[0])), groups)
	} else {
		m.status, m.responseEpoch, m.delivered = c.Pull(p.now, name, m.epoch, m.cursor, 3)
		p.checkDelivered(m)
	}
	p.run(m.coordinator)
	p.responses = append(p.responses, m)
}

// checkDelivered checks a response to a pull when the coordinator sends it.
func (p *protocolTest) checkDelivered(m call) {
	for _, g := range m.delivered {
		key := fmt.Sprintf("%s/%d", m.responseEpoch, g.Seq)
		content := fmt.Sprintf("%+v", g)
		if earlier, again := p.firstDelivery[key]; again {
			must.Eq(p.t, earlier, content)
		}
		p.firstDelivery[key] = content
		if g.RefusalReason != "" {
			must.SliceEmpty(p.t, g.Samples)
			continue
		}
		must.Len(p.t, p.params.GroupSize, g.Samples)
		must.True(p.t, !p.params.ScoringEnabled || g.Unscored != g.Samples[0].HasScore)
		must.False(p.t, g.Unscored && p.params.ScoreRequired)
		for _, s := range g.Samples {
			input := p.inputs[s.ID]
			must.Eq(p.t, input.tokens, s.Tokens)
			must.Eq(p.t, input.versions, s.Versions)
			must.NotEq(p.t, "", s.FinishReason)
			must.LessEq(p.t, p.params.MaxStaleness, p.knownVersion[m.coordinator]-slices.Min(s.Versions))
		}
	}
}

// handleResponse applies a response to the trainer.
func (p *protocolTest) handleResponse(m call) {
	if m.epoch != p.epoch {
		return
	}
	if m.status == EpochChanged || (m.status == Accepted && m.responseEpoch != p.epoch) {
		p.epoch, p.cursor = m.responseEpoch, 0
		return
	}
	for _, g := range m.delivered {
		if g.Seq != p.cursor+1 {
			continue
		}
		p.cursor++
		must.False(p.t, p.accepted[g.ID], must.Sprintf("group %s was delivered twice", g.ID))
		must.SliceContains(p.t, p.missing, g.ID)
		p.accepted[g.ID] = true
		p.missing = slices.DeleteFunc(p.missing, func(id string) bool { return id == g.ID })
	}
}

// advanceSample appends the next token of a running sample, or ends the sample.
func (p *protocolTest) advanceSample(id string, fail bool) {
	input := p.inputs[id]
	c := p.coordinators[input.coordinator]
	if !fail && len(input.tokens) < input.maxTokens {
		version := p.latestVersion - p.random.Int64N(3)/2
		token, finish := fmt.Sprintf("t%d", len(input.tokens)), ""
		if p.random.IntN(3) == 0 {
			finish = "stop"
		}
		running := c.samples[id] != nil
		c.AppendChunk(p.now, id, token, version, finish)
		if running {
			input.tokens = append(input.tokens, token)
			if !slices.Contains(input.versions, version) {
				input.versions = append(input.versions, version)
			}
		}
		if finish == "" && running {
			p.run(input.coordinator)
			return
		}
	}
	if fail && p.random.IntN(8) == 0 {
		c.RecordRefusal(p.now, id, "crashes-backend-servers")
	}
	p.running = slices.DeleteFunc(p.running, func(o string) bool { return o == id })
	c.RecordEnd(p.now, id)
	p.run(input.coordinator)
}

func (p *protocolTest) finishScoring(i int, ok bool) {
	a, coordinator := p.pendingScores[i], p.scoreRequesters[i]
	p.pendingScores, p.scoreRequesters = slices.Delete(p.pendingScores, i, i+1), slices.Delete(p.scoreRequesters, i, i+1)
	var scores []float64
	for range a.Samples {
		if ok {
			scores = append(scores, 0.5)
		}
	}
	p.coordinators[coordinator].RecordScores(p.now, a.Trainer, a.Group, a.Attempt, scores)
	p.run(coordinator)
}

func (p *protocolTest) announceVersion(i int) {
	p.knownVersion[i] = p.latestVersion
	p.coordinators[i].AdvanceVersion(p.now, p.params.Name, p.latestVersion)
	p.run(i)
}

// pick returns a random index into from, or -1 if it is empty.
func pick[T any](p *protocolTest, from []T) int {
	if len(from) == 0 {
		return -1
	}
	return p.random.IntN(len(from))
}

// takeRandom removes and returns a random call.
func (p *protocolTest) takeRandom(from *[]call) (call, bool) {
	i := pick(p, *from)
	if i < 0 {
		return call{}, false
	}
	m := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	return m, true
}

// roundTrip handles the newest call and, three times out of four, its
// response.
func (p *protocolTest) roundTrip() {
	m := p.calls[len(p.calls)-1]
	p.calls = p.calls[:len(p.calls)-1]
	p.handleCall(m)
	if p.random.IntN(4) > 0 {
		p.handleResponse(p.responses[len(p.responses)-1])
	}
}

func (p *protocolTest) submit() {
	if i := pick(p, p.missing); i >= 0 {
		p.send(slices.Clone(p.missing[i:min(i+4, len(p.missing))]))
	}
}

func (p *protocolTest) finishPending() {
	for len(p.running) > 0 {
		p.advanceSample(p.running[0], p.random.IntN(8) == 0)
	}
	for len(p.pendingScores) > 0 {
		p.finishScoring(0, p.random.IntN(4) > 0)
	}
}

// step performs one random operation. Complete round trips are frequent, so
// that runs get past the first deliveries.
func (p *protocolTest) step() {
	switch n := p.random.IntN(100); {
	case n < 12:
		if p.submit(); len(p.calls) > 0 {
			p.roundTrip()
		}
	case n < 32:
		p.send(nil)
		p.roundTrip()
	case n < 36:
		p.submit()
	case n < 39:
		p.send(nil)
	case n < 45:
		if m, ok := p.takeRandom(&p.calls); ok {
			p.handleCall(m)
		}
	case n < 48: // a duplicated call
		if i := pick(p, p.calls); i >= 0 {
			p.handleCall(p.calls[i])
		}
	case n < 52:
		if m, ok := p.takeRandom(&p.responses); ok {
			p.handleResponse(m)
		}
	case n < 64:
		if i := pick(p, p.running); i >= 0 {
			p.advanceSample(p.running[i], p.random.IntN(5) == 0)
		}
	case n < 70:
		p.finishPending()
	case n < 74:
		if i := pick(p, p.pendingScores); i >= 0 {
			p.finishScoring(i, p.random.IntN(2) == 0)
		}
	case n < 79:
		p.latestVersion++
		p.announceVersion(p.random.IntN(2))
	case n < 83:
		p.announceVersion(p.random.IntN(2))
	case n < 92:
		p.now += time.Duration(p.random.IntN(2000)) * time.Millisecond
		p.run(0)
		p.run(1)
	case n < 94:
		p.primary = p.random.IntN(2)
	case n < 95:
		p.restartCoordinator(p.random.IntN(2))
	case n < 96:
		i := p.random.IntN(2)
		p.coordinators[i].ReleaseTrainer("captions")
		p.run(i)
	case n < 97: // a coordinator shuts down and hands over its groups
		i := p.random.IntN(2)
		p.coordinators[1-i].Import(p.now, "captions", p.coordinators[i].Export("captions"))
		p.run(1 - i)
		p.restartCoordinator(i)
	case n < 98: // the trainer restarts
		p.epoch, p.cursor, p.responses = "", 0, nil
	default: // the trainer requests further groups
		for range p.random.IntN(4) {
			p.missing = append(p.missing, fmt.Sprintf("g%d", len(p.missing)+len(p.accepted)))
		}
	}
}

// Guards against groups that are delivered twice, incomplete, with content that
// changes between deliveries or over the staleness bound; against versions that
// no chunk had; against exceeded limits; and against a trainer that makes no
// progress after faults. Two coordinators serve one trainer; messages are lost,
// delayed, duplicated and reordered; coordinators and the trainer restart;
// samples fail and versions appear at any point. Each check runs several seeds.
func TestExactlyOnceDeliveryUnderInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 6 {
			p := newProtocolTest(t)
			for range 250 {
				p.step()
			}
			p.checkProgress()
		}
	})
}

// checkProgress ends all faults and checks that the trainer receives all
// missing groups. In half of the runs, a new version first makes all offered
// groups too stale to be delivered again.
func (p *protocolTest) checkProgress() {
	p.calls, p.responses = nil, nil
	if p.random.IntN(2) == 0 {
		p.latestVersion += p.params.MaxStaleness + 1
		p.announceVersion(p.primary)
	}
	for range 3000 {
		if len(p.missing) == 0 {
			return
		}
		p.now += 200 * time.Millisecond
		p.finishPending()
		p.handleCall(call{coordinator: p.primary, epoch: p.epoch, cursor: p.cursor, groups: p.missing[:min(3, len(p.missing))]})
		p.handleResponse(p.responses[len(p.responses)-1])
		p.handleCall(call{coordinator: p.primary, epoch: p.epoch, cursor: p.cursor})
		p.handleResponse(p.responses[len(p.responses)-1])
	}
	must.SliceEmpty(p.t, p.missing, must.Sprint(p.describe()))
}

// describe returns the state of the groups at the primary coordinator.
func (p *protocolTest) describe() string {
	t := p.coordinators[p.primary].trainers.Get(p.params.Name)
	text := fmt.Sprintf("%+v newest version %d charged bytes %d running %d epoch %s", t.params, t.newestVersion, t.chargedBytes, t.running, t.epoch)
	t.groups.Each(func(id string, g *group) bool {
		text += fmt.Sprintf("\n%s step %d phase %d parked %v memory reserved %v samples %d complete %d retry in %v charged bytes %d",
			id, g.step, g.phase, g.parked, g.memoryReserved, len(g.samples), g.completeCount(), g.retryAt-p.now, g.chargedBytes)
		return true
	})
	return text
}
