package netdial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/boottime"
)

// Errors of connections that were reset.
var (
	// ErrUnacknowledged ends a connection whose peer left sent bytes unacknowledged.
	ErrUnacknowledged = errors.New("peer did not acknowledge sent bytes in time")
	// ErrExpired ends a connection whose bytes expired. See ExpireAt.
	ErrExpired = errors.New("bytes expired before the peer acknowledged them")
)

// AckTimeouts bounds how long a peer may leave sent bytes unacknowledged.
type AckTimeouts struct {
	// Unacked is the longest time without progress of the acknowledged bytes.
	Unacked time.Duration
	// Silent is the time without any byte from the peer after which MinUnacked is enough.
	// Between both, the allowed time shrinks with the time that the peer has been silent.
	Silent     time.Duration
	MinUnacked time.Duration
}

// allowed returns how long bytes that are sent now may stay unacknowledged, if the peer
// has been silent for a time.
func (t AckTimeouts) allowed(silent time.Duration) time.Duration {
	return min(max(t.Silent-silent, t.MinUnacked), t.Unacked)
}

// ackChecks is the number of checks for acknowledged bytes within the allowed time.
const ackChecks = 4

// WatchAcks returns a DialContext whose TCP connections are WatchedConns, and discard
// unsent bytes on every close.
func WatchAcks(dial DialContext, timeouts AckTimeouts) DialContext {
	dial = DiscardUnsent(dial)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		tcp, ok := conn.(*net.TCPConn)
		if err != nil || !ok {
			return conn, err
		}
		return &WatchedConn{TCPConn: tcp, timeouts: timeouts, lastRead: time.Now()}, nil
	}
}

// WatchedConn is a connection that is reset when the peer does not acknowledge sent bytes
// in time. Where the kernel gives up a connection (TCP_USER_TIMEOUT, keep-alive probes),
// bytes that a network partition holds up may still reach the peer when it ends, and a
// request that was given up runs. A reset discards them.
type WatchedConn struct {
	*net.TCPConn
	timeouts AckTimeouts

	mu       sync.Mutex
	writing  int         // writes whose bytes may not be queued yet
	timer    *time.Timer // runs check while the connection is watched; nil otherwise
	lastRead time.Time
	written  int64
	acked    int64         // bytes that were acknowledged at the last check
	since    time.Time     // last progress of acked
	allowed  time.Duration // time without progress
	lost     error         // why the connection was reset
	expires  time.Time     // see ExpireAt
	expiry   *time.Timer   // runs expire; nil if expires is zero
	probe    bool          // see Probe
	probing  bool          // the kernel's keep-alive probes are on
}

// Probe sets whether the kernel's keep-alive probes, with the settings of the dialer, are
// used once the bytes that are written next are acknowledged. They are off at first, and
// go off at once. They should be on only while a response is awaited: the kernel may count
// the silence of an idle connection, and give it up just after the next request was
// written.
func (c *WatchedConn) Probe(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probe = on
	if !on {
		c.setProbing(false)
	}
}

// ExpireAt resets the connection if bytes that were written are not acknowledged at a time
// on the clock of boottime.Now, and fails writes after it. It replaces the time that was
// set before; zero means no limit.
func (c *WatchedConn) ExpireAt(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopExpiry()
	if c.expires = t; !t.IsZero() && c.lost == nil {
		c.expiry = time.AfterFunc(t.Sub(boottime.Now()), c.expire)
	}
}

// stopExpiry stops the timer of the expiry. The caller holds mu.
func (c *WatchedConn) stopExpiry() {
	if c.expiry != nil {
		c.expiry.Stop()
		c.expiry = nil
	}
}

// expired reports whether the expiry has passed. The caller holds mu.
func (c *WatchedConn) expired() bool { return !c.expires.IsZero() && !boottime.Now().Before(c.expires) }

// expire resets the connection if the expiry has passed and bytes are not acknowledged.
func (c *WatchedConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.expiry == nil: // replaced or closed meanwhile
		return
	case !c.expired(): // replaced by a later one
		c.expiry.Reset(c.expires.Sub(boottime.Now()))
		return
	}
	if unacked, err := c.unacked(); err != nil || unacked > 0 || c.writing > 0 {
		c.reset(ErrExpired, unacked, time.Now())
	}
}

// writeBytes is the size of the parts in which bytes are written, so that the progress of
// a long write is seen.
const writeBytes = 16 << 10

// Write implements net.Conn.
func (c *WatchedConn) Write(p []byte) (int, error) {
	total := 0
	for {
		if err := c.beginWrite(); err != nil {
			return total, err
		}
		n, err := c.TCPConn.Write(p[total:min(total+writeBytes, len(p))])
		total += n
		c.mu.Lock()
		c.writing--
		c.written += int64(n)
		err = c.explain(err)
		c.mu.Unlock()
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

// ReadFrom implements io.ReaderFrom with Write, so that its bytes are watched.
func (c *WatchedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// WriteTo implements io.WriterTo with Read.
func (c *WatchedConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Read implements net.Conn.
func (c *WatchedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.lastRead = time.Now()
	}
	return n, c.explain(err)
}

// Close implements net.Conn.
func (c *WatchedConn) Close() error {
	c.mu.Lock()
	c.stopWatch()
	c.stopExpiry()
	c.mu.Unlock()
	return c.TCPConn.Close()
}

// explain returns the reason for the error of a connection that was reset. The caller
// holds mu.
func (c *WatchedConn) explain(err error) error {
	if err == nil || c.lost == nil {
		return err
	}
	return c.lost
}

// beginWrite starts to watch the connection, unless it is watched. It fails if the expiry
// has passed.
func (c *WatchedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired() {
		return fmt.Errorf("%w: nothing written to %s", ErrExpired, c.RemoteAddr())
	}
	c.writing++
	if c.timer != nil || c.lost != nil {
		return nil
	}
	c.setProbing(false)
	now := time.Now()
	c.since, c.allowed = now, c.timeouts.allowed(now.Sub(c.lastRead))
	c.acked = c.written
	c.timer = time.AfterFunc(c.allowed/ackChecks, c.check)
	return nil
}

// stopWatch ends the watch. The caller holds mu.
func (c *WatchedConn) stopWatch() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// check ends the watch if all bytes are acknowledged, and resets the connection if there
// was no progress in time or the expiry has passed: its timer stands still while the
// machine is suspended.
func (c *WatchedConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	unacked, err := c.unacked()
	now := time.Now()
	switch acked := c.written - unacked; {
	case c.timer == nil: // closed meanwhile
		return
	case err != nil:
		klog.V(1).InfoS("acknowledgements of a connection are not known", "addr", c.RemoteAddr().String(), "err", err)
		c.timer = nil
		c.setProbing(c.probe)
		return
	case unacked == 0 && c.writing == 0:
		c.timer = nil
		c.setProbing(c.probe)
		return
	case c.expired():
		c.reset(ErrExpired, unacked, now)
		return
	case acked > c.acked:
		c.acked, c.since = acked, now
	case now.Sub(c.since) >= c.allowed:
		c.reset(ErrUnacknowledged, unacked, now)
		return
	}
	c.timer.Reset(c.allowed / ackChecks)
}

// reset closes the connection and discards what is not acknowledged. The caller holds mu.
func (c *WatchedConn) reset(reason error, unacked int64, now time.Time) {
	details := []any{"addr", c.RemoteAddr().String(), "reason", reason.Error(), "bytes", unacked, "for", now.Sub(c.since), "allowed", c.allowed, "peer_silent", now.Sub(c.lastRead)}
	if !c.expires.IsZero() {
		details = append(details, "after_expiry", boottime.Now().Sub(c.expires))
	}
	klog.InfoS("connection reset: sent bytes are not acknowledged", details...)
	c.lost = fmt.Errorf("%w: %s, %s", reason, c.RemoteAddr(), now.Sub(c.since))
	c.stopWatch()
	c.stopExpiry()
	if err := c.TCPConn.Close(); err != nil {
		klog.V(1).InfoS("connection not closed", "addr", c.RemoteAddr().String(), "err", err)
	}
}

// unacked returns the number of sent bytes that the peer has not acknowledged.
func (c *WatchedConn) unacked() (int64, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	queued := 0
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { queued, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err == nil {
		err = ioctlErr
	}
	return int64(queued), err
}

// setProbing switches the kernel's keep-alive probes. The caller holds mu.
func (c *WatchedConn) setProbing(on bool) {
	if c.probing == on || c.lost != nil {
		return
	}
	c.probing = on
	if err := c.SetKeepAlive(on); err != nil {
		klog.V(1).InfoS("keep-alive probes of a connection not switched", "addr", c.RemoteAddr().String(), "on", on, "err", err)
	}
}

var _ syscall.Conn = (*WatchedConn)(nil)
