package member

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Receive handles one message that came from an address.
func (c *Core) Receive(now time.Time, m Message, source string) Output {
	var out Output
	if c.left || m.From == c.self.ID || (m.To != "" && m.To != c.self.ID) {
		return out
	}
	for _, row := range m.Updates {
		c.merge(now, row, m.From, "update", &out)
	}
	for _, v := range m.Versions {
		c.Announce(v.Model, v.Version)
	}
	switch m.Kind {
	case Ping:
		c.answerPing(m, source, &out)
	case Ack:
		c.takeAck(m, &out)
	case PingRequest:
		c.relayPing(now, m, &out)
	case Sync:
		if m.WantRows {
			c.sendRows(m.From, m.SyncOf, false, &out)
		}
	}
	c.compareDigests(now, m, &out)
	return out
}

// answerPing answers a sender that is not known yet at the packet's source.
func (c *Core) answerPing(m Message, source string, out *Output) {
	if e := c.members.Get(m.From); e != nil {
		source = e.Addr
	}
	c.send(source, Message{Kind: Ack, Seq: m.Seq, From: c.self.ID, To: m.From, Subject: c.self.ID}, out)
}

func (c *Core) takeAck(m Message, out *Output) {
	if r := c.relays.Get(m.Seq); r != nil && m.Subject == m.From {
		c.send(r.originAddr, Message{Kind: Ack, Seq: r.originSeq, From: c.self.ID, To: r.origin, Subject: m.Subject}, out)
		c.relays.Delete(m.Seq)
		return
	}
	if p := c.probes.Get(m.Seq); p != nil && p.target == m.Subject {
		c.probes.Delete(m.Seq)
	}
}

func (c *Core) relayPing(now time.Time, m Message, out *Output) {
	origin := c.members.Get(m.From)
	if origin == nil {
		return
	}
	seq := c.random.Uint64()
	c.relays.Put(seq, relay{origin: m.From, originAddr: origin.Addr, originSeq: m.Seq, sent: now})
	c.send(m.SubjectAddr, Message{Kind: Ping, Seq: seq, From: c.self.ID, To: m.Subject}, out)
}

// merge applies what another member says about a member. The row with the
// higher incarnation wins, and in one incarnation the higher state.
func (c *Core) merge(now time.Time, row Row, from, reason string, out *Output) {
	if row.ID == c.self.ID {
		c.refute(row)
		return
	}
	e := c.members.Get(row.ID)
	if e == nil {
		if row.State == Dead {
			return // nothing to do for a member that was never met
		}
		e = c.members.Put(row.ID, entry{Row: row, hash: xxhash.Sum64String(row.ID)})
		c.toggleDigest(e.Row)
		c.accept(now, e, from, reason, out)
		return
	}
	if row.Incarnation < e.Incarnation || row.Incarnation == e.Incarnation && row.State < e.State {
		return
	}
	if row.Incarnation == e.Incarnation && row.State == e.State {
		c.confirm(e, from)
		return
	}
	// A death that is news to a host which saw no suspicion comes from the
	// other side of a partition or from a host that just met the member again.
	// The member gets the time of a suspicion to refute it.
	if row.State == Dead && e.State == Alive && !row.Leaving {
		row.State = Suspect
	}
	c.toggleDigest(e.Row)
	e.Row = row
	c.toggleDigest(e.Row)
	c.accept(now, e, from, reason, out)
}

// accept takes the new row of e into force and spreads it.
func (c *Core) accept(now time.Time, e *entry, from, reason string, out *Output) {
	c.targetsStale = true
	e.changed = now
	e.suspectors = nil
	if e.State == Suspect {
		e.suspectors = map[string]bool{from: true}
		e.deadline = now.Add(c.suspicion(0))
	}
	c.enqueueRow(e.Row)
	out.Changes = append(out.Changes, Change{Row: e.Row, Reason: reason})
}

// confirm shortens a suspicion that another host shares.
func (c *Core) confirm(e *entry, from string) {
	if e.State != Suspect || e.suspectors[from] || len(e.suspectors) > maxConfirmations {
		return
	}
	before := c.suspicion(len(e.suspectors) - 1)
	e.suspectors[from] = true
	e.deadline = e.deadline.Add(c.suspicion(len(e.suspectors)-1) - before)
	c.enqueueRow(e.Row)
}

// suspicion is the time that a suspected member has to refute. It falls from
// the maximum to the minimum with the number of further hosts that suspect it,
// so that one host with a bad link cannot have a member declared dead fast.
func (c *Core) suspicion(confirmations int) time.Duration {
	wanted := min(maxConfirmations, c.members.Len()-1)
	if wanted <= 0 {
		return c.times.suspicionMin
	}
	share := math.Log(float64(confirmations+1)) / math.Log(float64(wanted+1))
	span := float64(c.times.suspicionMax - c.times.suspicionMin)
	return max(c.times.suspicionMin, c.times.suspicionMax-time.Duration(share*span))
}

// refute answers a row about this host that is not its own.
func (c *Core) refute(row Row) {
	if row.Incarnation < c.self.Incarnation {
		return
	}
	if row.Incarnation == c.self.Incarnation && row.State == Alive {
		return
	}
	next := c.self
	next.Incarnation = row.Incarnation + 1
	c.setSelf(next)
}

func (c *Core) expireSuspicions(now time.Time, out *Output) {
	c.members.Each(func(id string, e *entry) bool {
		switch {
		case e.State == Suspect && !now.Before(e.deadline):
			row := e.Row
			row.State = Dead
			c.merge(now, row, c.self.ID, "suspicion not refuted", out)
		case e.State == Dead && now.Sub(e.changed) > forgetAfter:
			c.members.Delete(id)
		}
		return true
	})
}
