package intent

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// entry is a record that must get into the log. It stays queued until it is
// read back, because an unanswered append may or may not have stored it.
type entry struct {
	id      int64
	record  Record
	maybe   bool      // the log may hold it
	resend  time.Time // earliest time of the next append
	waiting bool      // it is in the append in flight
	before  bool      // value of maybe before the append in flight
}

func (l *Ledger) enqueue(kind Kind, key Key, nonce Nonce) *entry {
	l.order++
	e := &entry{id: l.order, record: Record{Kind: kind, Key: key, Originator: l.config.Self, Nonce: nonce}}
	l.queue.Put(e.id, e)
	l.queued[e.record] = e.id
	return e
}

func (l *Ledger) dequeue(e *entry) {
	l.queue.Delete(e.id)
	delete(l.queued, e.record)
}

// Batch is one append: the records and the entries that they come from.
type Batch struct {
	Records []Record
	entries []*entry
}

// NextBatch returns the records to append now, oldest first. The result of the
// append must be given to Appended before the next call.
func (l *Ledger) NextBatch(limit int, now time.Time) Batch {
	var batch Batch
	l.queue.Each(func(_ int64, row **entry) bool {
		e := *row
		if now.Before(e.resend) || e.waiting {
			return true
		}
		e.waiting, e.before, e.maybe = true, e.maybe, true
		batch.Records = append(batch.Records, e.record)
		batch.entries = append(batch.entries, e)
		return len(batch.Records) < limit
	})
	return batch
}

// AppendOutcome is what became of an append.
type AppendOutcome int

// Outcomes of appends.
const (
	AppendStored  AppendOutcome = iota
	AppendRefused               // the records are not in the log
	AppendUnknown               // the records may be in the log
)

// RecordAppend takes the outcome of a batch. Records are appended again until they
// are read back; a second copy has no effect.
func (l *Ledger) RecordAppend(batch Batch, outcome AppendOutcome, now time.Time) {
	for _, e := range batch.entries {
		e.waiting = false
		e.resend = now.Add(l.config.ResendInterval)
		switch outcome {
		case AppendStored:
			// The record will be read; a resend only covers a log that lost it.
			e.resend = now.Add(10 * l.config.ResendInterval)
		case AppendRefused:
			e.maybe = e.before
			e.resend = now // the writer's pace bounds the repeats
		}
	}
}

// Apply takes the next page of the stream. It returns the attempts whose stage
// changed; the caller must look at each.
func (l *Ledger) Apply(page platform.Page, now time.Time) []View {
	var changed []View
	if page.Earliest > l.next {
		l.noteGap(page)
	}
	for _, record := range page.Records {
		if record.Offset < l.next {
			continue
		}
		l.next = record.Offset + 1
		decoded, err := Decode(record.Data)
		if err != nil {
			l.skipped++
			continue
		}
		l.settle(decoded)
		if a := l.record(decoded, record.Time, now); a != nil {
			changed = append(changed, a.view())
		}
	}
	l.next = max(l.next, page.Next)
	l.lastRead, l.failures = now, 0
	l.caughtUp = l.caughtUp || l.next >= page.End
	l.expire(now)
	return changed
}

// noteGap remembers that records expired before they were read. All of them
// are at most as new as the first record that is left. When none is left, the
// age limit of keys covers what expired.
func (l *Ledger) noteGap(page platform.Page) {
	l.next = page.Earliest
	if len(page.Records) > 0 && page.Records[0].Time.After(l.floor) {
		l.floor = page.Records[0].Time
	}
}

// settle removes the queued entry that was read back.
func (l *Ledger) settle(record Record) {
	if id, ok := l.queued[record]; ok {
		l.dequeue(*l.queue.Get(id))
	}
}

// record applies a record to its key and returns the own attempt that changed.
func (l *Ledger) record(record Record, at, now time.Time) *attempt {
	row, dead, _ := l.rows.get(record.Key)
	killed := slices.Contains(dead, record.Nonce)
	holds := row.author != nil && row.nonce == record.Nonce
	var changed *attempt
	switch {
	case record.Kind == KindAbandon:
		if holds {
			row = keyRow{}
		}
		if !killed {
			dead = append(dead, record.Nonce)
		}
	case killed || holds: // a repeated record
	case row.author == nil:
		row = keyRow{l.rows.author(record.Originator), record.Nonce}
		changed = l.win(record)
	default:
		dead = append(dead, record.Nonce)
		changed = l.lose(record, row, now)
	}
	l.rows.put(record.Key, row, dead, at)
	return changed
}

// waitingFor returns the own attempt of an intent, if it waits for the log.
func (l *Ledger) waitingFor(record Record) *attempt {
	a := l.byNonce[record.Nonce]
	if a == nil || a.stage != StageWaiting || record.Originator != l.config.Self {
		return nil
	}
	return a
}

func (l *Ledger) win(record Record) *attempt {
	a := l.waitingFor(record)
	if a != nil {
		a.stage, a.inForce = StageGranted, true
	}
	return a
}

func (l *Ledger) lose(record Record, winner keyRow, now time.Time) *attempt {
	a := l.waitingFor(record)
	switch {
	case a == nil:
	case *winner.author == l.config.Self:
		// The winner is an attempt of this host that was abandoned while its
		// abandon record is not yet in the log: no other one could be open.
		a.inForce = true // as the winner was
		l.close(a, StageAbandoned, notRun(cluster.ReasonLogUnavailable, "an abandoned attempt of the key is not yet cleared in the log"), now)
	default:
		a.winner = winner
		l.close(a, StageConflict, nil, now)
	}
	return a
}

// expire forgets keys and attempts that the age limit of keys refuses anyway.
func (l *Ledger) expire(now time.Time) {
	limit := now.Add(-l.config.Retention - 4*l.config.MaxClockSkew)
	l.rows.drop(limit)
	for len(l.closing) > 0 && l.closing[0].time.Before(limit) {
		l.forget(l.closing[0].id)
		l.closing = l.closing[1:]
	}
}

func (l *Ledger) forget(id int64) {
	a := l.closed[id]
	if a == nil {
		return
	}
	delete(l.closed, id)
	delete(l.byNonce, a.nonce)
	if l.mine[a.key] == id {
		delete(l.mine, a.key)
	}
}
