package intent

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// simulation runs several ledgers against one log and one backend server, with
// faults at every step. All choices come from one seeded source.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	retention time.Duration
	failures  []string

	records        []platform.Record
	earliest       int64
	outage         bool
	pendingAppends []pendingAppend // unanswered appends that may still take effect

	hosts        []*simHost
	incarnations int
	keys         []Key
	runs         map[Key]int // calls that reached the backend server
	calls        []*simCall
	// Counts of what happened, to verify that all cases occurred.
	answered, notRun, unknown, crashes, conflicts int
}

type pendingAppend struct{ records []Record }

type simHost struct {
	name        string
	ledger      *Ledger
	incarnation int
	paused      bool
	batch       *Batch
	granted     []int64 // attempts to send
	sent        []int64 // attempts sent to the backend server and not yet answered
}

// simCall is one request of a caller at one host.
type simCall struct {
	key         Key
	host        *simHost
	incarnation int
	attempt     int64
	nonce       Nonce
	joined      bool // waits for an attempt that another request started
	ran         bool // this request's attempt reached the backend server
	done        bool
	outcome     string
}

const simSkew = time.Second

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000),
		retention: 60 * time.Second, runs: make(map[Key]int),
	}
	for i := range 3 {
		h := &simHost{name: fmt.Sprintf("h%d", i)}
		s.hosts = append(s.hosts, h)
		s.restart(h)
	}
	return s
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

// restart replaces the process of the host by one without state. Its calls end
// without a response.
func (s *simulation) restart(h *simHost) {
	s.incarnations++
	h.incarnation, h.paused, h.batch, h.granted, h.sent = s.incarnations, false, nil, nil, nil
	h.ledger = NewLedger(Config{
		Self: Originator{Host: h.name, Incarnation: int64(s.incarnations)}, StartTime: s.now, Retention: s.retention, MaxClockSkew: simSkew,
		GrantTimeout: 3 * time.Second, ResendInterval: 300 * time.Millisecond, MaxReadAge: 2 * time.Second,
		MaxOpenAttempts: 100, MaxResultBytes: 40,
	})
	for _, c := range s.calls {
		if c.host == h && c.incarnation != h.incarnation {
			c.done = true
		}
	}
}

func (s *simulation) newKey() Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: byte(len(s.keys)), 14: byte(len(s.keys) >> 8)}
	issued := s.now.Add(time.Duration(s.random.IntN(3)-1) * simSkew / 2)
	for i, shift := range []int{40, 32, 24, 16, 8, 0} {
		id[i] = byte(issued.UnixMilli() >> shift)
	}
	s.keys = append(s.keys, Key(id))
	return Key(id)
}

// step performs one random action.
func (s *simulation) step() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch choice := s.random.IntN(1000); {
	case choice < 10:
		s.now = s.now.Add(time.Duration(s.random.IntN(4000)) * time.Millisecond)
		s.expireRecords()
	case choice < 12:
		s.now = s.now.Add(s.retention / 3)
		s.expireRecords()
	case choice < 30 && (s.outage || choice < 16):
		s.outage = !s.outage
	case choice < 35:
		s.crashes++
		s.restart(h)
	case choice < 60 && (h.paused || choice < 45):
		h.paused = !h.paused
	case choice < 80:
		s.applyPending()
	case h.paused:
	case choice < 200:
		s.startRequest(h)
	case choice < 450:
		s.read(h)
	case choice < 700:
		s.write(h)
	case choice < 820:
		s.send(h)
	case choice < 920:
		s.finish(h)
	default:
		s.now = s.now.Add(time.Duration(s.random.IntN(100)) * time.Millisecond)
		h.ledger.Tick(s.now)
	}
	s.collect()
}

func (s *simulation) expireRecords() {
	for s.earliest < int64(len(s.records)) && s.now.Sub(s.records[s.earliest].Time) > s.retention {
		s.earliest++
	}
}

func (s *simulation) startRequest(h *simHost) {
	var key Key
	if len(s.keys) > 0 && s.chance(75) {
		key = s.keys[max(0, len(s.keys)-1-s.random.IntN(4))] // a repeated call, at any host
	} else {
		key = s.newKey()
	}
	nonce := testNonce(len(s.calls))
	deadline := s.now.Add(time.Duration(100+s.random.IntN(8000)) * time.Millisecond)
	view := h.ledger.Begin(key, nonce, deadline, s.now)
	c := &simCall{key: key, host: h, incarnation: h.incarnation, attempt: view.ID, nonce: nonce}
	own := h.ledger.byNonce[nonce]
	c.joined = own == nil
	s.calls = append(s.calls, c)
	if view.Stage.Final() {
		s.finishCall(c, view)
	}
}

// read applies the next page of the log, with a random length.
func (s *simulation) read(h *simHost) {
	if s.outage || s.chance(3) {
		h.ledger.RecordReadFailure()
		return
	}
	end := int64(len(s.records))
	from := min(max(h.ledger.NextOffset(), s.earliest), end)
	next := min(from+int64(1+s.random.IntN(20)), end)
	page := platform.Page{Records: s.records[from:next], Earliest: s.earliest, Next: next, End: end}
	for _, view := range h.ledger.Apply(page, s.now) {
		if view.Stage == StageGranted {
			h.granted = append(h.granted, view.ID)
		}
	}
}

// write starts an append, or ends the one in flight with a random outcome.
func (s *simulation) write(h *simHost) {
	if h.batch == nil {
		if batch := h.ledger.NextBatch(1+s.random.IntN(4), s.now); len(batch.Records) > 0 {
			h.batch = &batch
		}
		return
	}
	batch := *h.batch
	h.batch = nil
	switch {
	case s.outage && s.chance(50) || s.chance(10):
		h.ledger.RecordAppend(batch, AppendRefused, s.now)
	case s.outage || s.chance(15):
		s.pendingAppends = append(s.pendingAppends, pendingAppend{batch.Records})
		h.ledger.RecordAppend(batch, AppendUnknown, s.now)
	case s.chance(15):
		s.store(batch.Records)
		h.ledger.RecordAppend(batch, AppendUnknown, s.now)
	default:
		s.store(batch.Records)
		h.ledger.RecordAppend(batch, AppendStored, s.now)
	}
}

func (s *simulation) store(records []Record) {
	for _, r := range records {
		data, err := r.Encode()
		if err != nil {
			s.fail("encode record: %v", err)
		}
		s.records = append(s.records, platform.Record{Offset: int64(len(s.records)), Time: s.now, Data: data})
	}
}

// applyPending lets an unanswered append take effect, or discards it.
func (s *simulation) applyPending() {
	if len(s.pendingAppends) == 0 {
		return
	}
	i := s.random.IntN(len(s.pendingAppends))
	if s.chance(70) {
		s.store(s.pendingAppends[i].records)
	}
	s.pendingAppends = append(s.pendingAppends[:i], s.pendingAppends[i+1:]...)
}

// send sends a granted attempt to the backend server, or fails just before it.
func (s *simulation) send(h *simHost) {
	if len(h.granted) == 0 {
		return
	}
	id := h.granted[0]
	h.granted = h.granted[1:]
	if !h.ledger.ClaimSend(id, s.now) {
		return
	}
	if h.ledger.ClaimSend(id, s.now) {
		s.fail("attempt %d was claimed for sending twice", id)
	}
	if s.chance(10) {
		h.ledger.FinishUnsent(id, notRun("no-replica", "no connection"), s.now)
		return
	}
	key := h.ledger.attempt(id).key
	if s.runs[key]++; s.runs[key] > 1 {
		s.fail("key %s ran %d times", key, s.runs[key])
	}
	for _, c := range s.calls {
		if c.host == h && c.incarnation == h.incarnation && c.attempt == id {
			c.ran = true
			if c.done && c.outcome == "not-run" {
				s.fail("key %s was refused as not run at %s and ran there later", key, h.name)
			}
		}
	}
	h.sent = append(h.sent, id)
}

func (s *simulation) finish(h *simHost) {
	if len(h.sent) == 0 {
		return
	}
	id := h.sent[0]
	h.sent = h.sent[1:]
	if s.chance(25) {
		h.ledger.FinishUnknown(id, unknown("backend-server-failed", "lost"), s.now)
		return
	}
	h.ledger.Finish(id, Result{Status: 200, Body: []byte(h.ledger.attempt(id).key.String()[:20])}, s.now)
}

// collect ends the calls whose attempt is final, and cancels some others.
func (s *simulation) collect() {
	for _, c := range s.calls {
		if c.done || c.host.paused {
			continue
		}
		view := c.host.ledger.AttemptView(c.attempt)
		if !view.Stage.Final() && !c.joined && s.chance(2) {
			view = c.host.ledger.Cancel(c.attempt, s.now) // the caller disconnects
		}
		if view.Stage.Final() {
			s.finishCall(c, view)
		}
	}
}

// finishCall ends a call and checks that its outcome is correct.
func (s *simulation) finishCall(c *simCall, view AttemptView) {
	c.done = true
	conflict := view.Stage == StageConflict
	if conflict {
		view = s.queryOriginator(c, view)
	}
	switch view.Stage {
	case StageDone:
		c.outcome = "answered"
		s.answered++
		if s.runs[c.key] != 1 || string(view.Result.Body) != c.key.String()[:20] {
			s.fail("key %s was answered with %q after %d runs", c.key, view.Result.Body, s.runs[c.key])
		}
	case StageAbandoned:
		c.outcome = "not-run"
		s.notRun++
		if c.ran {
			s.fail("key %s was refused as not run at %s although it ran", c.key, c.host.name)
		}
		if (view.WasActive || !s.otherHostMayHaveRun(c)) && s.runs[c.key] > 0 {
			s.fail("key %s was refused as not run by all hosts although it ran: conflict %v, refusal %v", c.key, conflict, view.Refusal)
		}
	default:
		c.outcome = "unknown"
		s.unknown++
	}
}

// queryOriginator asks the originator of the active intent for its state.
func (s *simulation) queryOriginator(c *simCall, conflict AttemptView) AttemptView {
	s.conflicts++
	for _, h := range s.hosts {
		if h.name != conflict.Originator.Host || h.paused || s.chance(10) {
			continue
		}
		view := h.ledger.ByNonce(c.key, conflict.Nonce)
		if view.Stage.Final() {
			view.WasActive = false // applies to the originator, not to the host that asks
			return view
		}
	}
	return AttemptView{Stage: StageUnknown}
}

// otherHostMayHaveRun reports whether a host may have run the call, as
// determined by a host that refuses it. All hosts restart under their names
// here, so ByKey covers their earlier incarnations by their start time.
func (s *simulation) otherHostMayHaveRun(c *simCall) bool {
	for _, h := range s.hosts {
		if h.paused || h.ledger.ByKey(c.key, s.now).Stage != StageAbandoned {
			return true
		}
	}
	return false
}

func testNonce(i int) Nonce { return Nonce{0: byte(i), 1: byte(i >> 8), 2: byte(i >> 16), 15: 1} }

func (s *simulation) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}
