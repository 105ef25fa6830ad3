package member

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// entry is a member with the state that this host needs to probe it.
type entry struct {
	Row
	hash      uint64          // of the ID
	changed   time.Time       // time of the last change of the row
	deadline  time.Time       // end of the suspicion
	reporters map[string]bool // hosts that reported the suspicion
}

// Core is the membership state of one host. It is not safe for concurrent use.
type Core struct {
	cfg           Config
	times         times
	random        *rand.Rand
	self          Row
	stopped       bool
	members       *table.Table[string, entry]    // without this host
	suspectOrDead *table.Table[string, struct{}] // IDs of the suspect and dead members
	live          []*entry                       // members that are not dead
	liveStale     bool                           // live must be rebuilt
	versions      *table.Table[string, int64]
	queue         *table.Table[string, update]
	probes        *table.Table[uint64, probe]
	relays        *table.Table[uint64, relay]
	digests       map[string]uint64

	localRound, remoteRound []string // members still to probe in this round
	targetsStale            bool     // remoteTargets must be rebuilt
	remoteTargets           []string

	lastTick, lastChange, nextLocal, nextRemote, nextDead, nextSeed, nextDigest time.Time
	sendBudget                                                                  float64              // bytes that may be sent; negative while it is overdrawn
	retryShare                                                                  float64              // moving average of the share of probes that needed retries
	lastSync                                                                    map[string]time.Time // by member and data centre
}

// New returns the membership of a host that knows only itself.
func New(cfg Config, now time.Time) *Core {
	if cfg.ProbeInterval <= 0 {
		cfg.ProbeInterval = defaultProbeInterval
	}
	if cfg.BytesPerSecond <= 0 {
		cfg.BytesPerSecond = defaultBytesPerSecond
	}
	c := &Core{
		cfg:           cfg,
		times:         deriveTimes(cfg.ProbeInterval),
		random:        rand.New(rand.NewPCG(cfg.RandomSeed, xxhash.Sum64String(cfg.Self.ID))),
		self:          cfg.Self,
		members:       table.New[string, entry](),
		suspectOrDead: table.New[string, struct{}](),
		versions:      table.New[string, int64](),
		queue:         table.New[string, update](),
		probes:        table.New[uint64, probe](),
		relays:        table.New[uint64, relay](),
		digests:       make(map[string]uint64),
		lastTick:      now,
		sendBudget:    float64(cfg.BytesPerSecond * burstSeconds),
		lastSync:      make(map[string]time.Time),
	}
	c.self.State = Alive
	c.toggleDigest(c.self)
	c.enqueueRow(c.self)
	return c
}

// Tick advances the time: it starts probes, expires suspicions and sends
// updates. It must be called about five times per probe interval.
func (c *Core) Tick(now time.Time) Output {
	var out Output
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap > c.times.pauseThreshold {
		c.recoverFromPause(gap)
	}
	c.refillBudget(gap)
	if c.stopped {
		return out
	}
	c.contactSeeds(now, &out)
	c.expireProbes(now, &out)
	c.expireSuspicions(now, &out)
	c.startProbes(now, &out)
	c.gossip(&out)
	return out
}

// TickInterval returns the time between two calls of Tick.
func (c *Core) TickInterval() time.Duration { return c.times.tick }

// recoverFromPause handles a pause of this process. Probes without a response
// and suspicions without a refutation only show that no messages were read
// during the pause.
func (c *Core) recoverFromPause(gap time.Duration) {
	for _, seq := range c.probes.Keys() {
		c.probes.Delete(seq)
	}
	c.suspectOrDead.Each(func(id string, _ *struct{}) bool {
		e := c.members.Get(id)
		e.deadline = e.deadline.Add(gap)
		return true
	})
}

// Self returns this host's row.
func (c *Core) Self() Row { return c.self }

// Rows returns all known members ordered by ID, without this host.
func (c *Core) Rows() []Row {
	rows := make([]Row, 0, c.members.Len())
	c.members.Each(func(_ string, e *entry) bool {
		rows = append(rows, e.Row)
		return true
	})
	return rows
}

// NewestVersion returns the newest known version of a model, or 0.
func (c *Core) NewestVersion(model string) int64 {
	if v := c.versions.Get(model); v != nil {
		return *v
	}
	return 0
}

// AnnounceVersion raises the newest version of a model and sends it to the
// other members. It reports whether the version is newer than the known one.
func (c *Core) AnnounceVersion(model string, version int64) bool {
	old := c.NewestVersion(model)
	if version <= old {
		return false
	}
	if old > 0 {
		c.digests[""] ^= versionSum(model, old)
	}
	c.digests[""] ^= versionSum(model, version)
	c.versions.Put(model, version)
	c.queue.Put(versionKey(model), update{version: ModelVersion{Model: model, Version: version}})
	return true
}

// Leave announces that this host is leaving. The host still answers and sends
// probes.
func (c *Core) Leave() {
	if c.self.Leaving {
		return
	}
	row := c.self
	row.Leaving = true
	row.Incarnation++
	c.setSelf(row)
}

// Shutdown announces the end of this host to some members. Afterwards the host
// takes no part in the protocol.
func (c *Core) Shutdown() Output {
	var out Output
	if c.stopped {
		return out
	}
	c.Leave()
	c.stopped = true
	row := c.self
	row.State = Dead
	for _, target := range c.randomLive(2*gossipFanout, "") {
		out.Sends = append(out.Sends, Send{Addr: target.Addr, Message: Message{
			Kind: Gossip, From: c.self.ID, To: target.ID, Updates: []Row{row}}})
	}
	return out
}

func (c *Core) setSelf(row Row) {
	c.toggleDigest(c.self)
	c.self = row
	c.toggleDigest(c.self)
	c.enqueueRow(row)
}
