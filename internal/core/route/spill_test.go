package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sesamestand/sesamestand/internal/core/spill"
	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// twoCentres returns two replicas in each of two data centres with the given numbers of
// running requests.
func twoCentres(plateau, yoff int) []Candidate {
	running := func(n int) func(*Candidate) { return func(c *Candidate) { c.Running = n } }
	return []Candidate{
		candidate("a", "plateau", running(plateau)), candidate("b", "plateau", running(plateau)),
		candidate("c", "yoff", running(yoff)), candidate("d", "yoff", running(yoff)),
	}
}

// decide decides on a request in a data centre, with a gate of its own.
func decide(dataCentre string, candidates []Candidate) spill.Verdict {
	gate := spill.NewGate(spill.Defaults())
	request := Request{Model: "album", DataCentre: dataCentre}
	return gate.Decide(SpillWork(request, candidates, gate.Config()), time.Unix(1000, 0))
}

// Guards against completions that cross between data centres in both directions, and
// against some that leave while the local replicas have room.
func TestCompletionsLeaveInOneDirection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := twoCentres(rapid.IntRange(0, 16).Draw(t, "plateau"), rapid.IntRange(0, 16).Draw(t, "yoff"))
		must.False(t, decide("plateau", candidates).Leaves() && decide("yoff", candidates).Leaves())
	})
	must.EqOp(t, spill.InTime, decide("plateau", twoCentres(4, 0)).Reason)
	must.EqOp(t, "yoff", decide("plateau", twoCentres(8, 2)).DataCentre)
	must.False(t, decide("plateau", twoCentres(8, 7)).Leaves())
}

// Guards against a verdict that the choice does not follow, and against a refusal because
// the data centre of the verdict has no replica with the version.
func TestChoiceFollowsVerdict(t *testing.T) {
	choose := func(verdict spill.Verdict, candidates []Candidate) string {
		request := Request{Model: "album", DataCentre: "plateau", MinVersion: 4, Spill: &verdict}
		return Choose(request, candidates, NewPrefixIndex(), DefaultWeights(), time.Unix(1000, 0)).Chosen.DataCentre
	}
	must.EqOp(t, "plateau", choose(spill.Verdict{Reason: spill.NoGain}, twoCentres(12, 0)))
	must.EqOp(t, "yoff", choose(spill.Verdict{DataCentre: "yoff", Reason: spill.Late}, twoCentres(12, 11)))
	outdated := twoCentres(0, 0)
	outdated[0].Version, outdated[1].Version = 3, 3
	must.EqOp(t, "yoff", choose(spill.Verdict{Reason: spill.InTime}, outdated))
}

// BenchmarkSpillWork measures the loads of 12,000 replicas in 16 data centres.
func BenchmarkSpillWork(b *testing.B) {
	candidates := make([]Candidate, 12000)
	for i := range candidates {
		candidates[i] = candidate(fmt.Sprint(i), fmt.Sprint(i%16), nil)
	}
	for b.Loop() {
		SpillWork(Request{Model: "album", DataCentre: "0"}, candidates, spill.Defaults())
	}
}
