package intent

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/sesamestand/sesamestand/internal/platform"
)

// Parameters of the comparison; times are in milliseconds.
const (
	modelHosts            = 10
	modelRate             = 50      // calls per second
	modelLength           = 120_000 // period in which calls arrive
	modelOutageFrom       = 40_000
	modelOutageTo         = 70_000
	modelHostFailureAt    = 50_000
	modelFailureDetection = 3_000  // from the failure of a host until membership reports it
	modelAppend           = 5      // duration of one append to the log
	modelCall             = 20     // duration of one call at the backend server
	modelRetryDelay       = 1_000  // from a refusal as not run until the caller tries again
	modelReconnectDelay   = 50     // from a broken connection until the caller tries again
	modelCallTimeout      = 10_000 // after which the caller stops trying
	modelRanges           = 64     // key ranges of the leases
)

// modelCaller is the caller of one non-idempotent call, which it repeats until
// the call is answered or its outcome is unknown.
type modelCaller struct {
	key             Key
	issued, retryAt int
	host            int
	state           string // "", "waiting", "answered", "unknown", "not run"
	attempt         int64
	refused         bool // at least one attempt was refused as not run
}

// strategy is a way to run calls at most once. submit and poll return
// "answered", "not run", "unknown", "broken" or "waiting".
type strategy interface {
	tick(now int)
	submit(c *modelCaller, now int) string
	poll(c *modelCaller, now int) string
}

type modelFault struct {
	name                string
	outage, hostFailure bool
}

func (f modelFault) logUnavailable(now int) bool {
	return f.outage && now >= modelOutageFrom && now < modelOutageTo
}
func (f modelFault) hostFailed(host, now int) bool {
	return f.hostFailure && host == 0 && now >= modelHostFailureAt
}
func (f modelFault) at(now int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(now)) }

// runModel runs all callers against a strategy and counts the outcomes.
func runModel(f modelFault, strategyUnderTest strategy) map[string]int {
	arrivals, choices := rand.New(rand.NewPCG(42, 1)), rand.New(rand.NewPCG(42, 2))
	counts := make(map[string]int)
	var open []*modelCaller
	for now := 0; now < modelLength+2*modelCallTimeout; now++ {
		strategyUnderTest.tick(now)
		if now < modelLength && arrivals.IntN(1000) < modelRate {
			open = append(open, &modelCaller{key: modelKey(f, now, arrivals), issued: now, retryAt: now})
			counts["calls"]++
		}
		pending := open[:0]
		for _, c := range open {
			advance(f, strategyUnderTest, c, now, choices)
			if c.state == "" || c.state == "waiting" {
				pending = append(pending, c)
				continue
			}
			counts[c.state]++
			if c.refused {
				counts["refused first"]++
			}
		}
		open = pending
	}
	return counts
}

func advance(f modelFault, strategyUnderTest strategy, c *modelCaller, now int, random *rand.Rand) {
	result := "waiting"
	switch {
	case c.state == "waiting":
		result = strategyUnderTest.poll(c, now)
	case now >= c.retryAt:
		c.host = random.IntN(modelHosts)
		if f.hostFailed(c.host, now) {
			c.retryAt = now + modelReconnectDelay // the load balancer chose a host that refuses connections
			return
		}
		result = strategyUnderTest.submit(c, now)
	default:
		return
	}
	switch result {
	case "waiting", "answered", "unknown":
		c.state = result
	case "broken":
		c.state, c.retryAt = "", now+modelReconnectDelay
	case "not run":
		c.state, c.retryAt, c.refused = "", now+modelRetryDelay, true
		if now-c.issued > modelCallTimeout {
			c.state = "not run"
		}
	}
}

func modelKey(f modelFault, now int, random *rand.Rand) Key {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	for i, shift := range []int{40, 32, 24, 16, 8, 0} {
		id[i] = byte(f.at(now).UnixMilli() >> shift)
	}
	for i := 9; i < 16; i++ {
		id[i] = byte(random.IntN(256))
	}
	return Key(id)
}

// intentStrategy runs the real ledgers against an in-memory log.
type intentStrategy struct {
	fault      modelFault
	hosts      [modelHosts]*Ledger
	records    []platform.Record
	batches    [modelHosts]*Batch
	appendDone [modelHosts]int // end of the append in flight
	running    map[[2]int64]int
	nonces     int
}

func newIntentStrategy(f modelFault) strategy {
	s := &intentStrategy{fault: f, running: make(map[[2]int64]int)}
	for i := range s.hosts {
		s.hosts[i] = NewLedger(Config{
			Self: Originator{fmt.Sprint(i), 1}, StartTime: f.at(-60_000), Retention: 24 * time.Hour, MaxClockSkew: time.Millisecond,
			GrantTimeout: 5 * time.Second, ResendInterval: 300 * time.Millisecond, MaxReadAge: 2500 * time.Millisecond, MaxOpenAttempts: 4096, MaxResultBytes: 1 << 20,
		})
	}
	return s
}

func (s *intentStrategy) tick(now int) {
	at := s.fault.at(now)
	for i, l := range s.hosts {
		if s.fault.hostFailed(i, now) {
			continue
		}
		if !s.fault.logUnavailable(now) && (l.NextOffset() < int64(len(s.records)) || now%500 == 0) {
			next := int64(len(s.records))
			for _, view := range l.Apply(platform.Page{Records: s.records[l.NextOffset():], Next: next, End: next}, at) {
				if view.Stage == StageGranted && l.ClaimSend(view.ID, at) {
					s.running[[2]int64{int64(i), view.ID}] = now + modelCall
				}
			}
		}
		if s.fault.logUnavailable(now) && now%500 == 0 {
			l.RecordReadFailure()
		}
		if now%50 == 0 {
			l.Tick(at)
		}
		s.append(i, l, now)
	}
	for id, end := range s.running {
		if now >= end && !s.fault.hostFailed(int(id[0]), now) {
			s.hosts[id[0]].Finish(id[1], Result{Status: 200}, at)
			delete(s.running, id)
		}
	}
}

func (s *intentStrategy) append(i int, l *Ledger, now int) {
	switch {
	case s.batches[i] == nil:
		if batch := l.NextBatch(500, s.fault.at(now)); len(batch.Records) > 0 {
			s.batches[i], s.appendDone[i] = &batch, now+modelAppend
		}
	case now >= s.appendDone[i]:
		outcome := AppendRefused
		if !s.fault.logUnavailable(now) {
			outcome = AppendStored
			for _, r := range s.batches[i].Records {
				s.records = append(s.records, logRecord(r, s.fault.at(now), int64(len(s.records))))
			}
		}
		l.RecordAppend(*s.batches[i], outcome, s.fault.at(now))
		s.batches[i] = nil
	}
}

func (s *intentStrategy) submit(c *modelCaller, now int) string {
	s.nonces++
	deadline := s.fault.at(c.issued + modelCallTimeout + 1)
	return s.result(c, s.hosts[c.host].Begin(c.key, testNonce(s.nonces), deadline, s.fault.at(now)), now)
}

func (s *intentStrategy) poll(c *modelCaller, now int) string {
	if s.fault.hostFailed(c.host, now) {
		return "broken"
	}
	return s.result(c, s.hosts[c.host].AttemptView(c.attempt), now)
}

func (s *intentStrategy) result(c *modelCaller, view AttemptView, now int) string {
	c.attempt = view.ID
	if view.Stage == StageConflict {
		originator := int(view.Originator.Host[0] - '0')
		if s.fault.hostFailed(originator, now) {
			return "unknown"
		}
		view = s.hosts[originator].ByNonce(c.key, view.Nonce)
	}
	switch {
	case view.Stage == StageDone:
		return "answered"
	case view.Stage == StageUnknown:
		return "unknown"
	case view.Stage == StageAbandoned && !view.WasActive:
		return s.queryAllHosts(c, now)
	case view.Stage == StageAbandoned:
		return "not run"
	}
	return "waiting"
}

// queryAllHosts queries all hosts, as a host does before it refuses a call as not
// run.
func (s *intentStrategy) queryAllHosts(c *modelCaller, now int) string {
	for i, l := range s.hosts {
		switch {
		case s.fault.hostFailed(i, now) && (now < modelHostFailureAt+modelFailureDetection || c.issued < modelHostFailureAt+modelFailureDetection):
			return "unknown"
		case s.fault.hostFailed(i, now):
		case l.ByKey(c.key, s.fault.at(now)).Stage != StageAbandoned:
			return "unknown"
		}
	}
	return "not run"
}

// leaseStrategy is a model of leases on key ranges. The holder of a range
// stores the keys that it ran. A takeover is a record in the log with a new
// epoch; the outcome of keys issued before it is unknown, because the former
// holder's state is lost.
type leaseStrategy struct {
	fault    modelFault
	takeover int // time at which the ranges of the failed host had a new holder, 0 if not yet
	running  map[Key]int
}

func newLeaseStrategy(f modelFault) strategy {
	return &leaseStrategy{fault: f, running: make(map[Key]int)}
}

func (s *leaseStrategy) tick(now int) {
	detected := s.fault.hostFailure && now >= modelHostFailureAt+modelFailureDetection
	if detected && s.takeover == 0 && !s.fault.logUnavailable(now) {
		s.takeover = now + modelAppend
	}
}

// holderOf returns the initial holder of the key's range.
func holderOf(key Key) int {
	h := fnv.New32a()
	_, _ = h.Write(key[:])
	return int(h.Sum32()%modelRanges) % modelHosts
}

func (s *leaseStrategy) submit(c *modelCaller, now int) string {
	if s.fault.hostFailed(holderOf(c.key), now) {
		switch {
		case s.takeover == 0 || now < s.takeover:
			if _, sent := s.running[c.key]; sent {
				return "unknown" // the connection to the holder broke
			}
			return "not run" // the holder is unreachable
		case c.issued < s.takeover:
			return "unknown"
		}
	}
	if _, sent := s.running[c.key]; !sent {
		s.running[c.key] = now + modelCall
	}
	return "waiting"
}

func (s *leaseStrategy) poll(c *modelCaller, now int) string {
	switch holder := holderOf(c.key); {
	case s.fault.hostFailed(c.host, now):
		return "broken"
	case s.fault.hostFailed(holder, now) && c.issued < modelHostFailureAt:
		return "unknown"
	case now >= s.running[c.key]:
		return "answered"
	}
	return "waiting"
}

// BenchmarkRefusals compares intents in the log with leases on key ranges: how
// many calls end refused or unknown during a log outage and after the failure
// of a host. It prints a table.
func BenchmarkRefusals(b *testing.B) {
	faults := []modelFault{{name: "none"}, {name: "log outage", outage: true}, {name: "host death", hostFailure: true}, {name: "both", outage: true, hostFailure: true}}
	strategies := []struct {
		name string
		make func(modelFault) strategy
	}{{"intents", newIntentStrategy}, {"leases", newLeaseStrategy}}
	for b.Loop() {
		var table strings.Builder
		fmt.Fprintf(&table, "%-8s %-11s %6s %9s %8s %8s %14s\n", "strategy", "fault", "calls", "answered", "not run", "unknown", "refused first")
		for _, candidate := range strategies {
			for _, f := range faults {
				n := runModel(f, candidate.make(f))
				fmt.Fprintf(&table, "%-8s %-11s %6d %9d %8d %8d %14d\n", candidate.name, f.name,
					n["calls"], n["answered"], n["not run"], n["unknown"], n["refused first"])
			}
		}
		b.Log(strings.TrimSpace(table.String()))
	}
}
