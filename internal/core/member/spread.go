package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// update is a row or a version that is still being spread.
type update struct {
	row     *Row
	version ModelVersion
	sent    int
}

// Upper bounds of the encoded sizes, so that a packet is filled without
// encoding it for each candidate.
const (
	packetOverhead  = 110 // signature, kind, sequence number, field headers
	rowOverhead     = 28
	versionOverhead = 18
	digestOverhead  = 14
	// packetHeader is what IP and UDP add to a packet.
	packetHeader = 28
)

func memberKey(id string) string     { return "m" + id }
func versionKey(model string) string { return "v" + model }

func (c *Core) enqueueRow(row Row) {
	c.queue.Put(memberKey(row.ID), update{row: &row})
}

// retransmits is the number of times that an update is sent by this host; it
// grows with the logarithm of the number of members so that all hear of it
// with high probability, and has a base so that lost packets matter little
// among few members.
func (c *Core) retransmits() int {
	return 4 + 4*int(math.Ceil(math.Log10(float64(c.members.Len()+2))))
}

// send completes a message with updates and appends it to the output.
func (c *Core) send(addr string, m Message, out *Output) {
	c.accuse(&m)
	free := 0 // probes and their answers are not charged
	if m.Kind != Gossip && m.Kind != Sync {
		free = Size(m) + packetHeader
	}
	c.piggyback(&m)
	floor := -float64(c.cfg.BytesPerSecond)
	c.budget = max(floor, c.budget-float64(Size(m)+packetHeader-free))
	out.Sends = append(out.Sends, Send{Addr: addr, Message: m})
}

// accuse tells the receiver what this host holds against it, so that it can
// refute without waiting for gossip.
func (c *Core) accuse(m *Message) {
	if e := c.members.Get(m.To); e != nil && e.State != Alive {
		m.Updates = append(m.Updates, e.Row)
	}
}

// piggyback fills the rest of the packet with the updates that were sent
// least. Probes go out without updates while the budget is used up.
func (c *Core) piggyback(m *Message) {
	if c.queue.Len() == 0 || c.budget <= 0 {
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

// spread sends waiting updates to random members, so that news does not wait
// for the next probe.
func (c *Core) spread(out *Output) {
	for _, target := range c.randomLive(gossipFanout, "") {
		if c.queue.Len() == 0 || c.budget <= 0 {
			return
		}
		c.send(target.Addr, Message{Kind: Gossip, From: c.self.ID, To: target.ID}, out)
	}
}

func (c *Core) refill(gap time.Duration) {
	most := float64(c.cfg.BytesPerSecond * burstSeconds)
	c.budget = min(most, c.budget+gap.Seconds()*float64(c.cfg.BytesPerSecond))
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
