// Package netdial dials the connections of HTTP clients of backend servers.
package netdial

import (
	"context"
	"net"

	"k8s.io/klog/v2"
)

// DialContext dials an address.
type DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

// DiscardUnsent returns a DialContext whose connections discard unsent bytes when they are
// closed, also at the end of the process. Otherwise the kernel would go on to send them,
// and a request that was given up could still reach its server, e.g. when a network
// partition ends.
func DiscardUnsent(dial DialContext) DialContext {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok && err == nil {
			if err := tcp.SetLinger(0); err != nil {
				klog.V(1).InfoS("connection would send unsent bytes after its end", "addr", addr, "err", err)
			}
		}
		return conn, err
	}
}
