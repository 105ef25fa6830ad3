package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"
)

// Guards against an innocent request that shared a batch with a poisonous one
// being refused, and against the poisonous one crashing engines without end.
// Whatever the batches, requests run as the table says until all are settled.
func TestPoisonousIsRefusedAndInnocentIsCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Defaults()
		config.CrashesToRefuse = rapid.IntRange(1, 5).Draw(t, "crashes")
		config.IsolatedCrashesToRefuse = rapid.IntRange(1, 3).Draw(t, "solo crashes")
		table, now := New(config), time.Unix(1000, 0)
		n := rapid.IntRange(1, 8).Draw(t, "requests")
		poisonous := rapid.IntRange(0, n-1).Draw(t, "poisonous")
		answered := make(map[int]bool)
		crashes := 0
		for round := 0; round < 4*n+8; round++ {
			now = now.Add(time.Second)
			var batch []int
			alone := -1
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
					alone = i
				case Refuse:
					if i != poisonous && config.CrashesToRefuse > 1 {
						t.Fatalf("innocent request %d is refused", i)
					}
				}
			}
			solo := alone >= 0
			if solo {
				batch = []int{alone}
			}
			crashed := false
			for _, i := range batch {
				crashed = crashed || i == poisonous
			}
			if crashed {
				crashes++
			}
			for _, i := range batch {
				if crashed {
					table.RecordCrash(fmt.Sprint(i), fmt.Sprintf("replica/%d", round), solo, now)
				} else {
					table.Clear(fmt.Sprint(i), now)
					answered[i] = true
				}
			}
		}
		if limit := max(1, min(config.CrashesToRefuse, config.IsolatedCrashesToRefuse+1)); crashes > limit {
			t.Fatalf("%d crashes, at most %d", crashes, limit)
		}
	})
}

// Guards against one crash that several streams report counting more than once
// for one fingerprint.
func TestOneCrashCountsOncePerFingerprint(t *testing.T) {
	table, now := New(Defaults()), time.Unix(1000, 0)
	must.True(t, table.RecordCrash("f", "replica/1", false, now))
	must.False(t, table.RecordCrash("f", "replica/1", false, now))
	must.Eq(t, RunIsolated, table.Verdict("f"))
	must.Eq(t, 1, table.Withdraw("replica/1", now))
	must.Eq(t, Run, table.Verdict("f"))
}

// Guards against a host that sends or resends an old mark undoing a clearing,
// and against marks that do not reach the other hosts.
func TestMarksAreSharedAndClearedEverywhere(t *testing.T) {
	a, b, now := New(Defaults()), New(Defaults()), time.Unix(1000, 0)
	share := func(from, to *Table, marks []Suspicion) {
		for _, mark := range marks {
			to.Merge(mark, false, now)
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

// Guards against marks that do not get past the one host that another data
// centre tells, and against marks that circle between data centres.
func TestMarksOfOtherDataCentresArePassedOnOnce(t *testing.T) {
	here, there, now := New(Defaults()), New(Defaults()), time.Unix(1000, 0)
	there.RecordCrash("f", "replica/1", true, now)
	for _, cleared := range []bool{false, true} {
		if cleared {
			there.Clear("f", now)
		}
		marks := there.Changes()
		must.Len(t, 1, marks)
		here.Merge(marks[0], true, now)
		must.Eq(t, marks, here.Changes())
		there.Merge(marks[0], true, now)
		must.SliceEmpty(t, there.Changes())
	}
}

// Guards against a table that grows without end, and marks that never go.
func TestTableIsBoundedAndMarksExpire(t *testing.T) {
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

// Guards against different contents sharing a fingerprint.
func TestFingerprintSeparatesFields(t *testing.T) {
	must.NotEq(t, Fingerprint("ab", "", "c", 1, 0), Fingerprint("a", "", "bc", 1, 0))
	must.NotEq(t, Fingerprint("a", "", "c", 1, 0), Fingerprint("a", "", "c", 1, 0.5))
	must.Eq(t, Fingerprint("a", "x", "c", 1, 0), Fingerprint("a", "x", "c", 1, 0))
}
