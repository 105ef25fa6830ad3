package intake

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sesamestand/sesamestand/internal/core/account"
	_ "github.com/sesamestand/sesamestand/internal/testseed" // fixes the seed
)

func testLimits() Limits {
	return Limits{
		Connections: [addresses]int{4, 2, 2},
		HeadTimeout: 10 * time.Second, BodyTimeout: 30 * time.Second, ResponseTimeout: 30 * time.Second,
	}
}

// testMemory bounds what the connections of a test hold.
const testMemory = 2 << 20

func newTestTable() *Table {
	return NewTable(testLimits(), account.New(account.Limits{Total: testMemory, Large: testMemory / 2}))
}

func open(t *testing.T, table *Table, phase Phase, now time.Time) ID {
	t.Helper()
	id, closing, ok := table.Open(Callers, now)
	must.True(t, ok)
	must.SliceEmpty(t, closing)
	table.Enter(id, phase, now)
	return id
}

// Guards against the close of a request that may have been passed on, or of one that makes
// progress, when memory runs out.
func TestSlowestIncompleteRequestIsClosedForMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable()
	running, slow, fast := open(t, table, Running, now), open(t, table, Body, now), open(t, table, Body, now)
	for _, id := range []ID{running, slow, fast} {
		verdict, _ := table.Hold(id, SmallBytes+300<<10, now)
		must.EqOp(t, Granted, verdict)
	}
	now = now.Add(time.Second)
	table.Progress(fast, stepBytes, now)
	asking := open(t, table, Body, now)
	verdict, closing := table.Hold(asking, SmallBytes+300<<10, now)
	must.EqOp(t, Wait, verdict)
	must.Eq(t, []Closing{{slow, NoMemory}}, closing)
	verdict, closing = table.Hold(asking, SmallBytes+300<<10, now)
	must.EqOp(t, Wait, verdict)
	must.SliceEmpty(t, closing, must.Sprint("another one is closed while the first still returns its memory"))
	table.Remove(slow)
	verdict, _ = table.Hold(asking, SmallBytes+300<<10, now)
	must.EqOp(t, Granted, verdict)
}

// Guards against large bodies that take the memory of small requests, and against a large
// body that is not served although it is the only one.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable()
	large, other := open(t, table, Running, now), open(t, table, Running, now)
	verdict, _ := table.Hold(large, SmallBytes+1<<20, now)
	must.EqOp(t, Granted, verdict)
	verdict, _ = table.Hold(other, SmallBytes+1, now)
	must.EqOp(t, Wait, verdict)
	verdict, _ = table.Hold(other, SmallBytes, now)
	must.EqOp(t, Granted, verdict)
	table.Remove(large)
	verdict, _ = table.Hold(other, 64<<20, now)
	must.EqOp(t, Granted, verdict)
}

// Guards against a crowd that takes the connections of clients that keep theirs, and
// against a connection with a request that is closed for a new one.
func TestConnectionWithoutUseIsClosedForANewOne(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable()
	idle, head, running, body := open(t, table, Idle, now), open(t, table, Head, now), open(t, table, Running, now), open(t, table, Body, now)
	now = now.Add(2 * idleStall)
	table.Progress(body, stepBytes, now)
	for _, want := range []ID{head, idle} {
		id, closing, ok := table.Open(Callers, now)
		must.True(t, ok)
		must.Eq(t, []Closing{{want, NoConnection}}, closing)
		table.Enter(id, Running, now)
	}
	id, closing, ok := table.Open(Callers, now)
	must.True(t, ok)
	must.Eq(t, []Closing{{body, NoConnection}}, closing)
	table.Enter(id, Running, now)
	_, _, ok = table.Open(Callers, now)
	must.False(t, ok)
	_, _, ok = table.Open(Operators, now)
	must.True(t, ok)
	must.EqOp(t, 0, table.HeldBy(running))
}

// Guards against connections without progress that stay open for ever.
func TestConnectionsWithoutProgressExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable()
	head, body, idle, writing := open(t, table, Head, now), open(t, table, Body, now), open(t, table, Idle, now), open(t, table, Running, now)
	table.Writing(writing, true, now)
	now = now.Add(10 * time.Second)
	must.SliceEmpty(t, table.Expired(now))
	must.Eq(t, []Closing{{head, HeadTimeout}}, table.Expired(now.Add(time.Second)))
	table.Progress(body, 1, now)
	table.Writing(writing, true, now)
	must.SliceEmpty(t, table.Expired(now.Add(30*time.Second)))
	must.SliceContainsAll(t, []Closing{{body, BodyTimeout}, {writing, ResponseTimeout}}, table.Expired(now.Add(31*time.Second)))
	must.EqOp(t, 0, table.HeldBy(idle))
}

// Guards against memory beyond the limits, memory that is not returned, and requests that
// are closed although they may have been passed on.
func TestMemoryStaysWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now, ids := newTestTable(), time.Unix(1000, 0), []ID{}
		running := make(map[ID]bool)
		check := func(closing []Closing) {
			for _, c := range closing {
				if running[c.ID] {
					t.Fatalf("connection %d is closed for %s while its request runs", c.ID, c.Reason)
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if id, closing, ok := table.Open(Callers, now); ok {
				ids = append(ids, id)
				check(closing)
			}
			id := rapid.SampledFrom(ids).Draw(t, "connection")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				table.Remove(id)
			case 1:
				phase := rapid.SampledFrom([]Phase{Head, Body, Running}).Draw(t, "phase")
				table.Enter(id, phase, now)
				running[id] = phase == Running
			default:
				_, closing := table.Hold(id, int64(rapid.IntRange(0, 900<<10).Draw(t, "bytes")), now)
				check(closing)
			}
			if held, _ := table.Held(); held > testMemory {
				t.Fatalf("%d bytes are held", held)
			}
		}
		for _, id := range ids {
			table.Remove(id)
		}
		if held, connections := table.Held(); held != 0 || connections != 0 {
			t.Fatalf("%d bytes are held by %d connections", held, connections)
		}
	})
}

// Guards against responses that nobody reads and that keep their memory, and against the
// close of one that is read, or of one while an incomplete request can be closed.
func TestUnreadResponsesAreGivenUpLast(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable()
	unread, read, body := open(t, table, Running, now), open(t, table, Running, now), open(t, table, Body, now)
	for _, id := range []ID{unread, read, body} {
		verdict, _ := table.Hold(id, SmallBytes+300<<10, now)
		must.EqOp(t, Granted, verdict)
		table.Writing(id, id != body, now)
	}
	now = now.Add(unreadStall)
	table.Writing(read, true, now)
	asking := open(t, table, Body, now)
	for _, want := range []ID{body, unread} {
		verdict, closing := table.Hold(asking, SmallBytes+300<<10, now)
		must.EqOp(t, Wait, verdict)
		must.Eq(t, []Closing{{want, NoMemory}}, closing)
		table.Remove(want)
		table.Add(read, 300<<10)
	}
	verdict, closing := table.Hold(asking, SmallBytes+300<<10, now)
	must.EqOp(t, Wait, verdict)
	must.SliceEmpty(t, closing)
}

// Guards against connections that use memory which others hold, and against a small
// request that gets none because of what others hold for large ones.
func TestConnectionsLeaveTheMemoryOfOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	held := account.New(account.Limits{Total: testMemory, Large: testMemory / 2, Jobs: testMemory})
	table := NewTable(testLimits(), held)
	first, second := open(t, table, Running, now), open(t, table, Running, now)
	must.True(t, held.Take(account.Jobs, testMemory/2))
	verdict, _ := table.Hold(first, 2*SmallBytes, now)
	must.EqOp(t, Granted, verdict, must.Sprint("the only large request is refused"))
	verdict, _ = table.Hold(second, 2*SmallBytes, now)
	must.EqOp(t, Wait, verdict)
	verdict, _ = table.Hold(second, SmallBytes, now)
	must.EqOp(t, Granted, verdict)
	must.True(t, held.Take(account.Jobs, testMemory/2-3*SmallBytes))
	third := open(t, table, Head, now)
	verdict, _ = table.Hold(third, 1, now)
	must.EqOp(t, Wait, verdict)
	table.Remove(second)
	verdict, _ = table.Hold(third, 1, now)
	must.EqOp(t, Granted, verdict)
}

// Guards against responses that each hold a part of their memory and wait for the rest
// until all of them fail.
func TestLaterResponsesYieldTheirPartOfTheMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable()
	early := open(t, table, Running, now)
	late := open(t, table, Running, now.Add(time.Second))
	now = now.Add(2 * time.Second)
	for _, id := range []ID{early, late} {
		verdict, _ := table.Hold(id, SmallBytes+500<<10, now)
		must.EqOp(t, Granted, verdict)
	}
	verdict, _ := table.Hold(early, SmallBytes+800<<10, now)
	must.EqOp(t, Wait, verdict)
	verdict, closing := table.Hold(late, SmallBytes+800<<10, now)
	must.EqOp(t, Refuse, verdict)
	must.SliceEmpty(t, closing)
	verdict, _ = table.Hold(late, SmallBytes, now)
	must.EqOp(t, Granted, verdict)
	verdict, _ = table.Hold(early, SmallBytes+800<<10, now)
	must.EqOp(t, Granted, verdict)
	verdict, _ = table.Hold(late, 2*SmallBytes, now)
	must.EqOp(t, Granted, verdict, must.Sprint("a response yields although none waits"))
}
