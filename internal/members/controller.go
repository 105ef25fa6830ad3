package members

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/member"
	"github.com/sesamestand/sesamestand/internal/gossip"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Config configures a Controller.
type Config struct {
	// Self is this entry host. An incarnation of 0 is replaced by the current
	// time in milliseconds, because each process of a host needs a higher
	// incarnation than the previous one and hosts store no counter across
	// restarts.
	Self          cluster.Member
	Seeds         []string // IP:port of other entry hosts
	ClusterToken  string
	ProbeInterval time.Duration
	Recorder      *telemetry.Recorder
}

// Controller implements cluster.Members and cluster.Versions.
type Controller struct {
	cfg Config

	mu        sync.Mutex // guards core and transport
	core      *member.Core
	transport *gossip.Transport
	snapshot  atomic.Pointer[snapshot]
}

// snapshot is an immutable copy of the membership for readers.
type snapshot struct {
	self cluster.Member
	all  []cluster.Member
}

var (
	_ cluster.Members  = (*Controller)(nil)
	_ cluster.Versions = (*Controller)(nil)
)

// New returns a Controller that knows only this host until Run is called.
func New(cfg Config) *Controller {
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = time.Now().UnixMilli()
	}
	c := &Controller{cfg: cfg}
	c.core = member.New(member.Config{
		Self: member.Row{ID: cfg.Self.ID, DataCentre: cfg.Self.DataCentre, Addr: cfg.Self.PeerAddr,
			Incarnation: cfg.Self.Incarnation},
		Seeds:         cfg.Seeds,
		ProbeInterval: cfg.ProbeInterval,
		RandomSeed:    randomSeed(),
	}, time.Now())
	c.publish()
	return c
}

// Run opens the UDP socket and takes part in membership until ctx ends. If the
// host announced that it is leaving, it then announces its shutdown. Otherwise it
// sends nothing, and the failure detectors of the other hosts find it dead.
func (c *Controller) Run(ctx context.Context) error {
	transport, err := gossip.Listen(c.cfg.Self.PeerAddr, c.cfg.ClusterToken, c.cfg.Recorder)
	if err != nil {
		return eris.Wrapf(err, "run membership of host %q", c.cfg.Self.ID)
	}
	c.mu.Lock()
	c.transport = transport
	c.mu.Unlock()
	receiveCtx, stopReceiving := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return transport.Receive(receiveCtx, c.receive) })
	c.tickUntil(ctx)
	c.step(func(time.Time) member.Output {
		if !c.core.Self().Leaving {
			return member.Output{}
		}
		return c.core.Shutdown()
	})
	stopReceiving()
	return group.Wait()
}

// Leave announces that this host is leaving. The host continues to respond to
// probes until the context of Run ends.
func (c *Controller) Leave(context.Context) error {
	c.step(func(now time.Time) member.Output {
		c.core.Leave()
		return c.core.Tick(now)
	})
	return nil
}

// Self returns this entry host.
func (c *Controller) Self() cluster.Member { return c.snapshot.Load().self }

// All returns every known member, dead ones included, ordered by ID.
func (c *Controller) All() []cluster.Member { return slices.Clone(c.snapshot.Load().all) }

// Newest returns the newest known weight version of a model, or 0.
func (c *Controller) Newest(model string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.NewestVersion(model)
}

// Announce raises the newest version of a model; lower values are ignored.
func (c *Controller) Announce(model string, version int64) {
	c.step(func(now time.Time) member.Output {
		if !c.core.AnnounceVersion(model, version) {
			return member.Output{}
		}
		return c.core.Tick(now)
	})
}

func (c *Controller) tickUntil(ctx context.Context) {
	ticker := time.NewTicker(c.core.TickInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.step(c.core.Tick)
		}
	}
}

func (c *Controller) receive(r gossip.Received) {
	c.step(func(now time.Time) member.Output { return c.core.Receive(now, r.Message, r.Source) })
}

// step runs one step of the core and performs its output: it publishes the new
// membership, sends messages and reports changes.
func (c *Controller) step(run func(now time.Time) member.Output) {
	c.mu.Lock()
	before := c.core.Self()
	out := run(time.Now())
	transport := c.transport
	if len(out.Changes) > 0 || before != c.core.Self() {
		c.publish()
	}
	c.mu.Unlock()
	if transport != nil {
		for _, send := range out.Sends {
			transport.Send(send)
		}
	}
	for _, change := range out.Changes {
		c.report(change)
	}
}

func (c *Controller) report(change member.Change) {
	state := stateOf(change.Row)
	klog.V(1).InfoS("member state changed", "host", c.cfg.Self.ID, "member", change.Row.ID, "state", stateName(state),
		"incarnation", change.Row.Incarnation, "reason", change.Reason)
	if c.cfg.Recorder != nil {
		c.cfg.Recorder.Count("member_changes_total", "state", stateName(state))
	}
}

// publish replaces the snapshot for readers. The caller must hold c.mu, except in
// New.
func (c *Controller) publish() {
	rows := append(c.core.Rows(), c.core.Self())
	slices.SortFunc(rows, func(a, b member.Row) int { return strings.Compare(a.ID, b.ID) })
	next := &snapshot{self: toMember(c.core.Self()), all: make([]cluster.Member, len(rows))}
	for i, row := range rows {
		next.all[i] = toMember(row)
	}
	c.snapshot.Store(next)
}

func toMember(row member.Row) cluster.Member {
	return cluster.Member{ID: row.ID, DataCentre: row.DataCentre, PeerAddr: row.Addr,
		Incarnation: row.Incarnation, State: stateOf(row)}
}

func stateOf(row member.Row) cluster.MemberState {
	switch {
	case row.State == member.Dead:
		return cluster.MemberDead
	case row.Leaving:
		return cluster.MemberLeaving
	case row.State == member.Suspect:
		return cluster.MemberSuspect
	}
	return cluster.MemberAlive
}

func stateName(state cluster.MemberState) string {
	switch state {
	case cluster.MemberDead:
		return "dead"
	case cluster.MemberLeaving:
		return "leaving"
	case cluster.MemberSuspect:
		return "suspect"
	}
	return "alive"
}

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	return binary.LittleEndian.Uint64(seed[:])
}
