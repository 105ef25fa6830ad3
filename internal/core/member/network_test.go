package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/member"
	"github.com/sesamestand/sesamestand/internal/gossip"
)

const (
	testLatency = time.Millisecond
	packetHead  = 28 // IP and UDP headers
)

// event is a tick of a host or the arrival of a packet.
type event struct {
	at          time.Time
	order       int
	host        *simHost
	incarnation int // of the host when the event was created
	source      string
	packet      []byte
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simHost is one host of the simulated network.
type simHost struct {
	id, dc, addr       string
	core               *member.Core
	up                 bool
	incarnation        int
	pausedUntil        time.Time
	sent               int // bytes
	highestIncarnation map[string]int64
}

// network simulates hosts with the real codec, so that packet sizes are real.
type network struct {
	now         time.Time
	random      *rand.Rand
	codec       *gossip.Codec
	loss        float64
	partitioned func(from, to *simHost) bool
	hosts       []*simHost
	byAddr      map[string]*simHost
	queue       eventQueue
	order       int
	onChange    func(observer *simHost, change member.Change)
	violation   string // first error or violated invariant
}

func newNetwork(seed uint64, hosts, dataCentres int) *network {
	n := &network{now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		codec: gossip.NewCodec("token"), byAddr: map[string]*simHost{}}
	for i := range hosts {
		h := &simHost{id: fmt.Sprintf("entry-%03d", i), dc: fmt.Sprintf("dc-%02d", i%dataCentres),
			addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1), highestIncarnation: map[string]int64{}}
		n.hosts = append(n.hosts, h)
		n.byAddr[h.addr] = h
		n.start(h)
	}
	return n
}

func (n *network) start(h *simHost) {
	h.up = true
	h.incarnation++
	h.pausedUntil = time.Time{}
	h.highestIncarnation = map[string]int64{}
	h.core = member.New(member.Config{
		Self:  member.Row{ID: h.id, DataCentre: h.dc, Addr: h.addr, Incarnation: n.now.UnixMilli()},
		Seeds: []string{n.hosts[0].addr, n.hosts[len(n.hosts)/2].addr}, RandomSeed: n.random.Uint64(),
	}, n.now)
	n.push(event{at: n.now.Add(time.Duration(n.random.Int64N(int64(h.core.TickInterval())))), host: h, incarnation: h.incarnation})
}

func (n *network) push(e event) {
	n.order++
	e.order = n.order
	heap.Push(&n.queue, e)
}

// run advances the simulation.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		h := e.host
		switch {
		case !h.up || e.packet == nil && e.incarnation != h.incarnation:
		case n.now.Before(h.pausedUntil): // packets and timers wait until the host resumes
			e.at = h.pausedUntil
			n.push(e)
		case e.packet != nil:
			m, err := n.codec.Decode(e.packet)
			if err != nil {
				n.violation = err.Error()
				continue
			}
			n.execute(h, h.core.Receive(n.now, m, e.source))
		default:
			n.execute(h, h.core.Tick(n.now))
			n.push(event{at: n.now.Add(h.core.TickInterval()), host: h, incarnation: h.incarnation})
		}
	}
	n.now = end
}

func (n *network) execute(h *simHost, out member.Output) {
	for _, send := range out.Sends {
		data, err := n.codec.Encode(send.Message)
		if err != nil {
			n.violation = err.Error()
			continue
		}
		h.sent += len(data) + packetHead
		to := n.byAddr[send.Addr]
		if to == nil || n.random.Float64() < n.loss || n.partitioned != nil && n.partitioned(h, to) {
			continue
		}
		n.push(event{at: n.now.Add(testLatency), host: to, source: h.addr, packet: data})
	}
	for _, change := range out.Changes {
		if change.Row.Incarnation < h.highestIncarnation[change.Row.ID] {
			n.violation = fmt.Sprintf("%s saw the incarnation of %s decrease", h.id, change.Row.ID)
		}
		h.highestIncarnation[change.Row.ID] = change.Row.Incarnation
		if n.onChange != nil {
			n.onChange(h, change)
		}
	}
}

// disagreement describes the first running host whose membership or versions
// are wrong, or returns an empty string if all hosts agree.
func (n *network) disagreement(versions map[string]int64) string {
	for _, h := range n.hosts {
		if !h.up {
			continue
		}
		rows := h.core.Rows()
		for _, other := range n.hosts {
			if other == h {
				continue
			}
			at := slices.IndexFunc(rows, func(r member.Row) bool { return r.ID == other.id })
			if alive := at >= 0 && rows[at].State == member.Alive; alive != other.up {
				return fmt.Sprintf("%s has alive=%v for %s, whose process is running=%v", h.id, alive, other.id, other.up)
			}
			if at >= 0 && other.up && rows[at] != other.core.Self() {
				return fmt.Sprintf("%s has row %+v, want %+v", h.id, rows[at], other.core.Self())
			}
		}
		for model, version := range versions {
			if got := h.core.NewestVersion(model); got != version {
				return fmt.Sprintf("%s has version %d of %s, want %d", h.id, got, model, version)
			}
		}
	}
	return ""
}

// waitForAgreement runs the simulation until all hosts agree, at most for the
// limit.
func (n *network) waitForAgreement(limit time.Duration, versions map[string]int64) string {
	mismatch := "not run"
	for end := n.now.Add(limit); n.now.Before(end) && n.violation == ""; {
		n.run(time.Second)
		if mismatch = n.disagreement(versions); mismatch == "" {
			return ""
		}
	}
	if n.violation != "" {
		return n.violation
	}
	return mismatch
}
