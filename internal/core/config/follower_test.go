package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sesamestand/sesamestand/internal/testseed"

	"github.com/sesamestand/sesamestand/internal/platform"
)

const retention = 90 * time.Minute

// memoryLog is a log stream in memory whose records expire.
type memoryLog struct {
	records  []platform.Record
	earliest int64
	now      time.Time
}

func (l *memoryLog) add(t must.T, r Record) int64 {
	data, err := r.Encode()
	must.NoError(t, err)
	return l.addRaw(data)
}

func (l *memoryLog) addRaw(data []byte) int64 {
	offset := int64(len(l.records))
	l.records = append(l.records, platform.Record{Offset: offset, Time: l.now, Data: data})
	return offset
}

func (l *memoryLog) expire() {
	for l.earliest < int64(len(l.records)) && l.now.Sub(l.records[l.earliest].Time) > retention {
		l.earliest++
	}
}

func (l *memoryLog) page(offset int64, limit int) platform.Page {
	end := int64(len(l.records))
	from := min(max(offset, l.earliest), end)
	next := min(from+int64(limit), end)
	return platform.Page{Records: l.records[from:next], Earliest: l.earliest, Next: next, End: end}
}

func model(name string, replicas int) map[string]string {
	return map[string]string{name + ".ini": fmt.Sprintf("[model %s]\nreplicas = a:%d\n", name, replicas)}
}

func readAll(f *Follower, l *memoryLog) (events []Event) {
	for {
		events = append(events, f.Apply(l.page(f.Next(), 3))...)
		if f.Next() >= int64(len(l.records)) {
			return events
		}
	}
}

// Guards against accepting two changes with the same base, and against invalid
// or undecodable records blocking a reader.
func TestFirstChangeOfABaseWinsAndBadRecordsAreSkipped(t *testing.T) {
	l := &memoryLog{now: time.Unix(1000, 0)}
	l.add(t, Record{ID: "bad", Kind: KindChange, Files: map[string]string{"x.ini": "[model"}})
	l.addRaw([]byte("{"))
	l.add(t, Record{ID: "first", Kind: KindChange, Files: model("m", 1)})
	l.add(t, Record{ID: "second", Kind: KindChange, Files: model("m", 2)})
	l.add(t, Record{ID: "next", Kind: KindChange, Base: 3, Files: model("n", 2)})
	l.add(t, Record{ID: "removal", Kind: KindChange, Base: 5, Removed: []string{"m.ini"}})
	f := NewFollower()
	events := readAll(f, l)
	must.Len(t, 6, events)
	accepted := make(map[string]int64)
	for _, e := range events {
		must.Eq(t, e.Offset < 2, e.Err != nil)
		if e.Accepted {
			accepted[e.ID] = e.Version
		}
	}
	must.Eq(t, map[string]int64{"first": 3, "next": 5, "removal": 6}, accepted)
	must.Eq(t, model("n", 2), f.State().Files)
}

// A snapshot taken before a change may be appended after it. Guards against a
// host that starts reading once the change has expired and would restore the
// older version from that snapshot.
func TestDelayedSnapshotDoesNotRevertAnExpiredChange(t *testing.T) {
	l := &memoryLog{now: time.Unix(1000, 0)}
	l.add(t, Record{ID: "one", Kind: KindChange, Files: model("m", 1)})
	slow := NewFollower()
	readAll(slow, l)
	delayed, due := slow.DueSnapshot("s", 0, 0, l.now)
	must.True(t, due)
	l.add(t, Record{ID: "two", Kind: KindChange, Base: 1, Files: model("m", 2)})
	l.now = l.now.Add(time.Minute)
	l.add(t, delayed)
	live := NewFollower()
	readAll(live, l)
	l.now = l.now.Add(retention)
	l.expire()
	must.Eq(t, 2, l.earliest)

	fresh := NewFollower()
	readAll(fresh, l)
	must.False(t, fresh.CaughtUp())
	must.Eq(t, 0, fresh.State().Version)

	readAll(live, l)
	snapshot, due := live.DueSnapshot("s2", 0, retention, l.now)
	must.True(t, due)
	l.add(t, snapshot)
	readAll(fresh, l)
	must.True(t, fresh.CaughtUp())
	must.Eq(t, 2, fresh.State().Version)
	must.Eq(t, model("m", 2), fresh.State().Files)
}

// Guards against combining an older state received from a peer with buffered
// records from which those covered by a snapshot were discarded.
func TestOlderStateOfAPeerDoesNotLoseAChange(t *testing.T) {
	l := &memoryLog{now: time.Unix(1000, 0)}
	l.add(t, Record{ID: "one", Kind: KindChange, Files: model("m", 1)})
	l.add(t, Record{ID: "two", Kind: KindChange, Base: 1, Files: model("m", 2)})
	l.add(t, Record{ID: "s", Kind: KindSnapshot, Base: 2, ReadOffset: 2, Files: model("m", 2)})
	l.addRaw([]byte("x"))
	f := NewFollower()
	f.Apply(l.page(0, 3))
	f.Install(1, 1, model("m", 1), l.now)
	must.False(t, f.CaughtUp())
	readAll(f, l)
	must.Eq(t, 2, f.State().Version)
}

// Guards against readers that disagree on the active version or its content,
// and against versions that decrease, while publishers race, snapshots are
// delayed, records expire, and hosts restart at any time and install states of
// each other.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &memoryLog{now: time.Unix(1000, 0)}
		reference := NewFollower() // reads every record as soon as it is appended
		hosts := make([]*Follower, 4)
		for i := range hosts {
			hosts[i] = NewFollower()
		}
		var delayed []Record
		steps := rapid.IntRange(10, 120).Draw(t, "steps")
		for range steps {
			i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			h := hosts[i]
			before := h.State().Version
			switch rapid.SampledFrom([]string{"change", "change", "read", "read", "read", "snapshot", "late", "restart", "reset", "install", "time", "bad"}).Draw(t, "step") {
			case "change":
				files := model(rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), rapid.IntRange(-1, 3).Draw(t, "replicas"))
				l.add(t, Record{ID: "c", Kind: KindChange, Base: h.State().Version, Files: files})
			case "read":
				h.Apply(l.page(h.Next(), rapid.IntRange(1, 5).Draw(t, "limit")))
			case "snapshot":
				if s, due := h.DueSnapshot("s", 0, 0, l.now.Add(time.Hour)); due {
					delayed = append(delayed, s)
				}
			case "late":
				if len(delayed) > 0 {
					l.add(t, delayed[0])
					delayed = delayed[1:]
				}
			case "restart":
				hosts[i], before = NewFollower(), 0
			case "install":
				if from := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "from")]; from.CaughtUp() {
					h.Install(from.State().Version, from.State().Offset, from.State().Files, l.now)
				}
			case "reset":
				l.add(t, Record{ID: "r", Kind: KindReset, Files: model("m", rapid.IntRange(-1, 3).Draw(t, "replicas"))})
			case "time":
				l.now = l.now.Add(retention / 4)
				l.expire()
			case "bad":
				l.addRaw([]byte("x"))
			}
			must.GreaterEq(t, before, hosts[i].State().Version)
			for reference.Next() < int64(len(l.records)) {
				reference.Apply(platform.Page{Records: l.records[reference.Next():], Next: int64(len(l.records))})
			}
		}
		for _, h := range hosts {
			readAll(h, l)
			if !h.CaughtUp() {
				continue
			}
			must.Eq(t, reference.State().Version, h.State().Version)
			must.Eq(t, reference.State().Files, h.State().Files)
			must.Eq(t, reference.State().Set, h.State().Set)
		}
	})
}

// Guards against a stream that can no longer be read from its start because all
// snapshots expired although a host was running and could write new ones.
func TestSnapshotsKeepTheStreamReadable(t *testing.T) {
	l := &memoryLog{now: time.Unix(1000, 0)}
	host := NewFollower()
	l.add(t, Record{ID: "one", Kind: KindChange, Files: model("m", 1)})
	for range 200 {
		l.now = l.now.Add(retention / 40)
		l.expire()
		readAll(host, l)
		if s, due := host.DueSnapshot("s", 2, retention, l.now); due {
			l.add(t, s)
		}
		fresh := NewFollower()
		readAll(fresh, l)
		must.True(t, fresh.CaughtUp())
		must.Eq(t, 1, fresh.State().Version)
	}
	must.Less(t, 20, len(l.records))
}

// Guards against panics on malformed records, and against records that change
// when they are encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"a","kind":"change","base":3,"files":{"m.ini":"[model m]"},"removed":["x"]}`))
	f.Add([]byte(`{"id":"a","kind":"snapshot","base":3,"read":9,"files":{}}`))
	f.Add([]byte(`{"id":"a","kind":"reset","files":{"m.ini":""}}`))
	f.Add([]byte(`{"id":"","kind":"change"}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := Decode(data)
		if err != nil {
			return
		}
		again, err := record.Encode()
		must.NoError(t, err)
		second, err := Decode(again)
		must.NoError(t, err)
		must.Eq(t, record.ID, second.ID)
		follower := NewFollower()
		follower.Apply(platform.Page{Records: []platform.Record{{Data: data}}, Next: 1, End: 1})
		must.Eq(t, 1, follower.Next())
	})
}
