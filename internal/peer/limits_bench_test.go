package peer

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

type grantAll struct{}

func (grantAll) Acquire(_ context.Context, in *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	return &peerpb.AcquireReply{Grants: []*peerpb.LimitGrant{{Server: in.GetServers()[0].GetServer(), Requests: 1}}, Hosts: 590}, nil
}

// BenchmarkAcquire measures one call of the allocator over loopback, both ends in this
// process, for a service of 5 servers.
func BenchmarkAcquire(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	server := grpc.NewServer(ServerOptions("", nil, nil)...)
	peerpb.RegisterLimitsServer(server, &LimitsServer{LimitsHandler: grantAll{}})
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Stop)
	pool := NewPool("", nil)
	b.Cleanup(pool.Close)
	request := &peerpb.AcquireRequest{Host: "host-1", Service: "pages", Requests: 1, PatienceMs: 100}
	for i := range 5 {
		id := fmt.Sprintf("i-0123456789%d", i)
		request.Servers = append(request.Servers, &peerpb.LimitedServer{Server: id, Incarnation: 1})
		request.Observed = append(request.Observed, &peerpb.ObservedLimit{Server: id, Incarnation: 1, Named: true, PerSecond: 2.5})
	}
	for b.Loop() {
		_, err := pool.Acquire(context.Background(), listener.Addr().String(), request)
		must.NoError(b, err)
	}
}
