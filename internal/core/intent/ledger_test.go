package intent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// Guards against a call that runs twice, against "not run" for a call that ran,
// and against the response to another call. Each seed is one interleaving of
// three hosts with lost and delayed appends, outages, crashes, pauses and
// expired records.
func TestInterleavings(t *testing.T) {
	const seeds = 1000
	var total simulation
	for seed := range uint64(seeds) {
		s := newSimulation(seed)
		for range 500 {
			s.step()
		}
		must.Len(t, 0, s.failures, must.Sprintf("seed %d: %v", seed, s.failures))
		total.answered += s.answered
		total.notRun += s.notRun
		total.unknown += s.unknown
		total.crashes += s.crashes
		total.conflicts += s.conflicts
	}
	t.Logf("%d interleavings: %d answered, %d not run, %d unknown, %d crashes, %d conflicts with another originator",
		seeds, total.answered, total.notRun, total.unknown, total.crashes, total.conflicts)
	for _, n := range []int{total.answered, total.notRun, total.unknown, total.crashes, total.conflicts} {
		must.Greater(t, seeds, n) // each case occurred in the simulation
	}
}

func logRecord(record Record, now time.Time, offset int64) platform.Record {
	data, _ := record.Encode()
	return platform.Record{Offset: offset, Time: now, Data: data}
}

// Guards against a repeated record of a rejected intent: it would become active
// after the other intent was abandoned, and block the key.
func TestRepeatedRecordOfRejectedIntentHasNoEffect(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	s := &simulation{now: now, random: newSimulation(1).random}
	key := s.newKey()
	intent := func(host string, nonce int) Record {
		return Record{KindIntent, key, Originator{host, 1}, testNonce(nonce)}
	}
	abandon := intent("a", 1)
	abandon.Kind = KindAbandon
	l := NewLedger(Config{Self: Originator{"c", 1}, Retention: time.Hour, MaxClockSkew: time.Second, GrantTimeout: time.Second, MaxReadAge: time.Second, MaxOpenAttempts: 9})
	var records []platform.Record
	for i, r := range []Record{intent("a", 1), intent("b", 2), abandon, intent("b", 2), intent("a", 1)} {
		records = append(records, logRecord(r, now, int64(i)))
	}
	l.Apply(platform.Page{Records: records, Next: 5, End: 5}, now)
	view := l.Begin(key, testNonce(3), now.Add(time.Second), now)
	must.Eq(t, StageWaiting, view.Stage)
	batch := l.NextBatch(9, now)
	must.Len(t, 1, batch.Records)
	changed := l.Apply(platform.Page{Records: []platform.Record{logRecord(batch.Records[0], now, 5)}, Next: 6, End: 6}, now)
	must.Len(t, 1, changed)
	must.Eq(t, StageGranted, changed[0].Stage)
}

// Guards against a host that relies on a stream whose beginning has expired:
// the expired records may include an intent for the same key.
func TestKeysOfExpiredRecordsAreUnknown(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	s := &simulation{now: now.Add(-10 * time.Second), random: newSimulation(1).random}
	old := s.newKey()
	s.now = now
	recent := s.newKey()
	l := NewLedger(Config{Self: Originator{"c", 1}, Retention: time.Hour, MaxClockSkew: time.Second, GrantTimeout: time.Second, MaxReadAge: time.Second, MaxOpenAttempts: 9})
	must.Eq(t, StageAbandoned, l.Begin(recent, testNonce(1), now.Add(time.Second), now).Stage) // nothing read yet
	first := platform.Record{Offset: 7, Time: now.Add(-4 * time.Second), Data: []byte("x")}
	l.Apply(platform.Page{Records: []platform.Record{first}, Earliest: 7, Next: 8, End: 8}, now)
	must.Eq(t, StageUnknown, l.Begin(old, testNonce(2), now.Add(time.Second), now).Stage)
	must.Eq(t, StageWaiting, l.Begin(recent, testNonce(3), now.Add(time.Second), now).Stage)
}

// Guards against memory that grows with every call and is never freed.
func TestLedgerRemovesExpiredCalls(t *testing.T) {
	s := newSimulation(7)
	for range 3000 {
		s.step()
	}
	s.outage, s.pendingAppends = false, nil
	for range 20 {
		s.now = s.now.Add(s.retention / 2)
		s.expireRecords()
		for _, h := range s.hosts {
			h.paused, h.granted = false, nil
			h.ledger.Tick(s.now)
			for len(h.sent) > 0 {
				s.finish(h)
			}
			h.batch = nil
			s.read(h)
		}
	}
	for _, h := range s.hosts {
		for h.ledger.NextOffset() < int64(len(s.records)) {
			s.read(h)
		}
		must.Eq(t, 0, h.ledger.OpenAttempts())
		must.Eq(t, 0, h.ledger.keys.len())
		must.MapLen(t, 0, h.ledger.byKey)
		must.MapLen(t, 0, h.ledger.closed)
		must.MapLen(t, 0, h.ledger.byNonce)
		must.MapLen(t, 0, h.ledger.entryIDs)
	}
}

// Guards against hosts whose retries without a delay use up the rate limit of
// the log, and against a delay that remains long after an outage.
func TestAppendBackoffFollowsOutcomes(t *testing.T) {
	p := NewAppendBackoff(5 * time.Millisecond)
	must.Eq(t, 5*time.Millisecond, p.Next(AppendStored))
	must.Eq(t, 10*time.Millisecond, p.Next(AppendRefused))
	for range 10 {
		p.Next(AppendUnknown)
	}
	must.Eq(t, maxAppendDelay, p.Next(AppendRefused))
	for range 50 {
		p.Next(AppendStored)
	}
	must.Eq(t, 5*time.Millisecond, p.Next(AppendStored))
}

// Guards against panics on malformed records, and against records that change
// when they are encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"intent","key":"018bcfe5-6800-7000-8000-000000000001","host":"h1","incarnation":3,"nonce":"00000000-0000-0000-0000-000000000001"}`))
	f.Add([]byte(`{"kind":"abandon","key":"018BCFE5-6800-7000-8000-000000000001","host":"h1","incarnation":-3,"nonce":"A0000000-0000-0000-0000-000000000001"}`))
	f.Add([]byte(`{"kind":"intent","key":"{18bcfe5-6800-7000-8000-000000000001}","host":"h1","nonce":"n"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := Decode(data)
		if err == nil {
			again, err := record.Encode()
			must.NoError(t, err)
			second, err := Decode(again)
			must.NoError(t, err)
			must.Eq(t, record, second)
		}
		l := NewLedger(Config{Self: Originator{"h1", 3}, Retention: time.Hour})
		l.Apply(platform.Page{Records: []platform.Record{{Data: data}}, Next: 1, End: 1}, time.UnixMilli(1_700_000_000_000))
		must.Eq(t, 1, l.NextOffset())
	})
}

// Guards against expired responses that still count towards the bound on stored
// responses: later responses would be evicted before they expire, and a repeated call
// would get "unknown" instead of its stored response.
func TestExpiredResponsesFreeTheirSpace(t *testing.T) {
	const size, kept = 100, 4
	now := time.UnixMilli(1_700_000_000_000)
	l := NewLedger(Config{Self: Originator{"a", 1}, Retention: time.Minute, MaxClockSkew: time.Second, GrantTimeout: time.Second, MaxReadAge: time.Hour, MaxOpenAttempts: 9, MaxResultBytes: size * kept})
	l.Apply(platform.Page{Next: 0, End: 0}, now)
	random := newSimulation(1)
	var offset int64
	var recent []Key
	for i := range 10 * kept {
		now = now.Add(20 * time.Second)
		random.now = now
		key := random.newKey()
		view := l.Begin(key, testNonce(i+1), now.Add(time.Second), now)
		batch := l.NextBatch(9, now)
		l.RecordAppend(batch, AppendStored, now)
		l.Apply(platform.Page{Records: []platform.Record{logRecord(batch.Records[0], now, offset)}, Next: offset + 1, End: offset + 1}, now)
		offset++
		must.True(t, l.ClaimSend(view.ID, now))
		l.Finish(view.ID, Result{Status: 200, Body: make([]byte, size)}, now)
		recent = append(recent, key)
		recent = recent[max(len(recent)-kept, 0):] // those that have not expired
		for _, key := range recent {
			must.Eq(t, StageDone, l.ByKey(key, now).Stage, must.Sprintf("call %d", i))
		}
	}
}
