package capacity

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/core/member"
	"github.com/sesamestand/sesamestand/internal/gossip"
)

const (
	packetHeaderBytes      = 28 // bytes of the IP and UDP headers
	linkDelay              = time.Millisecond
	modelCount             = 28
	versionIntervalSeconds = 120 // seconds between two versions of a model
	hostsPerDataCentre     = 37
)

// event is a tick of a host, or the arrival of a packet if packet is set.
type event struct {
	at       time.Time
	sequence int
	host     *simulatedHost
	source   string
	packet   []byte
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
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

type simulatedHost struct {
	addr string
	core *member.Core
}

// network simulates a cluster of members in virtual time. It uses the production
// codec.
type network struct {
	now      time.Time
	codec    *gossip.Codec
	hosts    []*simulatedHost
	byAddr   map[string]*simulatedHost
	queue    eventQueue
	sequence int
	bytes    int
	failed   error
}

func newNetwork(hosts int) *network {
	n := &network{now: time.Unix(1_700_000_000, 0), codec: gossip.NewCodec("token"), byAddr: map[string]*simulatedHost{}}
	var rows []member.Row
	dataCentres := max(1, (hosts+hostsPerDataCentre/2)/hostsPerDataCentre)
	for i := range hosts {
		addr := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1)
		h := &simulatedHost{addr: addr, core: member.New(member.Config{
			Self: member.Row{ID: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprintf("dc-%02d", i%dataCentres), Addr: addr,
				Incarnation: n.now.UnixMilli()},
			Seeds: []string{"10.0.0.1:7000"}, RandomSeed: uint64(i + 1)}, n.now)}
		n.hosts, n.byAddr[addr], rows = append(n.hosts, h), h, append(rows, h.core.Self())
		offset := h.core.TickInterval() * time.Duration(i) / time.Duration(hosts)
		n.push(event{at: n.now.Add(offset), host: h})
	}
	for _, h := range n.hosts { // start with full membership, as in a long-running system
		h.core.Receive(n.now, member.Message{Kind: member.Sync, From: "table", To: h.core.Self().ID, Updates: rows}, "")
	}
	return n
}

func (n *network) push(e event) {
	n.sequence++
	e.sequence = n.sequence
	heap.Push(&n.queue, e)
}

// run advances the virtual time by d and processes the events that become due.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		if next.packet == nil {
			n.transmit(next.host, next.host.core.Tick(n.now))
			n.push(event{at: n.now.Add(next.host.core.TickInterval()), host: next.host})
			continue
		}
		message, err := n.codec.Decode(next.packet)
		if err != nil {
			n.failed = err
			return
		}
		n.transmit(next.host, next.host.core.Receive(n.now, message, next.source))
	}
	n.now = end
}

func (n *network) transmit(h *simulatedHost, out member.Output) {
	for _, send := range out.Sends {
		data, err := n.codec.Encode(send.Message)
		if err != nil {
			n.failed = err
			return
		}
		n.bytes += len(data) + packetHeaderBytes
		if to := n.byAddr[send.Addr]; to != nil {
			n.push(event{at: n.now.Add(linkDelay), host: to, source: h.addr, packet: data})
		}
	}
}

// announceDueVersions announces the new weight versions that are due in this
// second.
func (n *network) announceDueVersions(second int) {
	for model := range modelCount {
		if model*versionIntervalSeconds/modelCount == second%versionIntervalSeconds {
			n.hosts[model%len(n.hosts)].core.AnnounceVersion(fmt.Sprintf("model-%02d", model), n.now.Unix())
		}
	}
}

// membership measures the traffic, processor time and memory of one host by the
// number of hosts. The processor time includes encoding, signing and the event
// queue of the simulation, but no socket calls.
func membership() ([]Series, error) {
	const warmUp, seconds = 5 * time.Second, 10
	base := Series{Role: "member", Variable: "hosts", Target: 590}
	net, cpu, memory := base, base, base
	net.Name, net.Unit, net.Scale, net.LimitUnit = "membership bytes sent", "B/s", 1e-3, Net
	cpu.Name, cpu.Unit, cpu.Scale, cpu.LimitUnit = "membership processor time", "s/s", 100, CPU
	memory.Name, memory.Unit, memory.Scale, memory.LimitUnit = "membership table", "B", 1e-6, Memory
	for _, hosts := range []int{74, 148, 296, 444} {
		var n *network
		built := measure(func() any { n = newNetwork(hosts); return n })
		n.run(warmUp)
		n.bytes = 0
		ran := measure(func() any {
			for second := range seconds {
				n.announceDueVersions(second)
				n.run(time.Second)
			}
			return n
		})
		if n.failed != nil {
			return nil, eris.Wrap(n.failed, "simulate membership")
		}
		x, perHost := float64(hosts), float64(hosts)
		net.X, net.Y = append(net.X, x), append(net.Y, float64(n.bytes)/perHost/seconds)
		cpu.X, cpu.Y = append(cpu.X, x), append(cpu.Y, ran.cpu/perHost/seconds)
		memory.X, memory.Y = append(memory.X, x), append(memory.Y, (built.heap+ran.heap)/perHost)
	}
	propagation, err := versionPropagation()
	return []Series{net, cpu, memory, propagation}, err
}

// versionPropagation measures the time until a version that one host announces is
// known to every host.
func versionPropagation() (Series, error) {
	const step, limit = 50 * time.Millisecond, 30 * time.Second
	s := Series{Role: "member", Name: "weight version on all hosts", Variable: "log2(hosts)", Unit: "s", Target: math.Log2(590)}
	for _, hosts := range []int{74, 148, 296, 592} {
		n := newNetwork(hosts)
		n.run(5 * time.Second)
		start := n.now
		n.hosts[hosts/2].core.AnnounceVersion("album", 7)
		for !n.allObserved("album", 7) {
			if n.run(step); n.failed != nil || n.now.Sub(start) > limit {
				return s, eris.Errorf("version announcement did not reach all of %d hosts: %v", hosts, n.failed)
			}
		}
		s.X, s.Y = append(s.X, math.Log2(float64(hosts))), append(s.Y, n.now.Sub(start).Seconds())
	}
	return s, nil
}

func (n *network) allObserved(model string, version int64) bool {
	for _, h := range n.hosts {
		if h.core.NewestVersion(model) < version {
			return false
		}
	}
	return true
}
