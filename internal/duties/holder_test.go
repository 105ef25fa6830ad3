package duties

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/boottime"
	"github.com/sesamestand/sesamestand/internal/core/duty"
	"github.com/sesamestand/sesamestand/internal/logstore"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

const testLease = 300 * time.Millisecond

// testPartition is a control partition in memory that all its readers follow at once.
type testPartition struct {
	mu      sync.Mutex
	readers []*Records
	offset  int64
	certain bool
	failing bool
	delay   time.Duration // between the beginning and the end of an append
}

func (p *testPartition) Append(ctx context.Context, records []logstore.Record) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := boottime.Now()
	time.Sleep(p.delay)
	if p.failing {
		return began, false
	}
	for _, r := range records {
		p.offset++
		r.Offset = p.offset
		for _, reader := range p.readers {
			_ = reader.Apply(r, boottime.Now())
		}
	}
	return began, ctx.Err() == nil
}

func (p *testPartition) Certain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.certain
}

func (p *testPartition) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *testPartition) Latency() time.Duration { return 0 }

func newTestHolder(t *testing.T, process string, p *testPartition, duties ...Duty) *Holder {
	recorder, err := telemetry.NewRecorder(process, 0)
	must.NoError(t, err)
	records := NewRecords(testLease)
	p.readers = append(p.readers, records)
	return NewHolder(Config{Host: "host-" + process, Process: process, CallsPerSecond: 50}, records, recorder, duties...)
}

func newTestOffice(t *testing.T, process string, p *testPartition, fence int64) *office {
	return &office{holder: newTestHolder(t, process, p), partition: p, fence: fence}
}

// testCall returns a call that ends with an error, and where its tenure is recorded.
func testCall(err error) (Call, *Tenure) {
	var sent Tenure
	return Call{Subject: "usage", Send: func(_ context.Context, tenure Tenure) error {
		sent = tenure
		return err
	}}, &sent
}

// Guards against a holder that calls while a call of the former one may still arrive, and
// against one that does not wait longer for a call without a response.
func TestNextHolderWaitsForCallsOfTheFormer(t *testing.T) {
	p := &testPartition{certain: true}
	a, b := newTestOffice(t, "a", p, 1), newTestOffice(t, "b", p, 2)
	call, sent := testCall(nil)
	must.NoError(t, a.Call(t.Context(), call))
	must.EqOp(t, Tenure{Holder: "host-a", Fence: 1, Expires: sent.Expires}, *sent)
	must.True(t, sent.Expires.After(boottime.Now()))
	answered := boottime.Now()
	must.NoError(t, b.Call(t.Context(), call))
	must.GreaterEq(t, testLease, boottime.Now().Sub(answered))

	must.ErrorIs(t, a.Call(t.Context(), call), ErrNotHolder, must.Sprint("a higher fencing number is known"))
	unanswered, _ := testCall(ErrOutcomeUnknown)
	called := boottime.Now()
	must.ErrorIs(t, b.Call(t.Context(), unanswered), ErrOutcomeUnknown)
	must.NoError(t, newTestOfficeOf(a, 3).Call(t.Context(), call))
	must.GreaterEq(t, testLease+duty.MinIntentTime, boottime.Now().Sub(called))
}

// newTestOfficeOf returns the office of a later tenure of the same process.
func newTestOfficeOf(o *office, fence int64) *office {
	return &office{holder: o.holder, partition: o.partition, fence: fence}
}

// Guards against calls that are sent although their intent is not known to be stored, was
// stored too slowly, or the tenure is over.
func TestCallIsNotSentWithoutItsIntent(t *testing.T) {
	p := &testPartition{certain: true}
	o := newTestOffice(t, "a", p, 1)
	call, sent := testCall(nil)
	p.failing = true
	must.ErrorIs(t, o.Call(t.Context(), call), ErrNotStored)
	p.failing, p.delay = false, duty.MinIntentTime
	must.ErrorIs(t, o.Call(t.Context(), call), ErrExpired)
	p.delay, p.certain = 0, false
	must.ErrorIs(t, o.Call(t.Context(), call), ErrNotHolder)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	must.ErrorIs(t, o.Call(canceled, call), context.Canceled)
	must.EqOp(t, Tenure{}, *sent)
}

// Guards against a record that is lost, or kept for ever, when the partition is listed anew.
func TestListingRemovesAbsentRecords(t *testing.T) {
	records := NewRecords(testLease)
	listed := logstore.Record{Key: KeyPrefix + "usage/1", Value: []byte("1"), Offset: 5}
	for _, r := range []logstore.Record{
		listed,
		{Key: KeyPrefix + "usage/2", Value: []byte("2"), Offset: 4},
		{Key: KeyPrefix + "usage/3", Value: []byte("3")},
		{Key: KeyPrefix + "scale/1", Value: []byte("4"), Offset: 6},
		{Key: KeyPrefix + "scale/1", Offset: 7},
	} {
		must.NoError(t, records.Apply(r, boottime.Now()))
	}
	records.RemoveAbsent([]logstore.Record{listed})
	found := records.withPrefix(KeyPrefix)
	must.Len(t, 2, found)
	must.EqOp(t, KeyPrefix+"usage/1", found[0].Key)
	must.EqOp(t, KeyPrefix+"usage/3", found[1].Key)
	must.Error(t, records.Apply(logstore.Record{Key: callKeyPrefix + "usage", Value: []byte("{")}, boottime.Now()))
}

// testDuty reports when it is held and released.
type testDuty struct{ changes chan bool }

func (d *testDuty) Hold(ctx context.Context, _ Office) {
	d.changes <- true
	<-ctx.Done()
	d.changes <- false
}

// Guards against a duty that goes on while the ownership is uncertain, and against one that
// is not resumed afterwards.
func TestDutyIsHeldWhileOwnershipIsCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &testPartition{}
		d := &testDuty{changes: make(chan bool)}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			newTestHolder(t, "a", p, d).Hold(ctx, 1, p)
			close(ended)
		}()
		for range 2 {
			p.set(func() { p.certain = true })
			must.True(t, <-d.changes)
			p.set(func() { p.certain = false })
			must.False(t, <-d.changes)
		}
		cancel()
		<-ended
	})
}

// Guards against a record that counts as new because it was listed again, and against an age
// that belongs to the former value.
func TestAgeOfARecordIsThatOfItsValue(t *testing.T) {
	records, now := NewRecords(testLease), boottime.Now()
	key := KeyPrefix + "scale/x"
	apply := func(offset int64, at time.Time) {
		must.NoError(t, records.Apply(logstore.Record{Key: key, Value: []byte("{}"), Offset: offset}, at))
	}
	apply(7, now)
	apply(7, now.Add(time.Minute))
	must.EqOp(t, 2*time.Minute, records.age(key, now.Add(2*time.Minute)))
	apply(8, now.Add(time.Minute))
	must.EqOp(t, time.Minute, records.age(key, now.Add(2*time.Minute)))
	must.EqOp(t, 0, records.age("other", now))
}
