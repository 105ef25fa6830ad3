// Package configs synchronizes the configuration of an entry host with the
// log's config stream and publishes new configurations.
//
// The controller follows the stream with long polls. While the log is
// unavailable it retains the active configuration; a host that has none yet, or
// that missed records, installs the newest one of its peers. The active version
// never decreases.
package configs

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/boottime"
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
	// Retention is the retention period of the config stream in the log.
	Retention time.Duration
	// PollWait is the maximum time that one read waits for a record.
	PollWait time.Duration
	// RetryDelay is the initial backoff after a failed read; it doubles up to
	// maxRetryDelay.
	RetryDelay time.Duration
	// PeerTimeout bounds one round of snapshot requests to peers.
	PeerTimeout time.Duration
	// ConfirmInterval is the age of the newest complete read from which on the end of the
	// stream is read again without a wait, also while another read is under way. Zero
	// means never.
	ConfirmInterval time.Duration
}

// Defaults and limits of the controller's timing.
const (
	defaultRetention   = 24 * time.Hour
	defaultPollWait    = 2 * time.Second
	defaultRetryDelay  = 100 * time.Millisecond
	defaultPeerTimeout = time.Second
	maxRetryDelay      = 2 * time.Second
	// readGrace is added to the wait of a read to obtain its timeout. It is longer
	// than the platform client's own timeout, because with a shorter one every read
	// of a slow log would fail.
	readGrace = 5 * time.Second
	// appendTimeout bounds one append of a snapshot.
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
	asOf     time.Time // see CompleteAsOf
	ready    bool
	changed  chan struct{} // closed and replaced whenever current or ready changes

	nextSnapshot time.Time // earliest time of this host's next snapshot; used by Run only
}

var (
	_ cluster.Configs      = (*Controller)(nil)
	_ peer.SnapshotHandler = (*Controller)(nil)
)

// New returns a controller that has the empty configuration until Run obtains
// one.
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

// Current returns the active set and its version. Version 0 is the empty
// configuration.
func (c *Controller) Current() (*declare.Set, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Set, c.current.Version
}

// Ready reports whether the configuration has been read up to the end of the
// config stream, or installed from a peer, at least once.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// Changed returns a channel that is closed when the configuration or the result
// of Ready changes next.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// WaitForVersion blocks until a version above after is active and returns it.
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

// Snapshot returns the active configuration to another entry host.
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
	var reads sync.WaitGroup
	defer reads.Wait()
	if c.config.ConfirmInterval > 0 {
		reads.Go(func() { c.confirm(ctx) })
	}
	// Starting from a peer's configuration avoids reading the whole stream.
	c.installFromPeers(ctx, false)
	delay := c.config.RetryDelay
	for ctx.Err() == nil {
		atEnd, err := c.readPage(ctx)
		if err == nil && (c.caughtUp() || !atEnd) {
			delay = c.config.RetryDelay
			if atEnd {
				c.writeSnapshot(ctx)
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			c.recorder.Count("config_read_errors_total")
			klog.V(1).InfoS("failed to read the config stream", "err", err)
		}
		if !c.Ready() || !c.caughtUp() {
			c.installFromPeers(ctx, true)
		}
		sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return ctx.Err()
}

// readPage reads and applies one page and reports whether it reached the end of
// the stream.
func (c *Controller) readPage(ctx context.Context) (atEnd bool, err error) {
	c.mu.Lock()
	next, wait := c.follower.Next(), c.config.PollWait
	if !c.ready || !c.follower.CaughtUp() {
		wait = 0 // obtain the end of the stream without waiting for a new record
	}
	c.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	sent := boottime.Now()
	page, err := c.log.Read(readCtx, platform.StreamConfig, next, wait)
	if err != nil {
		return false, eris.Wrapf(err, "read stream %s from offset %d", platform.StreamConfig, next)
	}
	c.mu.Lock()
	events := c.follower.Apply(page)
	atEnd = c.follower.Next() >= page.End
	c.activate(c.follower.CaughtUp() && atEnd)
	c.recordComplete(page, sent)
	c.mu.Unlock()
	c.recordEvents(events)
	return atEnd, nil
}

// activate makes the follower's state the current configuration. The caller
// holds mu. If complete is false and the host is not ready, the state stays
// inactive: the versions read before the end of the stream are older than the
// one that is active on other hosts.
func (c *Controller) activate(complete bool) {
	if !c.ready && !complete {
		return
	}
	state := c.follower.State()
	if state.Version < c.current.Version {
		return // a state installed from a peer is newer than the records read so far
	}
	before, wasReady := c.current.Version, c.ready
	c.current, c.ready = state, true
	if c.current.Version != before || !wasReady {
		close(c.changed)
		c.changed = make(chan struct{})
		klog.InfoS("configuration activated", "version", state.Version, "files", len(state.Files))
	}
}

func (c *Controller) recordEvents(events []config.Event) {
	for _, event := range events {
		switch {
		case event.Accepted:
			c.recorder.Count("config_changes_total", "verdict", "accepted")
			c.recorder.RecordDecision("config", event.ID, "verdict", "accepted", "version", event.Version, "offset", event.Offset)
		case event.Err != nil:
			c.recorder.Count("config_records_skipped_total")
			klog.InfoS("config record skipped", "id", event.ID, "offset", event.Offset, "err", event.Err)
		case event.Kind == config.KindChange:
			c.recorder.Count("config_changes_total", "verdict", "other-base")
			c.recorder.RecordDecision("config", event.ID, "verdict", "other-base", "version", event.Version, "offset", event.Offset)
		}
	}
}

func (c *Controller) caughtUp() bool {
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
