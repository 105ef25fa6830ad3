package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// update is a row or a version that is still being disseminated.
type update struct {
	row     *Row
	version ModelVersion
	sent    int // number of transmissions
}

// Upper bounds of the encoded sizes, which allow filling a packet without
// encoding it for each candidate.
const (
	packetOverhead  = 110 // signature, kind, sequence number, field headers
	rowOverhead     = 28
	versionOverhead = 18
	digestOverhead  = 14
	// packetHeader is the size of the IP and UDP headers.
	packetHeader = 28
)

func memberKey(id string) string     { return "m" + id }
func versionKey(model string) string { return "v" + model }

func (c *Core) enqueueRow(row Row) {
	c.queue.Put(memberKey(row.ID), update{row: &row})
}

// retransmits returns the number of times that this host sends an update. It
// grows with the logarithm of the number of members, so that all of them
// receive the update with high probability, and has a base so that lost packets
// matter little among few members.
func (c *Core) retransmits() int {
	return 4 + 4*int(math.Ceil(math.Log10(float64(c.members.Len()+2))))
}

// send adds pending updates to a message and appends it to the output.
func (c *Core) send(addr string, m Message, out *Output) {
	c.attachSuspicion(&m)
	uncharged := 0 // the budget excludes probes and acks, but not their updates
	if m.Kind != Gossip && m.Kind != Sync {
		uncharged = Size(m) + packetHeader
	}
	c.piggyback(&m)
	minBudget := -float64(c.cfg.BytesPerSecond)
	c.sendBudget = max(minBudget, c.sendBudget-float64(Size(m)+packetHeader-uncharged))
	out.Sends = append(out.Sends, Send{Addr: addr, Message: m})
}

// attachSuspicion adds the receiver's row if this host considers the receiver
// suspect or dead, so that it can refute without waiting for gossip.
func (c *Core) attachSuspicion(m *Message) {
	if e := c.members.Get(m.To); e != nil && e.State != Alive {
		m.Updates = append(m.Updates, e.Row)
	}
}

// piggyback fills the rest of the packet with the updates that were sent least
// often. While the budget is used up, probes carry no updates.
func (c *Core) piggyback(m *Message) {
	if c.queue.Len() == 0 || c.sendBudget <= 0 {
		return
	}
	room := MaxPacketBytes - Size(*m)
	limit := c.retransmits()
	keys := c.queue.Keys()
	slices.SortStableFunc(keys, func(a, b string) int {
		return cmp.Compare(c.queue.Get(a).sent, c.queue.Get(b).sent)
	})
	for _, key := range keys {
		u := c.queue.Get(key)
		need := versionSize(u.version)
		if u.row != nil {
			need = rowSize(*u.row)
		}
		if need > room {
			continue
		}
		room -= need
		if u.row != nil {
			m.Updates = append(m.Updates, *u.row)
		} else {
			m.Versions = append(m.Versions, u.version)
		}
		if u.sent++; u.sent >= limit {
			c.queue.Delete(key)
		}
	}
}

// gossip sends pending updates to random members, so that updates do not wait
// for the next probe.
func (c *Core) gossip(out *Output) {
	for _, target := range c.randomLive(gossipFanout, "") {
		if c.queue.Len() == 0 || c.sendBudget <= 0 {
			return
		}
		c.send(target.Addr, Message{Kind: Gossip, From: c.self.ID, To: target.ID}, out)
	}
}

func (c *Core) refillBudget(gap time.Duration) {
	maxBudget := float64(c.cfg.BytesPerSecond * burstSeconds)
	c.sendBudget = min(maxBudget, c.sendBudget+gap.Seconds()*float64(c.cfg.BytesPerSecond))
}

// Size returns an upper bound of the encoded size of a message.
func Size(m Message) int {
	size := packetOverhead + len(m.From) + len(m.To) + len(m.Subject) + len(m.SubjectAddr) + len(m.SyncDataCentre)
	for _, row := range m.Updates {
		size += rowSize(row)
	}
	for _, v := range m.Versions {
		size += versionSize(v)
	}
	for _, d := range m.Digests {
		size += digestOverhead + len(d.DataCentre)
	}
	return size
}

func rowSize(row Row) int {
	return rowOverhead + len(row.ID) + len(row.DataCentre) + len(row.Addr) + len(row.Reporter)
}

func versionSize(v ModelVersion) int { return versionOverhead + len(v.Model) }
