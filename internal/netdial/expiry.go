package netdial

import (
	"context"
	"net"
	"time"
)

// notWatched is longer than any connection. Connections of WatchExpiry leave it to the
// kernel to give up a silent peer.
const notWatched = 365 * 24 * time.Hour

// WatchExpiry returns a DialContext whose connections can be used with ExpireAt, and discard
// unsent bytes on every close.
func WatchExpiry(dial DialContext) DialContext {
	return WatchAcks(dial, AckTimeouts{Unacked: notWatched, Silent: notWatched, MinUnacked: notWatched})
}

// ExpireAt sets the expiry of a connection if it is a WatchedConn, see WatchedConn.ExpireAt.
func ExpireAt(conn net.Conn, expires time.Time) {
	if watched, ok := conn.(*WatchedConn); ok {
		watched.ExpireAt(expires)
	}
}

// Expiring returns a DialContext whose connections expire at a time on the clock of
// boottime.Now; zero means no limit.
func Expiring(dial DialContext, expires time.Time) DialContext {
	if expires.IsZero() {
		return DiscardUnsent(dial)
	}
	dial = WatchExpiry(dial)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err == nil {
			ExpireAt(conn, expires)
		}
		return conn, err
	}
}
