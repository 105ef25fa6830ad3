package members

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/sesamestand/sesamestand/internal/cluster"
)

const testProbeInterval = 100 * time.Millisecond

func freeAddr(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, conn.Close()) }()
	return conn.LocalAddr().String()
}

type host struct {
	*Controller
	stop func()
}

func start(t *testing.T, id, addr, token string, seeds ...string) host {
	t.Helper()
	c := New(Config{Self: cluster.Member{ID: id, DataCentre: "yoff", PeerAddr: addr}, Seeds: seeds,
		ClusterToken: token, ProbeInterval: testProbeInterval})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			must.NoError(t, <-done)
		}
	}
	t.Cleanup(stop)
	return host{Controller: c, stop: stop}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(30*time.Second), wait.Gap(20*time.Millisecond)))
}

func (h host) state(id string) cluster.MemberState {
	for _, m := range h.All() {
		if m.ID == id {
			return m.State
		}
	}
	return -1
}

// Guards against hosts that do not discover each other over UDP sockets, do not
// propagate versions, or retain a host that left, and against accepting packets
// of another cluster.
func TestHostsJoinPropagateVersionsAndLeave(t *testing.T) {
	addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t), freeAddr(t)}
	a := start(t, "a", addrs[0], "token")
	b := start(t, "b", addrs[1], "token", addrs[0])
	c := start(t, "c", addrs[2], "token", addrs[0])
	otherCluster := start(t, "stranger", addrs[3], "other token", addrs[0])
	eventually(t, func() bool { return len(a.All()) == 3 && len(b.All()) == 3 && len(c.All()) == 3 })
	b.Announce("album", 7)
	b.Announce("album", 6)
	eventually(t, func() bool { return a.Newest("album") == 7 && c.Newest("album") == 7 })
	must.NoError(t, c.Leave(context.Background()))
	eventually(t, func() bool { return a.state("c") == cluster.MemberLeaving })
	c.stop()
	eventually(t, func() bool { return a.state("c") == cluster.MemberDead && b.state("c") == cluster.MemberDead })
	must.Len(t, 1, otherCluster.All())
	restarted := start(t, "c", addrs[2], "token", addrs[0])
	eventually(t, func() bool { return a.state("c") == cluster.MemberAlive && len(restarted.All()) == 3 })
}
