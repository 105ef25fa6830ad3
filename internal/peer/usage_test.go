package peer

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
)

// countAll replies with the number of windows that it was sent.
type countAll struct{}

func (countAll) ReportUsage(_ context.Context, in *peerpb.UsageCounts) (*peerpb.UsageReply, error) {
	return &peerpb.UsageReply{Closed: in.GetWindows()[0].GetCounts()["x"]}, nil
}

// Guards against counts that do not reach the holder, or reach it without the token of the
// cluster.
func TestCountsReachTheHolder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer(ServerOptions("token", nil, nil)...)
	peerpb.RegisterUsageServer(server, &UsageServer{UsageHandler: countAll{}})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	message := &peerpb.UsageCounts{Windows: []*peerpb.WindowCounts{{Window: 1, Counts: map[string]int64{"x": 7}}}}
	for token, accepted := range map[string]bool{"token": true, "other": false} {
		pool := NewPool(token, nil)
		t.Cleanup(pool.Close)
		reply, err := pool.ReportUsage(t.Context(), listener.Addr().String(), message)
		must.EqOp(t, accepted, err == nil)
		must.EqOp(t, accepted, reply.GetClosed() == 7)
	}
}
