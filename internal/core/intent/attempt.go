package intent

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
)

// ClaimSend says whether the attempt may be sent now, and if so marks it as sent.
// It must be called directly before the send: it returns true once at most, and
// never after the caller's deadline.
func (l *Ledger) ClaimSend(id int64, now time.Time) bool {
	a := l.attempt(id)
	if a == nil || a.stage != StageGranted {
		return false
	}
	if !now.Before(a.deadline) {
		l.abandon(a, notRun(cluster.ReasonDeadline, "the deadline passed before the call was sent"), now)
		return false
	}
	a.stage = StageSent
	return true
}

// Finish stores the answer of a sent attempt.
func (l *Ledger) Finish(id int64, result Result, now time.Time) View {
	a := l.attempt(id)
	if a == nil || a.stage != StageSent {
		return l.View(id)
	}
	a.result = result
	l.results = append(l.results, id)
	l.resBytes += len(result.Body)
	l.close(a, StageDone, nil, now)
	view := a.view()
	for l.resBytes > l.config.MaxResultBytes && len(l.results) > 0 {
		l.dropResult(l.results[0])
		l.results = l.results[1:]
	}
	return view
}

func (l *Ledger) dropResult(id int64) {
	a := l.closed[id]
	if a == nil {
		return
	}
	l.resBytes -= len(a.result.Body)
	a.stage, a.result = StageUnknown, Result{}
	a.refusal = unknown(cluster.ReasonKeyExpired, "the call ran, and its answer is no longer stored")
}

// FinishUnknown records that the answer of a sent attempt was lost.
func (l *Ledger) FinishUnknown(id int64, refusal *cluster.Refusal, now time.Time) View {
	if a := l.attempt(id); a != nil && a.stage == StageSent {
		l.close(a, StageUnknown, refusal, now)
	}
	return l.View(id)
}

// FinishUnsent records that nothing of an attempt marked as sent left this
// host, so that it did not run.
func (l *Ledger) FinishUnsent(id int64, refusal *cluster.Refusal, now time.Time) View {
	if a := l.attempt(id); a != nil && a.stage == StageSent {
		l.abandon(a, refusal, now)
	}
	return l.View(id)
}

// Cancel abandons an attempt that was not sent, because its caller left or its
// deadline passed. A sent attempt goes on.
func (l *Ledger) Cancel(id int64, now time.Time) View {
	if a := l.attempt(id); a != nil && a.stage < StageSent {
		l.abandon(a, notRun(cluster.ReasonDeadline, "the call was given up before it was sent"), now)
	}
	return l.View(id)
}

// Tick abandons the attempts that waited too long, or that wait for a log that
// is out, and returns them.
func (l *Ledger) Tick(now time.Time) []View {
	var changed []View
	out := l.logOut(now)
	l.open.Each(func(_ int64, row **attempt) bool {
		a := *row
		if a.stage >= StageSent {
			return true
		}
		switch {
		case !now.Before(a.deadline):
			l.abandon(a, notRun(cluster.ReasonDeadline, "the deadline passed before the call was sent"), now)
		case a.stage == StageWaiting && (out || !now.Before(a.patience)):
			l.abandon(a, notRun(cluster.ReasonLogUnavailable, "the log did not confirm the intent in time"), now)
		default:
			return true
		}
		changed = append(changed, a.view())
		return true
	})
	l.dropAbandons(now)
	return changed
}

// dropAbandons drops the abandon records of keys that are refused for their age.
func (l *Ledger) dropAbandons(now time.Time) {
	limit := now.Add(-l.config.Retention - 4*l.config.MaxClockSkew)
	l.queue.Each(func(_ int64, row **entry) bool {
		if e := *row; e.record.Kind == KindAbandon && e.record.Key.Time().Before(limit) {
			l.dequeue(e)
		}
		return true
	})
}

// View returns what is known about an attempt.
func (l *Ledger) View(id int64) View {
	if a := l.attempt(id); a != nil {
		return a.view()
	}
	return View{ID: id, Stage: StageUnknown, Refusal: unknown(cluster.ReasonKeyExpired, "the attempt is no longer known")}
}

// ByNonce returns what is known about an intent of this host's. An intent of
// the host's earlier life is unknown.
func (l *Ledger) ByNonce(key Key, nonce Nonce) View {
	a := l.byNonce[nonce]
	if a == nil || a.key != key {
		return l.View(0)
	}
	if a.stage == StageConflict {
		// The attempt was not sent and never will be.
		return View{ID: a.id, Stage: StageAbandoned, Refusal: notRun(cluster.ReasonOtherOriginator, "another host's intent is in force")}
	}
	return a.view()
}

// ByKey returns what this host knows about a call, for a host that cannot read
// the log. StageAbandoned says that this host has not sent the call, neither in
// this life nor in an earlier one, and that it knows of no other host that may
// have sent it.
func (l *Ledger) ByKey(key Key, now time.Time) View {
	own := l.attempt(l.mine[key])
	if own != nil && own.stage != StageAbandoned && own.stage != StageConflict {
		return own.view()
	}
	row, _, _ := l.rows.get(key)
	switch {
	case row.author != nil && (own == nil || *row.author != l.config.Self):
		return View{Stage: StageUnknown, Refusal: unknown(cluster.ReasonOtherOriginator, "the call may have run at host "+row.author.Host)}
	case !l.caughtUp && key.Time().Before(l.config.StartTime.Add(l.config.MaxClockSkew)):
		return View{Stage: StageUnknown, Refusal: unknown(cluster.ReasonLogUnavailable, "the call may have run before this host started")}
	}
	if refusal := l.checkAge(key, now); refusal != nil {
		return View{Stage: StageUnknown, Refusal: refusal}
	}
	return View{Stage: StageAbandoned, Refusal: notRun(cluster.ReasonLogUnavailable, "this host has not sent the call")}
}

// abandon makes sure that the attempt is never sent, and lets later intents of
// the key come into force. The record is not needed when the log cannot hold
// the intent.
func (l *Ledger) abandon(a *attempt, refusal *cluster.Refusal, now time.Time) {
	inLog := a.entry.maybe
	l.dequeue(a.entry)
	l.close(a, StageAbandoned, refusal, now)
	if inLog {
		l.enqueue(KindAbandon, a.key, a.nonce)
	}
}

func (l *Ledger) close(a *attempt, stage Stage, refusal *cluster.Refusal, now time.Time) {
	a.stage, a.refusal = stage, refusal
	l.open.Delete(a.id)
	l.closed[a.id] = a
	l.closing = append(l.closing, agingAttempt{a.id, now})
}
