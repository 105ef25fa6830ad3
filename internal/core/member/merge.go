package member

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reasons for the change of a row: a received message, or a suspicion that
// expired.
const (
	reasonUpdate     = "update"
	reasonSync       = "sync"
	reasonNotRefuted = "suspicion not refuted"
)

// Receive handles one message. source is the address of its sender.
func (c *Core) Receive(now time.Time, m Message, source string) Output {
	var out Output
	reason := reasonUpdate
	if m.Kind == Sync {
		reason = reasonSync
	}
	if c.stopped || m.From == c.self.ID || (m.To != "" && m.To != c.self.ID) {
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
		c.acknowledgePing(m, source, &out)
	case Ack:
		c.handleAck(m, &out)
		if m.WantRows {
			c.sendOwnRow(m.From, &out)
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

// acknowledgePing answers a ping. It answers an unknown sender at the packet's
// source address and asks for its row.
func (c *Core) acknowledgePing(m Message, source string, out *Output) {
	ack := Message{Kind: Ack, Seq: m.Seq, From: c.self.ID, To: m.From, Subject: c.self.ID}
	if e := c.members.Get(m.From); e != nil {
		source = e.Addr
	} else {
		ack.WantRows = true
	}
	c.send(source, ack, out)
}

// sendOwnRow sends this host's row to a member that does not know it.
func (c *Core) sendOwnRow(to string, out *Output) {
	if e := c.members.Get(to); e != nil {
		c.send(e.Addr, Message{Kind: Gossip, From: c.self.ID, To: to, Updates: []Row{c.self}}, out)
	}
}

func (c *Core) handleAck(m Message, out *Output) {
	if r := c.relays.Get(m.Seq); r != nil && m.Subject == m.From {
		c.send(r.originAddr, Message{Kind: Ack, Seq: r.originSeq, From: c.self.ID, To: r.origin, Subject: m.Subject}, out)
		c.relays.Delete(m.Seq)
		return
	}
	if p := c.probes.Get(m.Seq); p != nil && p.target == m.Subject {
		c.completeProbe(m.Seq, p)
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

// merge applies the row of a member. The row with the higher incarnation wins,
// and within one incarnation the row with the higher state.
func (c *Core) merge(now time.Time, row Row, reason string, out *Output) {
	if row.ID == c.self.ID {
		c.refute(row)
		return
	}
	e := c.members.Get(row.ID)
	if e == nil {
		if row.State == Dead {
			return // an unknown member needs no removal
		}
		e = c.members.Put(row.ID, entry{Row: row, hash: xxhash.Sum64String(row.ID)})
		c.toggleDigest(e.Row)
		c.applyRow(now, e, reason, out)
		return
	}
	if row.Incarnation < e.Incarnation || row.Incarnation == e.Incarnation && row.State < e.State {
		return
	}
	if row.Incarnation == e.Incarnation && row.State == e.State {
		c.confirmSuspicion(e, row.Reporter)
		return
	}
	refuteUntil := time.Time{}
	if row.State == Dead && !row.Leaving && reason != reasonNotRefuted {
		if refuteUntil = c.refutationDeadline(now, e); now.Before(refuteUntil) && e.State == Suspect {
			e.deadline = earlier(e.deadline, refuteUntil)
			return
		} else if e.State == Alive {
			row.State, row.Reporter = Suspect, ""
		}
	}
	c.toggleDigest(e.Row)
	e.Row = row
	c.toggleDigest(e.Row)
	c.applyRow(now, e, reason, out)
	if e.State == Suspect && !refuteUntil.IsZero() {
		e.deadline = refuteUntil
	}
}

// refutationDeadline returns the time until which a member may refute a death
// that another host declared. If this host saw no suspicion, or saw one only
// recently, the report comes from the other side of a partition or from a host
// that has just reached the member again.
func (c *Core) refutationDeadline(now time.Time, e *entry) time.Time {
	since := now
	if e.State == Suspect {
		since = e.changed
	}
	return since.Add(c.scaleTimeout(c.times.suspicionMin))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// applyRow handles the new row of e and queues it for gossip. Rows of a Sync
// are not queued: digests show which other hosts lack them, and sending whole
// tables by gossip would use up the bandwidth when many hosts join.
func (c *Core) applyRow(now time.Time, e *entry, reason string, out *Output) {
	c.targetsStale, c.liveStale = true, true
	if e.State == Alive {
		c.suspectOrDead.Delete(e.ID)
	} else {
		c.suspectOrDead.Put(e.ID, struct{}{})
	}
	c.lastChange = now
	e.changed = now
	e.reporters = nil
	if e.State == Suspect {
		e.reporters = map[string]bool{e.Reporter: true}
		e.deadline = now.Add(c.suspicionTimeout(0))
	}
	if reason != reasonSync {
		c.enqueueRow(e.Row)
	}
	out.Changes = append(out.Changes, Change{Row: e.Row, Reason: reason})
}

// confirmSuspicion shortens a suspicion that another host reports after its own
// probe failed.
func (c *Core) confirmSuspicion(e *entry, reporter string) {
	if e.State != Suspect || e.reporters[reporter] || len(e.reporters) > maxConfirmations {
		return
	}
	before := c.suspicionTimeout(len(e.reporters) - 1)
	e.reporters[reporter] = true
	e.deadline = e.deadline.Add(c.suspicionTimeout(len(e.reporters)-1) - before)
	row := e.Row
	row.Reporter = reporter
	c.enqueueRow(row)
}

// suspicionTimeout returns the time that a suspected member has to refute. It
// falls from the maximum to the minimum with the number of further hosts that
// report the suspicion, so that one host with a bad link cannot have a member
// declared dead quickly.
func (c *Core) suspicionTimeout(confirmations int) time.Duration {
	shortest, longest := c.scaleTimeout(c.times.suspicionMin), c.scaleTimeout(c.times.suspicionMax)
	maxCount := min(maxConfirmations, c.members.Len()-1)
	if maxCount <= 0 {
		return shortest
	}
	share := math.Log(float64(confirmations+1)) / math.Log(float64(maxCount+1))
	return max(shortest, longest-time.Duration(share*float64(longest-shortest)))
}

// refute raises this host's incarnation above that of a row that reports this
// host as suspect or dead, or that has a higher incarnation.
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
	c.suspectOrDead.Each(func(id string, _ *struct{}) bool {
		e := c.members.Get(id)
		switch {
		case e.State == Suspect && !now.Before(e.deadline):
			row := e.Row
			row.State, row.Reporter = Dead, ""
			c.merge(now, row, reasonNotRefuted, out)
		case e.State == Dead && now.Sub(e.changed) > deadRetention:
			c.members.Delete(id)
			c.suspectOrDead.Delete(id)
		}
		return true
	})
}
