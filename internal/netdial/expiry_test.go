package netdial

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/boottime"
)

// unlimited never ends a connection within a test.
var unlimited = AckTimeouts{Unacked: 10 * time.Minute, Silent: 0, MinUnacked: 10 * time.Minute}

// Guards against bytes that reach the peer after their expiry, because the connection is
// reset only at the next check.
func TestUnacknowledgedBytesAreDiscardedAtTheirExpiry(t *testing.T) {
	c, peer := connect(t, unlimited)
	c.(*WatchedConn).ExpireAt(boottime.Now().Add(200 * time.Millisecond))
	_, err := c.Write(make([]byte, 64<<20)) // more than both buffers
	must.ErrorIs(t, err, ErrExpired)
	_, err = c.Read(make([]byte, 1))
	must.ErrorIs(t, err, ErrExpired)
	_, err = io.Copy(io.Discard, peer)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against bytes that are written after their expiry, such as the rest of a request
// whose first part was acknowledged.
func TestNothingIsWrittenAfterTheExpiry(t *testing.T) {
	c, peer := connect(t, unlimited)
	w := c.(*WatchedConn)
	w.ExpireAt(boottime.Now().Add(time.Hour))
	_, err := c.Write([]byte("x"))
	must.NoError(t, err)
	w.ExpireAt(boottime.Now())
	n, err := c.Write([]byte("y"))
	must.ErrorIs(t, err, ErrExpired)
	must.EqOp(t, 0, n)
	must.NoError(t, c.Close())
	data, _ := io.ReadAll(peer)
	must.EqOp(t, "x", string(data))
}

// Guards against the expiry of a request that was acknowledged, or of the one before it on
// the same connection.
func TestExpiryLeavesAcknowledgedBytesAndLaterOnesAlone(t *testing.T) {
	const left = 200 * time.Millisecond
	c, peer := connect(t, unlimited)
	w := c.(*WatchedConn)
	w.ExpireAt(boottime.Now().Add(left))
	_, err := c.Write([]byte("x"))
	must.NoError(t, err)
	time.Sleep(2 * left)
	_, err = peer.Write([]byte("y"))
	must.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	must.NoError(t, err)

	w.ExpireAt(boottime.Now().Add(left))
	w.ExpireAt(time.Time{})
	const size = 16 << 20
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, size))
		written <- err
	}()
	time.Sleep(2 * left)
	_, err = io.CopyN(io.Discard, peer, size+1)
	must.NoError(t, err)
	must.NoError(t, <-written)
}

// Guards against bytes that outlive their expiry by the time of a suspension, in which the
// timer stands still.
func TestExpiryDuringASuspensionIsSeenByTheNextCheck(t *testing.T) {
	c, _ := connect(t, unlimited)
	w := c.(*WatchedConn)
	w.ExpireAt(boottime.Now().Add(time.Hour))
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20)) // more than both buffers
		written <- err
	}()
	eventually(t, func() bool {
		unacked, err := w.unacked()
		must.NoError(t, err)
		return unacked > 0
	})
	w.mu.Lock()
	w.expires = boottime.Now()
	w.mu.Unlock()
	w.check()
	must.ErrorIs(t, <-written, ErrExpired)
}

// Guards against a connection that is dialled for a request, ends after its expiry, and
// still takes the request.
func TestConnectionExpiresWithItsRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	write := func(expires time.Time) error {
		conn, err := Expiring(new(net.Dialer).DialContext, expires)(context.Background(), "tcp", listener.Addr().String())
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("request"))
		return err
	}
	must.ErrorIs(t, write(boottime.Now()), ErrExpired)
	must.NoError(t, write(boottime.Now().Add(time.Hour)))
	must.NoError(t, write(time.Time{}))
}
