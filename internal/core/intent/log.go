package intent

import (
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/platform"
)

// entry is a record to be stored in the log. It remains queued until it is read
// back, because an append without a response may or may not have stored it.
type entry struct {
	id                int64
	record            Record
	mayBeStored       bool      // the log may hold the record
	nextAppend        time.Time // earliest time of the next append
	inFlight          bool      // the record is part of the append in flight
	mayBeStoredBefore bool      // mayBeStored before the append in flight
}

func (l *Ledger) enqueue(kind Kind, key Key, nonce Nonce) *entry {
	l.lastEntryID++
	e := &entry{id: l.lastEntryID, record: Record{Kind: kind, Key: key, Originator: l.config.Self, Nonce: nonce}}
	l.queue.Put(e.id, e)
	l.entryIDs[e.record] = e.id
	return e
}

func (l *Ledger) dequeue(e *entry) {
	l.queue.Delete(e.id)
	delete(l.entryIDs, e.record)
}

// Batch holds the records of one append and their queue entries.
type Batch struct {
	Records []Record
	entries []*entry
}

// NextBatch returns the records to append now, oldest first. The outcome of the
// append must be passed to RecordAppend before the next call.
func (l *Ledger) NextBatch(limit int, now time.Time) Batch {
	var batch Batch
	l.queue.Each(func(_ int64, row **entry) bool {
		e := *row
		if now.Before(e.nextAppend) || e.inFlight {
			return true
		}
		e.inFlight, e.mayBeStoredBefore, e.mayBeStored = true, e.mayBeStored, true
		batch.Records = append(batch.Records, e.record)
		batch.entries = append(batch.entries, e)
		return len(batch.Records) < limit
	})
	return batch
}

// AppendOutcome is the outcome of an append.
type AppendOutcome int

// Outcomes of appends.
const (
	AppendStored  AppendOutcome = iota
	AppendRefused               // the records are not in the log
	AppendUnknown               // the records may be in the log
)

// RecordAppend records the outcome of a batch. Records are appended again until
// they are read back; a second copy has no effect.
func (l *Ledger) RecordAppend(batch Batch, outcome AppendOutcome, now time.Time) {
	for _, e := range batch.entries {
		e.inFlight = false
		e.nextAppend = now.Add(l.config.ResendInterval)
		switch outcome {
		case AppendStored:
			// The record will be read back; appending it again only covers a
			// log that lost it.
			e.nextAppend = now.Add(10 * l.config.ResendInterval)
		case AppendRefused:
			e.mayBeStored = e.mayBeStoredBefore
			e.nextAppend = now // AppendBackoff limits the rate of retries
		}
	}
}

// Apply applies the next page of the stream. It returns the attempts whose
// stage changed; the caller must handle each of them.
func (l *Ledger) Apply(page platform.Page, now time.Time) []AttemptView {
	var changed []AttemptView
	if page.Earliest > l.nextOffset {
		l.skipExpired(page)
	}
	for _, record := range page.Records {
		if record.Offset < l.nextOffset {
			continue
		}
		l.nextOffset = record.Offset + 1
		decoded, err := Decode(record.Data)
		if err != nil {
			l.skipped++
			continue
		}
		l.dequeueStored(decoded)
		if a := l.applyRecord(decoded, record.Time, now); a != nil {
			changed = append(changed, a.view())
		}
	}
	l.nextOffset = max(l.nextOffset, page.Next)
	l.lastRead, l.failures = now, 0
	l.caughtUp = l.caughtUp || l.nextOffset >= page.End
	l.expire(now)
	return changed
}

// skipExpired handles records that expired before they were read. All of them
// are at most as new as the first remaining record. If no record remains, the
// age limit of keys covers the expired ones.
func (l *Ledger) skipExpired(page platform.Page) {
	l.nextOffset = page.Earliest
	if len(page.Records) > 0 && page.Records[0].Time.After(l.unreadBefore) {
		l.unreadBefore = page.Records[0].Time
	}
}

// dequeueStored removes the queued entry of a record that was read back.
func (l *Ledger) dequeueStored(record Record) {
	if id, ok := l.entryIDs[record]; ok {
		l.dequeue(*l.queue.Get(id))
	}
}

// applyRecord applies a record to its key and returns the attempt of this host
// that changed, if any.
func (l *Ledger) applyRecord(record Record, at, now time.Time) *attempt {
	state, voided, _ := l.keys.get(record.Key)
	isVoided := slices.Contains(voided, record.Nonce)
	isActive := state.originator != nil && state.nonce == record.Nonce
	var changed *attempt
	switch {
	case record.Kind == KindAbandon:
		if isActive {
			state = keyState{}
		}
		if !isVoided {
			voided = append(voided, record.Nonce)
		}
	case isVoided || isActive: // a repeated record
	case state.originator == nil:
		state = keyState{l.keys.internOriginator(record.Originator), record.Nonce}
		changed = l.grant(record)
	default:
		voided = append(voided, record.Nonce)
		changed = l.reject(record, state, now)
	}
	l.keys.put(record.Key, state, voided, at)
	return changed
}

// waitingAttempt returns this host's attempt for an intent if it waits for the
// log.
func (l *Ledger) waitingAttempt(record Record) *attempt {
	a := l.byNonce[record.Nonce]
	if a == nil || a.stage != StageWaiting || record.Originator != l.config.Self {
		return nil
	}
	return a
}

func (l *Ledger) grant(record Record) *attempt {
	a := l.waitingAttempt(record)
	if a != nil {
		a.stage, a.wasActive = StageGranted, true
	}
	return a
}

func (l *Ledger) reject(record Record, active keyState, now time.Time) *attempt {
	a := l.waitingAttempt(record)
	switch {
	case a == nil:
	case *active.originator == l.config.Self:
		// The active intent is from an attempt of this host that was abandoned
		// and whose abandon record is not yet in the log: no other attempt of
		// the key could be open.
		a.wasActive = true // an intent of this host is the active one
		l.close(a, StageAbandoned, notRun(cluster.ReasonLogUnavailable, "an abandoned attempt of the key is not yet cleared in the log"), now)
	default:
		a.active = active
		l.close(a, StageConflict, nil, now)
	}
	return a
}

// expire removes keys and attempts whose key is refused for its age anyway.
func (l *Ledger) expire(now time.Time) {
	limit := now.Add(-l.config.Retention - 4*l.config.MaxClockSkew)
	l.keys.expire(limit)
	for len(l.expiryQueue) > 0 && l.expiryQueue[0].time.Before(limit) {
		l.removeAttempt(l.expiryQueue[0].id)
		l.expiryQueue = l.expiryQueue[1:]
	}
	for len(l.resultOrder) > 0 && l.closed[l.resultOrder[0]] == nil {
		l.resultOrder = l.resultOrder[1:]
	}
}

func (l *Ledger) removeAttempt(id int64) {
	a := l.closed[id]
	if a == nil {
		return
	}
	l.resultBytes -= len(a.result.Body)
	delete(l.closed, id)
	delete(l.byNonce, a.nonce)
	if l.byKey[a.key] == id {
		delete(l.byKey, a.key)
	}
}
