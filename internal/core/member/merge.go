package member

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reasons of changes: what a message said, or the end of a suspicion.
const (
	reasonUpdate     = "update"
	reasonSync       = "sync"
	reasonNotRefuted = "suspicion not refuted"
)

// Receive handles one message that came from an address.
func (c *Core) Receive(now time.Time, m Message, source string) Output {
	var out Output
	reason := reasonUpdate
	if m.Kind == Sync {
		reason = reasonSync
	}
	if c.left || m.From == c.self.ID || (m.To != "" && m.To != c.self.ID) {
		return out
	}
	for _, row := range m.Updates {
		c.merge(now, row, reason, &out)
	}
	for _, v := range m.Versions {
		c.AnnounceVersion(v.Model, v.Version)
	}
	switch m.Kind {
	case Ping:
		c.answerPing(m, source, &out)
	case Ack:
		c.takeAck(m, &out)
		if m.WantRows {
			c.introduce(m.From, &out)
		}
	case PingRequest:
		c.relayPing(now, m, &out)
	case Sync:
		if m.WantRows {
			c.sendRows(m.From, m.SyncDataCentre, false, &out)
		}
	}
	c.compareDigests(now, m, &out)
	return out
}

// answerPing answers a sender that is not known yet at the packet's source and
// asks for its row.
func (c *Core) answerPing(m Message, source string, out *Output) {
	answer := Message{Kind: Ack, Seq: m.Seq, From: c.self.ID, To: m.From, Subject: c.self.ID}
	if e := c.members.Get(m.From); e != nil {
		source = e.Addr
	} else {
		answer.WantRows = true
	}
	c.send(source, answer, out)
}

// introduce sends this host's row to a member that does not know it.
func (c *Core) introduce(to string, out *Output) {
	if e := c.members.Get(to); e != nil {
		c.send(e.Addr, Message{Kind: Gossip, From: c.self.ID, To: to, Updates: []Row{c.self}}, out)
	}
}

func (c *Core) takeAck(m Message, out *Output) {
	if r := c.relays.Get(m.Seq); r != nil && m.Subject == m.From {
		c.send(r.originAddr, Message{Kind: Ack, Seq: r.originSeq, From: c.self.ID, To: r.origin, Subject: m.Subject}, out)
		c.relays.Delete(m.Seq)
		return
	}
	if p := c.probes.Get(m.Seq); p != nil && p.target == m.Subject {
		c.answered(m.Seq, p)
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
func (c *Core) merge(now time.Time, row Row, reason string, out *Output) {
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
		c.accept(now, e, reason, out)
		return
	}
	if row.Incarnation < e.Incarnation || row.Incarnation == e.Incarnation && row.State < e.State {
		return
	}
	if row.Incarnation == e.Incarnation && row.State == e.State {
		c.confirm(e, row.Reporter)
		return
	}
	grace := time.Time{}
	if row.State == Dead && !row.Leaving && reason != reasonNotRefuted {
		if grace = c.graceOf(now, e); now.Before(grace) && e.State == Suspect {
			e.deadline = earlier(e.deadline, grace)
			return
		} else if e.State == Alive {
			row.State, row.Reporter = Suspect, ""
		}
	}
	c.toggleDigest(e.Row)
	e.Row = row
	c.toggleDigest(e.Row)
	c.accept(now, e, reason, out)
	if e.State == Suspect && !grace.IsZero() {
		e.deadline = grace
	}
}

// graceOf returns the time until which a member may refute a death that another
// host declared. A death that is news to a host which saw no suspicion, or only
// just, comes from the other side of a partition or from a host that just met
// the member again.
func (c *Core) graceOf(now time.Time, e *entry) time.Time {
	since := now
	if e.State == Suspect {
		since = e.changed
	}
	return since.Add(c.stretch(c.times.suspicionMin))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// accept takes the new row of e into force and spreads it. Rows of a Sync are
// not spread: digests show who else lacks them, and spreading whole tables
// would use up the bandwidth when many hosts join.
func (c *Core) accept(now time.Time, e *entry, reason string, out *Output) {
	c.targetsStale, c.liveStale = true, true
	if e.State == Alive {
		c.troubled.Delete(e.ID)
	} else {
		c.troubled.Put(e.ID, struct{}{})
	}
	c.lastChange = now
	e.changed = now
	e.suspectors = nil
	if e.State == Suspect {
		e.suspectors = map[string]bool{e.Reporter: true}
		e.deadline = now.Add(c.suspicion(0))
	}
	if reason != reasonSync {
		c.enqueueRow(e.Row)
	}
	out.Changes = append(out.Changes, Change{Row: e.Row, Reason: reason})
}

// confirm shortens a suspicion that another host came to by its own probe.
func (c *Core) confirm(e *entry, accuser string) {
	if e.State != Suspect || e.suspectors[accuser] || len(e.suspectors) > maxConfirmations {
		return
	}
	before := c.suspicion(len(e.suspectors) - 1)
	e.suspectors[accuser] = true
	e.deadline = e.deadline.Add(c.suspicion(len(e.suspectors)-1) - before)
	row := e.Row
	row.Reporter = accuser
	c.enqueueRow(row)
}

// suspicion is the time that a suspected member has to refute. It falls from
// the maximum to the minimum with the number of further hosts that suspect it,
// so that one host with a bad link cannot have a member declared dead fast.
func (c *Core) suspicion(confirmations int) time.Duration {
	least, most := c.stretch(c.times.suspicionMin), c.stretch(c.times.suspicionMax)
	wanted := min(maxConfirmations, c.members.Len()-1)
	if wanted <= 0 {
		return least
	}
	share := math.Log(float64(confirmations+1)) / math.Log(float64(wanted+1))
	return max(least, most-time.Duration(share*float64(most-least)))
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
	c.troubled.Each(func(id string, _ *struct{}) bool {
		e := c.members.Get(id)
		switch {
		case e.State == Suspect && !now.Before(e.deadline):
			row := e.Row
			row.State, row.Reporter = Dead, ""
			c.merge(now, row, reasonNotRefuted, out)
		case e.State == Dead && now.Sub(e.changed) > forgetAfter:
			c.members.Delete(id)
			c.troubled.Delete(id)
		}
		return true
	})
}
