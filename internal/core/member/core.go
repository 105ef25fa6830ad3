package member

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestand/sesamestand/internal/core/table"
)

// entry is one member with what this host needs to probe it.
type entry struct {
	Row
	hash       uint64 // of the ID
	changed    time.Time
	deadline   time.Time       // end of the suspicion
	suspectors map[string]bool // hosts that said they suspect it
}

// Core is the membership state of one host. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	times     times
	random    *rand.Rand
	self      Row
	left      bool
	members   *table.Table[string, entry]    // without this host
	troubled  *table.Table[string, struct{}] // suspect and dead members
	live      []*entry                       // members that are not dead
	liveStale bool
	versions  *table.Table[string, int64]
	queue     *table.Table[string, update]
	probes    *table.Table[uint64, probe]
	relays    *table.Table[uint64, relay]
	digests   map[string]uint64

	local, remote []string // members still to probe in this round
	targetsStale  bool     // the set of remote members to probe must be rebuilt
	remoteTargets []string

	lastTick, lastChange, nextLocal, nextRemote, nextDead, nextSeed, nextDigest time.Time
	budget                                                                      float64 // bytes that may be sent
	repeated                                                                    float64 // share of probes that needed repeated pings
	syncedAt                                                                    map[string]time.Time
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
		cfg:      cfg,
		times:    deriveTimes(cfg.ProbeInterval),
		random:   rand.New(rand.NewPCG(cfg.RandomSeed, xxhash.Sum64String(cfg.Self.ID))),
		self:     cfg.Self,
		members:  table.New[string, entry](),
		troubled: table.New[string, struct{}](),
		versions: table.New[string, int64](),
		queue:    table.New[string, update](),
		probes:   table.New[uint64, probe](),
		relays:   table.New[uint64, relay](),
		digests:  make(map[string]uint64),
		lastTick: now,
		budget:   float64(cfg.BytesPerSecond * burstSeconds),
		syncedAt: make(map[string]time.Time),
	}
	c.self.State = Alive
	c.toggleDigest(c.self)
	c.enqueueRow(c.self)
	return c
}

// Tick advances the clock: it starts probes, ends suspicions and spreads
// updates. It must be called about five times per probe interval.
func (c *Core) Tick(now time.Time) Output {
	var out Output
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap > c.times.pause {
		c.wakeUp(gap)
	}
	c.refill(gap)
	if c.left {
		return out
	}
	c.contactSeeds(now, &out)
	c.expireProbes(now, &out)
	c.expireSuspicions(now, &out)
	c.startProbes(now, &out)
	c.spread(&out)
	return out
}

// TickInterval is the time between two calls of Tick.
func (c *Core) TickInterval() time.Duration { return c.times.tick }

// wakeUp handles a pause of this process: probes that seem lost and
// suspicions that seem over only show that nobody read the answers.
func (c *Core) wakeUp(gap time.Duration) {
	for _, seq := range c.probes.Keys() {
		c.probes.Delete(seq)
	}
	c.troubled.Each(func(id string, _ *struct{}) bool {
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

// AnnounceVersion raises the newest version of a model and spreads it.
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

// Leave announces that this host is leaving. It goes on to answer and probe.
func (c *Core) Leave() {
	if c.self.Leaving {
		return
	}
	row := c.self
	row.Leaving = true
	row.Incarnation++
	c.setSelf(row)
}

// Shutdown announces the end of this host to some members; afterwards the host
// takes no part any more.
func (c *Core) Shutdown() Output {
	var out Output
	if c.left {
		return out
	}
	c.Leave()
	c.left = true
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
