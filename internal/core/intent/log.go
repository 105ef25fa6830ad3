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
	key     Key
	maybe   bool      // the log may hold it
	resend  time.Time // earliest time of the next append
	waiting bool      // it is in the append in flight
	before  bool      // value of maybe before the append in flight
}

func (l *Ledger) enqueue(kind Kind, key Key, nonce string) *entry {
	l.order++
	e := &entry{id: l.order, key: key, record: Record{
		Kind: kind, Key: key.String(), Host: l.config.Self.Host, Incarnation: l.config.Self.Incarnation, Nonce: nonce,
	}}
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

// Appended takes the outcome of a batch. Records are appended again until they
// are read back; a second copy has no effect.
func (l *Ledger) Appended(batch Batch, outcome AppendOutcome, now time.Time) {
	for _, e := range batch.entries {
		e.waiting = false
		e.resend = now.Add(l.config.Resend)
		switch outcome {
		case AppendStored:
			// The record will be read; a resend only covers a log that lost it.
			e.resend = now.Add(10 * l.config.Resend)
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
		decoded, key, err := Decode(record.Data)
		if err != nil {
			continue
		}
		row := l.row(key)
		row.offset = record.Offset
		l.aging = append(l.aging, agingKey{key, record.Offset, record.Time})
		l.settle(decoded)
		if decoded.Kind == KindAbandon {
			row.abandon(decoded.Nonce)
			continue
		}
		if a := l.intent(row, decoded, now); a != nil {
			changed = append(changed, a.view())
		}
	}
	l.next = max(l.next, page.Next)
	l.lastRead = now
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

// intent applies an intent and returns the own attempt that it changed.
func (l *Ledger) intent(row *keyRow, record Record, now time.Time) *attempt {
	if slices.Contains(row.dead, record.Nonce) || row.holder.nonce == record.Nonce {
		return nil
	}
	own := l.byNonce[record.Nonce]
	if record.Author() != l.config.Self {
		own = nil
	}
	if row.holder.nonce == "" {
		row.holder = holder{record.Author(), record.Nonce}
		if own == nil || own.stage != StageWaiting {
			return nil
		}
		own.stage, own.inForce = StageGranted, true
		return own
	}
	row.dead = append(row.dead, record.Nonce)
	if own == nil || own.stage != StageWaiting {
		return nil
	}
	if row.holder.author == l.config.Self {
		// The holder is an attempt of this host that was abandoned while its
		// abandon record is not yet in the log: no other one could be open.
		own.inForce = true // as the holder was
		l.close(own, StageAbandoned, notRun(cluster.ReasonLogUnavailable, "an abandoned attempt of the key is not yet cleared in the log"), now)
		return own
	}
	own.holder = row.holder
	l.close(own, StageLost, nil, now)
	return own
}

func (row *keyRow) abandon(nonce string) {
	if row.holder.nonce == nonce {
		row.holder = holder{}
	}
	if !slices.Contains(row.dead, nonce) {
		row.dead = append(row.dead, nonce)
	}
}

// expire forgets keys and attempts that the age limit of keys refuses anyway.
func (l *Ledger) expire(now time.Time) {
	limit := now.Add(-l.config.Retention - 4*l.config.Skew)
	for len(l.aging) > 0 && l.aging[0].time.Before(limit) {
		old := l.aging[0]
		l.aging = l.aging[1:]
		if row := l.keys[old.key]; row != nil && row.offset == old.offset {
			if a := l.attempt(row.attempt); a == nil || a.stage.Final() {
				delete(l.keys, old.key)
			}
		}
	}
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
	if row := l.keys[a.key]; row != nil && row.attempt == id {
		delete(l.keys, a.key)
	}
}
