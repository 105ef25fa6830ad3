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

// Model of the comparison, in milliseconds unless named otherwise.
const (
	modelHosts      = 10
	modelRate       = 50 // confirmations a second
	modelLength     = 120_000
	modelOutageFrom = 40_000
	modelOutageTo   = 70_000
	modelDeathAt    = 50_000
	modelDetection  = 3_000 // from a death until membership knows it
	modelAppend     = 5
	modelCall       = 20     // time of one call at the backend server
	modelRepeat     = 1_000  // from a refusal "not run" until the caller tries again
	modelBroken     = 50     // from a broken connection until the caller tries again
	modelGivesUp    = 10_000 // the caller tries no longer than this
	modelRanges     = 64     // key ranges of the leases
)

// modelCaller is one confirmation, tried until it is answered or unknown.
type modelCaller struct {
	key           Key
	issued, again int
	host          int
	state         string // "", "waiting", "answered", "unknown", "not run"
	attempt       int64
	refused       bool // at least one try was refused as not run
}

// confirmer is one way to run confirmations once. Try returns "answered",
// "not run", "unknown", "broken" or "waiting".
type confirmer interface {
	tick(now int)
	try(c *modelCaller, now int) string
	poll(c *modelCaller, now int) string
}

type modelFault struct {
	name          string
	outage, death bool
}

func (f modelFault) out(now int) bool {
	return f.outage && now >= modelOutageFrom && now < modelOutageTo
}
func (f modelFault) dead(host, now int) bool { return f.death && host == 0 && now >= modelDeathAt }
func (f modelFault) at(now int) time.Time    { return time.UnixMilli(1_700_000_000_000 + int64(now)) }

// runModel runs all callers against a confirmer and counts their ends.
func runModel(f modelFault, way confirmer) map[string]int {
	arrivals, choices := rand.New(rand.NewPCG(42, 1)), rand.New(rand.NewPCG(42, 2))
	counts := make(map[string]int)
	var open []*modelCaller
	for now := 0; now < modelLength+2*modelGivesUp; now++ {
		way.tick(now)
		if now < modelLength && arrivals.IntN(1000) < modelRate {
			open = append(open, &modelCaller{key: modelKey(f, now, arrivals), issued: now, again: now})
			counts["calls"]++
		}
		kept := open[:0]
		for _, c := range open {
			advance(f, way, c, now, choices)
			if c.state == "" || c.state == "waiting" {
				kept = append(kept, c)
				continue
			}
			counts[c.state]++
			if c.refused {
				counts["refused first"]++
			}
		}
		open = kept
	}
	return counts
}

func advance(f modelFault, way confirmer, c *modelCaller, now int, random *rand.Rand) {
	result := "waiting"
	switch {
	case c.state == "waiting":
		result = way.poll(c, now)
	case now >= c.again:
		c.host = random.IntN(modelHosts)
		if f.dead(c.host, now) {
			c.again = now + modelBroken // the balancer's choice cannot be connected
			return
		}
		result = way.try(c, now)
	default:
		return
	}
	switch result {
	case "waiting", "answered", "unknown":
		c.state = result
	case "broken":
		c.state, c.again = "", now+modelBroken
	case "not run":
		c.state, c.again, c.refused = "", now+modelRepeat, true
		if now-c.issued > modelGivesUp {
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

// intentWay runs the real ledgers against a log in memory.
type intentWay struct {
	fault   modelFault
	hosts   [modelHosts]*Ledger
	records []platform.Record
	batches [modelHosts]*Batch
	ready   [modelHosts]int // end of the append in flight
	running map[[2]int64]int
	nonces  int
}

func newIntentWay(f modelFault) confirmer {
	w := &intentWay{fault: f, running: make(map[[2]int64]int)}
	for i := range w.hosts {
		w.hosts[i] = NewLedger(Config{
			Self: Originator{fmt.Sprint(i), 1}, StartTime: f.at(-60_000), Retention: 24 * time.Hour, MaxClockSkew: time.Millisecond,
			GrantTimeout: 5 * time.Second, ResendInterval: 300 * time.Millisecond, MaxReadAge: 2500 * time.Millisecond, MaxOpenAttempts: 4096, MaxResultBytes: 1 << 20,
		})
	}
	return w
}

func (w *intentWay) tick(now int) {
	at := w.fault.at(now)
	for i, l := range w.hosts {
		if w.fault.dead(i, now) {
			continue
		}
		if !w.fault.out(now) && (l.NextOffset() < int64(len(w.records)) || now%500 == 0) {
			next := int64(len(w.records))
			for _, view := range l.Apply(platform.Page{Records: w.records[l.NextOffset():], Next: next, End: next}, at) {
				if view.Stage == StageGranted && l.ClaimSend(view.ID, at) {
					w.running[[2]int64{int64(i), view.ID}] = now + modelCall
				}
			}
		}
		if w.fault.out(now) && now%500 == 0 {
			l.RecordReadFailure()
		}
		if now%50 == 0 {
			l.Tick(at)
		}
		w.append(i, l, now)
	}
	for id, end := range w.running {
		if now >= end && !w.fault.dead(int(id[0]), now) {
			w.hosts[id[0]].Finish(id[1], Result{Status: 200}, at)
			delete(w.running, id)
		}
	}
}

func (w *intentWay) append(i int, l *Ledger, now int) {
	switch {
	case w.batches[i] == nil:
		if batch := l.NextBatch(500, w.fault.at(now)); len(batch.Records) > 0 {
			w.batches[i], w.ready[i] = &batch, now+modelAppend
		}
	case now >= w.ready[i]:
		outcome := AppendRefused
		if !w.fault.out(now) {
			outcome = AppendStored
			for _, r := range w.batches[i].Records {
				w.records = append(w.records, decided(r, w.fault.at(now), int64(len(w.records))))
			}
		}
		l.RecordAppend(*w.batches[i], outcome, w.fault.at(now))
		w.batches[i] = nil
	}
}

func (w *intentWay) try(c *modelCaller, now int) string {
	w.nonces++
	deadline := w.fault.at(c.issued + modelGivesUp + 1)
	return w.result(c, w.hosts[c.host].Begin(c.key, testNonce(w.nonces), deadline, w.fault.at(now)), now)
}

func (w *intentWay) poll(c *modelCaller, now int) string {
	if w.fault.dead(c.host, now) {
		return "broken"
	}
	return w.result(c, w.hosts[c.host].View(c.attempt), now)
}

func (w *intentWay) result(c *modelCaller, view View, now int) string {
	c.attempt = view.ID
	if view.Stage == StageConflict {
		author := int(view.Originator.Host[0] - '0')
		if w.fault.dead(author, now) {
			return "unknown"
		}
		view = w.hosts[author].ByNonce(c.key, view.Nonce)
	}
	switch {
	case view.Stage == StageDone:
		return "answered"
	case view.Stage == StageUnknown:
		return "unknown"
	case view.Stage == StageAbandoned && !view.WasActive:
		return w.others(c, now)
	case view.Stage == StageAbandoned:
		return "not run"
	}
	return "waiting"
}

// others asks all hosts, as a refusing host does.
func (w *intentWay) others(c *modelCaller, now int) string {
	for i, l := range w.hosts {
		switch {
		case w.fault.dead(i, now) && (now < modelDeathAt+modelDetection || c.issued < modelDeathAt+modelDetection):
			return "unknown"
		case w.fault.dead(i, now):
		case l.ByKey(c.key, w.fault.at(now)).Stage != StageAbandoned:
			return "unknown"
		}
	}
	return "not run"
}

// leaseWay is a model of leases on key ranges. A range's holder remembers the
// keys that it ran. A takeover is a record in the log with a new epoch; keys
// issued before it are unknown, because the former holder's memory is gone.
type leaseWay struct {
	fault    modelFault
	takeover int // time at which the dead host's ranges had a new holder, 0 for not yet
	running  map[Key]int
}

func newLeaseWay(f modelFault) confirmer { return &leaseWay{fault: f, running: make(map[Key]int)} }

func (w *leaseWay) tick(now int) {
	detected := w.fault.death && now >= modelDeathAt+modelDetection
	if detected && w.takeover == 0 && !w.fault.out(now) {
		w.takeover = now + modelAppend
	}
}

// holder returns the first holder of the key's range.
func holderOf(key Key) int {
	h := fnv.New32a()
	_, _ = h.Write(key[:])
	return int(h.Sum32()%modelRanges) % modelHosts
}

func (w *leaseWay) try(c *modelCaller, now int) string {
	if w.fault.dead(holderOf(c.key), now) {
		switch {
		case w.takeover == 0 || now < w.takeover:
			if _, sent := w.running[c.key]; sent {
				return "unknown" // the connection to the holder broke
			}
			return "not run" // the holder cannot be connected
		case c.issued < w.takeover:
			return "unknown"
		}
	}
	if _, sent := w.running[c.key]; !sent {
		w.running[c.key] = now + modelCall
	}
	return "waiting"
}

func (w *leaseWay) poll(c *modelCaller, now int) string {
	switch holder := holderOf(c.key); {
	case w.fault.dead(c.host, now):
		return "broken"
	case w.fault.dead(holder, now) && c.issued < modelDeathAt:
		return "unknown"
	case now >= w.running[c.key]:
		return "answered"
	}
	return "waiting"
}

// BenchmarkRefusals compares intents in the log with leases on key ranges: how
// many tray confirmations end refused or unknown during an outage of the log
// and after the death of a host. It prints a table.
func BenchmarkRefusals(b *testing.B) {
	faults := []modelFault{{name: "none"}, {name: "log outage", outage: true}, {name: "host death", death: true}, {name: "both", outage: true, death: true}}
	ways := []struct {
		name string
		make func(modelFault) confirmer
	}{{"intents", newIntentWay}, {"leases", newLeaseWay}}
	for b.Loop() {
		var table strings.Builder
		fmt.Fprintf(&table, "%-8s %-11s %6s %9s %8s %8s %14s\n", "way", "fault", "calls", "answered", "not run", "unknown", "refused first")
		for _, way := range ways {
			for _, f := range faults {
				n := runModel(f, way.make(f))
				fmt.Fprintf(&table, "%-8s %-11s %6d %9d %8d %8d %14d\n", way.name, f.name,
					n["calls"], n["answered"], n["not run"], n["unknown"], n["refused first"])
			}
		}
		b.Log(strings.TrimSpace(table.String()))
	}
}
