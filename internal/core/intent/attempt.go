package intent

import (
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
)

// ClaimSend reports whether the attempt may be sent now, and if so marks it as
// sent. It must be called directly before the send. It returns true at most
// once, and never after the caller's deadline.
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

// Finish stores the response of a sent attempt.
func (l *Ledger) Finish(id int64, result Result, now time.Time) AttemptView {
	a := l.attempt(id)
	if a == nil || a.stage != StageSent {
		return l.AttemptView(id)
	}
	a.result = result
	l.resultOrder = append(l.resultOrder, id)
	l.resultBytes += len(result.Body)
	l.close(a, StageDone, nil, now)
	view := a.view()
	for l.resultBytes > l.config.MaxResultBytes && len(l.resultOrder) > 0 {
		l.evictResult(l.resultOrder[0])
		l.resultOrder = l.resultOrder[1:]
	}
	return view
}

func (l *Ledger) evictResult(id int64) {
	a := l.closed[id]
	if a == nil {
		return
	}
	l.resultBytes -= len(a.result.Body)
	a.stage, a.result = StageUnknown, Result{}
	a.refusal = unknown(cluster.ReasonKeyExpired, "the call ran, and its answer is no longer stored")
}

// FinishUnknown records that the response of a sent attempt was lost.
func (l *Ledger) FinishUnknown(id int64, refusal *cluster.Refusal, now time.Time) AttemptView {
	if a := l.attempt(id); a != nil && a.stage == StageSent {
		l.close(a, StageUnknown, refusal, now)
	}
	return l.AttemptView(id)
}

// FinishUnsent records that nothing of an attempt marked as sent left this
// host, so that it did not run.
func (l *Ledger) FinishUnsent(id int64, refusal *cluster.Refusal, now time.Time) AttemptView {
	if a := l.attempt(id); a != nil && a.stage == StageSent {
		l.abandon(a, refusal, now)
	}
	return l.AttemptView(id)
}

// Cancel abandons an attempt that was not sent, because its caller
// disconnected or its deadline passed. A sent attempt continues.
func (l *Ledger) Cancel(id int64, now time.Time) AttemptView {
	if a := l.attempt(id); a != nil && a.stage < StageSent {
		l.abandon(a, notRun(cluster.ReasonDeadline, "the call was given up before it was sent"), now)
	}
	return l.AttemptView(id)
}

// Tick abandons the attempts that timed out or that wait for an unavailable
// log, and returns them.
func (l *Ledger) Tick(now time.Time) []AttemptView {
	var changed []AttemptView
	unavailable := l.logUnavailable(now)
	l.open.Each(func(_ int64, row **attempt) bool {
		a := *row
		if a.stage >= StageSent {
			return true
		}
		switch {
		case !now.Before(a.deadline):
			l.abandon(a, notRun(cluster.ReasonDeadline, "the deadline passed before the call was sent"), now)
		case a.stage == StageWaiting && (unavailable || !now.Before(a.grantDeadline)):
			l.abandon(a, notRun(cluster.ReasonLogUnavailable, "the log did not confirm the intent in time"), now)
		default:
			return true
		}
		changed = append(changed, a.view())
		return true
	})
	l.expireAbandons(now)
	return changed
}

// expireAbandons removes queued abandon records whose key is refused for its
// age.
func (l *Ledger) expireAbandons(now time.Time) {
	limit := now.Add(-l.config.Retention - 4*l.config.MaxClockSkew)
	l.queue.Each(func(_ int64, row **entry) bool {
		if e := *row; e.record.Kind == KindAbandon && e.record.Key.Time().Before(limit) {
			l.dequeue(e)
		}
		return true
	})
}

// AttemptView returns the state of an attempt.
func (l *Ledger) AttemptView(id int64) AttemptView {
	if a := l.attempt(id); a != nil {
		return a.view()
	}
	return AttemptView{ID: id, Stage: StageUnknown, Refusal: unknown(cluster.ReasonKeyExpired, "the attempt is no longer known")}
}

// ByNonce returns the state of an intent of this host. An intent of an earlier
// incarnation is unknown.
func (l *Ledger) ByNonce(key Key, nonce Nonce) AttemptView {
	a := l.byNonce[nonce]
	if a == nil || a.key != key {
		return l.AttemptView(0)
	}
	if a.stage == StageConflict {
		// The attempt was not sent and never will be.
		return AttemptView{ID: a.id, Stage: StageAbandoned, Refusal: notRun(cluster.ReasonOtherOriginator, "another host's intent is in force")}
	}
	return a.view()
}

// ByKey returns what this host knows about a call, for a host that cannot read
// the log. StageAbandoned means that no incarnation of this host has sent the
// call, and that this host knows of no other host that may have sent it.
func (l *Ledger) ByKey(key Key, now time.Time) AttemptView {
	own := l.attempt(l.byKey[key])
	if own != nil && own.stage != StageAbandoned && own.stage != StageConflict {
		return own.view()
	}
	state, _, _ := l.keys.get(key)
	switch {
	case state.originator != nil && (own == nil || *state.originator != l.config.Self):
		return AttemptView{Stage: StageUnknown, Refusal: unknown(cluster.ReasonOtherOriginator, "the call may have run at host "+state.originator.Host)}
	case !l.caughtUp && key.Time().Before(l.config.StartTime.Add(l.config.MaxClockSkew)):
		return AttemptView{Stage: StageUnknown, Refusal: unknown(cluster.ReasonLogUnavailable, "the call may have run before this host started")}
	}
	if refusal := l.checkAge(key, now); refusal != nil {
		return AttemptView{Stage: StageUnknown, Refusal: refusal}
	}
	return AttemptView{Stage: StageAbandoned, Refusal: notRun(cluster.ReasonLogUnavailable, "this host has not sent the call")}
}

// abandon ensures that the attempt is never sent, and that later intents of the
// key can become active. The abandon record is not needed if the intent cannot
// have been stored in the log.
func (l *Ledger) abandon(a *attempt, refusal *cluster.Refusal, now time.Time) {
	inLog := a.entry.mayBeStored
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
	l.expiryQueue = append(l.expiryQueue, closedAttempt{a.id, now})
}
