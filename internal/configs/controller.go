// Package configs keeps the configuration of an entry host equal to what the
// log's config stream says, and publishes new configurations.
//
// The controller follows the stream with long polls. While the log is out it
// keeps the configuration in force; a host that has none yet, or that missed
// records, takes the newest one from its peers. The version in force never
// decreases.
package configs

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/core/config"
	"github.com/sesamestand/sesamestand/internal/declare"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// Config holds the controller's settings. Zero durations take the defaults.
type Config struct {
	// Retention is how long the log keeps records of the config stream.
	Retention time.Duration
	// PollWait is how long one read waits for a record.
	PollWait time.Duration
	// RetryDelay is the pause after a failed read; it doubles up to maxRetryDelay.
	RetryDelay time.Duration
	// PeerTimeout bounds one question for a snapshot.
	PeerTimeout time.Duration
}

// Defaults and bounds of the controller's timing.
const (
	defaultRetention   = 24 * time.Hour
	defaultPollWait    = 2 * time.Second
	defaultRetryDelay  = 100 * time.Millisecond
	defaultPeerTimeout = time.Second
	maxRetryDelay      = 2 * time.Second
	// readGrace is added to the wait of a read before the read counts as failed.
	// It is longer than the platform client's own limit: with a shorter one a slow
	// log would never be read.
	readGrace = 5 * time.Second
	// appendTimeout bounds the append of a snapshot.
	appendTimeout = 5 * time.Second
)

// Controller follows the config stream. It is safe for concurrent use.
type Controller struct {
	config   Config
	log      platform.Log
	members  cluster.Members
	peers    peer.Clients
	recorder *telemetry.Recorder

	mu       sync.Mutex
	follower *config.Follower
	current  config.State
	ready    bool
	changed  chan struct{} // closed and replaced on each change of current or ready

	nextSnapshot time.Time // earliest time of the next own snapshot; used by Run only
}

var (
	_ cluster.Configs      = (*Controller)(nil)
	_ peer.SnapshotHandler = (*Controller)(nil)
)

// New returns a controller that has the empty configuration until Run reads one.
func New(c Config, log platform.Log, members cluster.Members, peers peer.Clients, recorder *telemetry.Recorder) *Controller {
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.PollWait, defaultPollWait)
	setDefault(&c.RetryDelay, defaultRetryDelay)
	setDefault(&c.PeerTimeout, defaultPeerTimeout)
	follower := config.NewFollower()
	return &Controller{
		config: c, log: log, members: members, peers: peers, recorder: recorder,
		follower: follower, current: follower.State(), changed: make(chan struct{}),
	}
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

// Current returns the accepted set and its version. Version 0 is empty.
func (c *Controller) Current() (*declare.Set, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Set, c.current.Version
}

// Ready says that the configuration was read from the log up to its end, or
// taken from a peer, at least once.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// Changed returns a channel that is closed at the next change of the
// configuration or of Ready.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// WaitForVersion returns the first version above after that comes into force.
func (c *Controller) WaitForVersion(ctx context.Context, after int64) (int64, error) {
	for {
		changed := c.Changed()
		if _, version := c.Current(); version > after {
			return version, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, eris.Wrapf(ctx.Err(), "wait for a configuration after version %d", after)
		}
	}
}

// Snapshot returns the configuration in force to another entry host.
func (c *Controller) Snapshot(context.Context, *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return nil, status.Error(codes.Unavailable, "this host has no configuration yet")
	}
	return &peerpb.SnapshotReply{Version: c.current.Version, Offset: c.current.Offset, Files: c.current.Files}, nil
}

// Run follows the stream until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	// A peer's configuration saves reading the whole stream.
	c.askPeers(ctx, false)
	delay := c.config.RetryDelay
	for ctx.Err() == nil {
		caughtUp, err := c.readPage(ctx)
		if err == nil && (c.whole() || !caughtUp) {
			delay = c.config.RetryDelay
			if caughtUp {
				c.writeSnapshot(ctx)
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			c.recorder.Count("config_read_errors_total")
			klog.V(1).InfoS("config stream cannot be read", "err", err)
		}
		if !c.Ready() || !c.whole() {
			c.askPeers(ctx, true)
		}
		sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return ctx.Err()
}

// readPage reads and applies one page and says whether it reached the end.
func (c *Controller) readPage(ctx context.Context) (caughtUp bool, err error) {
	c.mu.Lock()
	next, wait := c.follower.Next(), c.config.PollWait
	if !c.ready || !c.follower.CaughtUp() {
		wait = 0 // learn the end of the stream at once
	}
	c.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	page, err := c.log.Read(readCtx, platform.StreamConfig, next, wait)
	if err != nil {
		return false, eris.Wrapf(err, "read stream %s from offset %d", platform.StreamConfig, next)
	}
	c.mu.Lock()
	events := c.follower.Apply(page)
	caughtUp = c.follower.Next() >= page.End
	c.publish(c.follower.CaughtUp() && caughtUp)
	c.mu.Unlock()
	c.report(events)
	return caughtUp, nil
}

// publish makes the follower's state the current one. A host that is still
// reading its first records waits for the end of the stream, because the
// versions on the way are older than what its peers have in force.
func (c *Controller) publish(complete bool) {
	if !c.ready && !complete {
		return
	}
	state := c.follower.State()
	if state.Version < c.current.Version {
		return // a state from a peer is newer than what was read so far
	}
	before, wasReady := c.current.Version, c.ready
	c.current, c.ready = state, true
	if c.current.Version != before || !wasReady {
		close(c.changed)
		c.changed = make(chan struct{})
		klog.InfoS("configuration is in force", "version", state.Version, "files", len(state.Files))
	}
}

func (c *Controller) report(events []config.Event) {
	for _, event := range events {
		switch {
		case event.Accepted:
			c.recorder.Count("config_changes_total", "verdict", "accepted")
			c.recorder.Decision("config", event.ID, "verdict", "accepted", "version", event.Version, "offset", event.Offset)
		case event.Err != nil:
			c.recorder.Count("config_records_skipped_total")
			klog.InfoS("config record was skipped", "id", event.ID, "offset", event.Offset, "err", event.Err)
		case event.Kind == config.KindChange:
			c.recorder.Count("config_changes_total", "verdict", "other-base")
			c.recorder.Decision("config", event.ID, "verdict", "other-base", "version", event.Version, "offset", event.Offset)
		}
	}
}

func (c *Controller) whole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.CaughtUp()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
