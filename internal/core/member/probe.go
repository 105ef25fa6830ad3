package member

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probe is a ping that awaits its acknowledgement.
type probe struct {
	target  string
	sent    time.Time
	retries int // after the first ping
}

// relay is a ping sent on behalf of another member.
type relay struct {
	origin, originAddr string
	originSeq          uint64
	sent               time.Time
}

func (c *Core) startProbes(now time.Time, out *Output) {
	if !now.Before(c.nextLocal) {
		c.nextLocal = now.Add(c.cfg.ProbeInterval)
		c.probeNext(now, &c.localRound, c.localTargets, out)
		c.probeRandomInState(now, Suspect, out)
	}
	if !now.Before(c.nextRemote) {
		c.nextRemote = now.Add(c.times.remoteInterval)
		c.probeNext(now, &c.remoteRound, c.remoteProbeTargets, out)
	}
	if !now.Before(c.nextDead) {
		c.nextDead = now.Add(c.times.deadInterval)
		c.probeRandomInState(now, Dead, out)
	}
	if c.digestDue(now) {
		c.nextDigest = now.Add(c.times.digestInterval)
		c.sendDigests(out)
	}
}

// probeNext pings the next member of a round. A round visits each member once
// in random order, which bounds the time until a given member is probed.
func (c *Core) probeNext(now time.Time, round *[]string, targets func() []string, out *Output) {
	for refilled := false; ; {
		if len(*round) == 0 {
			if refilled {
				return
			}
			refilled = true
			*round = targets()
			c.random.Shuffle(len(*round), func(i, j int) { (*round)[i], (*round)[j] = (*round)[j], (*round)[i] })
			continue
		}
		id := (*round)[0]
		*round = (*round)[1:]
		if e := c.members.Get(id); e != nil && e.State != Dead {
			c.ping(now, e, out)
			return
		}
	}
}

func (c *Core) ping(now time.Time, e *entry, out *Output) {
	seq := c.random.Uint64()
	c.probes.Put(seq, probe{target: e.ID, sent: now})
	c.send(e.Addr, Message{Kind: Ping, Seq: seq, From: c.self.ID, To: e.ID}, out)
}

// probeRandomInState pings one random member in the given state. The ping
// includes the member's row, so that the member can refute it: a suspicion
// before it expires, and a death once both sides of a partition reach each
// other again.
func (c *Core) probeRandomInState(now time.Time, state State, out *Output) {
	var found []*entry
	c.suspectOrDead.Each(func(id string, _ *struct{}) bool {
		if e := c.members.Get(id); e.State == state {
			found = append(found, e)
		}
		return true
	})
	if len(found) > 0 {
		c.ping(now, found[c.random.IntN(len(found))], out)
	}
}

// contactSeeds pings seeds whose address belongs to no live member. A host
// joins through the acknowledgement and the exchange of rows that follows.
func (c *Core) contactSeeds(now time.Time, out *Output) {
	if now.Before(c.nextSeed) {
		return
	}
	if len(c.cfg.Seeds) == 0 {
		return
	}
	live := make(map[string]bool)
	c.members.Each(func(_ string, e *entry) bool {
		if e.State != Dead {
			live[e.Addr] = true
		}
		return true
	})
	c.nextSeed = now.Add(c.times.seedInterval)
	var unknown []string
	for _, seed := range c.cfg.Seeds {
		if seed != c.self.Addr && !live[seed] {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) == 0 {
		return
	}
	if len(live) > 0 { // only to discover a separate group of hosts
		c.nextSeed = now.Add(10 * c.times.seedInterval)
		unknown = []string{unknown[c.random.IntN(len(unknown))]}
	}
	for _, seed := range unknown {
		c.send(seed, Message{Kind: Ping, Seq: c.random.Uint64(), From: c.self.ID,
			Updates: []Row{c.self}, Digests: c.digestList()}, out)
	}
}

// expireProbes retries unanswered pings, directly and through other members,
// and suspects the target after the probe timeout.
func (c *Core) expireProbes(now time.Time, out *Output) {
	timeout := c.scaleTimeout(c.times.probeTimeout)
	c.probes.Each(func(seq uint64, p *probe) bool {
		e := c.members.Get(p.target)
		age := now.Sub(p.sent)
		switch {
		case e == nil || e.State == Dead && age >= c.times.directTimeout:
			c.probes.Delete(seq)
		case age >= timeout:
			c.probes.Delete(seq)
			row := e.Row
			row.State, row.Reporter = Suspect, c.self.ID
			c.merge(now, row, "probe failed", out)
		case age >= time.Duration(p.retries+1)*c.times.directTimeout:
			c.retryProbe(seq, p, e, out)
		}
		return true
	})
	c.relays.Each(func(seq uint64, r *relay) bool {
		if now.Sub(r.sent) >= timeout {
			c.relays.Delete(seq)
		}
		return true
	})
}

// retryProbe pings again. The first retry, and every second one after it, also
// goes through other members.
func (c *Core) retryProbe(seq uint64, p *probe, e *entry, out *Output) {
	p.retries++
	c.send(e.Addr, Message{Kind: Ping, Seq: seq, From: c.self.ID, To: e.ID}, out)
	if p.retries%2 == 0 {
		return
	}
	for _, helper := range c.randomLive(indirectHelpers, e.ID) {
		c.send(helper.Addr, Message{Kind: PingRequest, Seq: seq, From: c.self.ID, To: helper.ID,
			Subject: e.ID, SubjectAddr: e.Addr}, out)
	}
}

// completeProbe ends an answered probe and updates the estimate of packet loss:
// a member that answers only a retry indicates loss, not failure.
func (c *Core) completeProbe(seq uint64, p *probe) {
	sample := 0.0
	if p.retries > 0 {
		sample = 1
	}
	c.retryShare += (sample - c.retryShare) * retryShareWeight
	c.probes.Delete(seq)
}

// scaleTimeout lengthens a duration while many pings need retries. With 20%
// packet loss, 36% of the pings do, and with unscaled timeouts running members
// would be declared failed.
func (c *Core) scaleTimeout(d time.Duration) time.Duration {
	return time.Duration(float64(d) * min(maxTimeoutScale, 1+4*c.retryShare))
}

// randomLive returns up to n random members that are not dead, excluding one
// ID.
func (c *Core) randomLive(n int, except string) []*entry {
	if c.liveStale {
		c.liveStale = false
		c.live = c.live[:0]
		c.members.Each(func(_ string, e *entry) bool {
			if e.State != Dead {
				c.live = append(c.live, e)
			}
			return true
		})
	}
	var chosen []*entry
	for i := 0; i < len(c.live) && len(chosen) < n; i++ {
		j := i + c.random.IntN(len(c.live)-i)
		c.live[i], c.live[j] = c.live[j], c.live[i]
		if c.live[i].ID != except {
			chosen = append(chosen, c.live[i])
		}
	}
	return chosen
}

func (c *Core) localTargets() []string {
	var ids []string
	c.members.Each(func(id string, e *entry) bool {
		if e.State != Dead && e.DataCentre == c.self.DataCentre {
			ids = append(ids, id)
		}
		return true
	})
	return ids
}

// remoteProbeTargets returns the members of other data centres for which this
// host is among the remoteProbers hosts of its data centre with the highest
// rendezvous hash. All hosts of the data centre arrive at the same choice
// without exchanging messages.
func (c *Core) remoteProbeTargets() []string {
	if !c.targetsStale {
		return slices.Clone(c.remoteTargets)
	}
	c.targetsStale = false
	var localHashes []uint64
	c.members.Each(func(_ string, e *entry) bool {
		if e.State != Dead && e.DataCentre == c.self.DataCentre {
			localHashes = append(localHashes, e.hash)
		}
		return true
	})
	ownHash := xxhash.Sum64String(c.self.ID)
	c.remoteTargets = c.remoteTargets[:0]
	c.members.Each(func(id string, e *entry) bool {
		if e.State == Dead || e.DataCentre == c.self.DataCentre {
			return true
		}
		higher := 0
		for _, localHash := range localHashes {
			if pairHash(localHash, e.hash) > pairHash(ownHash, e.hash) {
				higher++
			}
		}
		if higher < remoteProbers {
			c.remoteTargets = append(c.remoteTargets, id)
		}
		return true
	})
	return slices.Clone(c.remoteTargets)
}

// pairHash mixes two hashes. It replaces hashing the two names together, which
// is too slow for 550 remote members times 37 hosts.
func pairHash(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	return high ^ low
}
