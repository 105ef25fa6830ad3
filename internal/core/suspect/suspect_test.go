package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// Guards against refusing a harmless request that shared a batch with a
// crash-inducing one, and against the crash-inducing one crashing engines
// without limit. In each round the requests run according to their verdicts, in
// random batches.
func TestCrashInducingRequestIsRefusedAndOthersAreCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Defaults()
		config.CrashesToRefuse = rapid.IntRange(1, 5).Draw(t, "crashes")
		config.IsolatedCrashesToRefuse = rapid.IntRange(1, 3).Draw(t, "isolated crashes")
		table, now := New(config), time.Unix(1000, 0)
		n := rapid.IntRange(1, 8).Draw(t, "requests")
		crashInducing := rapid.IntRange(0, n-1).Draw(t, "crash-inducing")
		answered := make(map[int]bool)
		crashes := 0
		for round := 0; round < 4*n+8; round++ {
			now = now.Add(time.Second)
			var batch []int
			isolated := -1
			for i := range n {
				if answered[i] {
					continue
				}
				switch table.Verdict(fmt.Sprint(i)) {
				case Run:
					if rapid.Bool().Draw(t, "joins") {
						batch = append(batch, i)
					}
				case RunIsolated:
					isolated = i
				case Refuse:
					if i != crashInducing && config.CrashesToRefuse > 1 {
						t.Fatalf("harmless request %d was refused", i)
					}
				}
			}
			isolatedRun := isolated >= 0
			if isolatedRun {
				batch = []int{isolated}
			}
			crashed := false
			for _, i := range batch {
				crashed = crashed || i == crashInducing
			}
			if crashed {
				crashes++
			}
			for _, i := range batch {
				if crashed {
					table.RecordCrash(fmt.Sprint(i), fmt.Sprintf("replica/%d", round), isolatedRun, now)
				} else {
					table.Clear(fmt.Sprint(i), now)
					answered[i] = true
				}
			}
		}
		if limit := max(1, min(config.CrashesToRefuse, config.IsolatedCrashesToRefuse+1)); crashes > limit {
			t.Fatalf("%d crashes, want at most %d", crashes, limit)
		}
	})
}

// Guards against counting one crash more than once for a fingerprint when
// several streams report it.
func TestOneCrashCountsOncePerFingerprint(t *testing.T) {
	table, now := New(Defaults()), time.Unix(1000, 0)
	must.True(t, table.RecordCrash("f", "replica/1", false, now))
	must.False(t, table.RecordCrash("f", "replica/1", false, now))
	must.Eq(t, RunIsolated, table.Verdict("f"))
	must.Eq(t, 1, table.Withdraw("replica/1", now))
	must.Eq(t, Run, table.Verdict("f"))
}

// Guards against an outdated report undoing a clearing, and against changes
// that are not shared with the other hosts.
func TestSuspicionsAreSharedAndClearedOnAllHosts(t *testing.T) {
	a, b, now := New(Defaults()), New(Defaults()), time.Unix(1000, 0)
	share := func(from, to *Table, suspicions []Suspicion) {
		for _, suspicion := range suspicions {
			to.Merge(suspicion, false, now)
		}
	}
	a.RecordCrash("f", "replica/1", false, now)
	old := a.Changes()
	must.SliceEmpty(t, a.Changes())
	share(a, b, old)
	must.Eq(t, RunIsolated, b.Verdict("f"))
	b.RecordCrash("f", "other/1", true, now)
	share(b, a, b.Changes())
	must.Eq(t, []Suspicion{{Fingerprint: "f", Crashes: 2, IsolatedCrashes: 1}}, a.All())
	b.Clear("f", now)
	share(b, a, b.Changes())
	share(b, a, old)
	must.Eq(t, Run, a.Verdict("f"))
}

// Guards against changes reported by another data centre that are not relayed
// within this one, and against changes circulating between data centres.
func TestSuspicionsOfOtherDataCentresAreRelayedOnce(t *testing.T) {
	here, there, now := New(Defaults()), New(Defaults()), time.Unix(1000, 0)
	there.RecordCrash("f", "replica/1", true, now)
	for _, cleared := range []bool{false, true} {
		if cleared {
			there.Clear("f", now)
		}
		suspicions := there.Changes()
		must.Len(t, 1, suspicions)
		here.Merge(suspicions[0], true, now)
		must.Eq(t, suspicions, here.Changes())
		there.Merge(suspicions[0], true, now)
		must.SliceEmpty(t, there.Changes())
	}
}

// Guards against unbounded memory and against suspicions that never expire.
func TestTableIsBoundedAndSuspicionsExpire(t *testing.T) {
	config := Defaults()
	config.MaxSuspicions = 10
	table, now := New(config), time.Unix(1000, 0)
	for i := range 30 {
		now = now.Add(time.Second)
		table.RecordCrash(fmt.Sprint(i), "replica/1", false, now)
	}
	must.Len(t, 10, table.All())
	must.Eq(t, Run, table.Verdict("0"))
	must.Eq(t, RunIsolated, table.Verdict("29"))
	table.Tick(now.Add(config.Lifetime + time.Second))
	must.SliceEmpty(t, table.All())
}

// Guards against different contents with the same fingerprint.
func TestFingerprintSeparatesFields(t *testing.T) {
	must.NotEq(t, Fingerprint("ab", "", "c", 1, 0), Fingerprint("a", "", "bc", 1, 0))
	must.NotEq(t, Fingerprint("a", "", "c", 1, 0), Fingerprint("a", "", "c", 1, 0.5))
	must.Eq(t, Fingerprint("a", "x", "c", 1, 0), Fingerprint("a", "x", "c", 1, 0))
}
