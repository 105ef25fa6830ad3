package fronthost

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/negroni/v3"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	core "github.com/sesamestand/sesamestand/internal/core/intake"
	"github.com/sesamestand/sesamestand/internal/intake"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/settings"
)

// Ingress builds the handler of callers' requests and the handler of the readiness
// check.
type Ingress func(*Host) (front, ready http.Handler)

// Run serves until ctx ends, and then drains.
func (h *Host) Run(ctx context.Context, ingress Ingress) error {
	klog.InfoS("entry host starting", "host", h.settings.Host.ID, "data_centre", h.settings.Host.DataCentre, "member", h.member, "front", h.settings.Host.HTTPAddr, "store", h.settings.Platform.LogAddr)
	baseCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	front, ready := ingress(h)
	handler := negroni.New(negroni.HandlerFunc(h.closeWhileStopping))
	handler.UseHandler(front)
	addresses := []address{
		{h.settings.Host.HTTPAddr, core.Callers, h.guard.Server(handler, h.active.Observe)},
		{h.settings.Host.ReadyAddr, core.Operators, h.guard.Server(ready, nil)},
	}
	if h.settings.Host.MetricsAddr != "" {
		addresses = append(addresses, address{h.settings.Host.MetricsAddr, core.Operators, h.guard.Server(h.adminHandler(), nil)})
	}
	failed := make(chan error, len(addresses)+1)
	var servers []*http.Server
	for _, a := range addresses {
		listener, err := net.Listen("tcp", a.addr)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", a.addr)
		}
		servers = append(servers, a.server)
		go func() { failed <- a.server.Serve(h.guard.Listen(listener, a.kind, false)) }()
	}
	peers, err := h.servePeers(failed)
	if err != nil {
		return err
	}
	go h.guard.Run(baseCtx)
	h.start(baseCtx)
	go h.reload(baseCtx)
	select {
	case <-ctx.Done():
	case err := <-failed:
		h.closeServers(servers, peers)
		return eris.Wrap(err, "serve")
	}
	h.drain()
	closed := h.closeServers(servers, peers)
	klog.InfoS("entry host stopped", "host", h.settings.Host.ID, "in_flight", h.active.Count(), "closed", closed)
	return nil
}

// closeServers closes the servers and their connections, waits for it at most for
// closeTimeout, and reports whether it ended. The end of the process closes the rest.
func (h *Host) closeServers(servers []*http.Server, peers *grpc.Server) bool {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for _, s := range servers {
			if err := s.Close(); err != nil {
				klog.V(1).InfoS("HTTP server not closed cleanly", "err", err)
			}
		}
		peers.Stop()
	}()
	select {
	case <-closed:
		return true
	case <-time.After(closeTimeout):
		return false
	}
}

// servePeers serves the other entry hosts.
func (h *Host) servePeers(failed chan<- error) (*grpc.Server, error) {
	server := grpc.NewServer(peer.ServerOptions(h.settings.Auth.ClusterToken, nil, h.guard.Known)...)
	peerpb.RegisterLimitsServer(server, &peer.LimitsServer{LimitsHandler: h.limits})
	if h.duties.usage != nil {
		peerpb.RegisterUsageServer(server, &peer.UsageServer{UsageHandler: h.duties.usage})
	}
	if h.settings.Host.PeerAddr == "" {
		return server, nil
	}
	listener, err := peer.Listen(h.settings.Host.PeerAddr, h.guard.Peers)
	if err != nil {
		return nil, err
	}
	go func() { failed <- server.Serve(listener) }()
	return server, nil
}

// address is an address of the host with its server.
type address struct {
	addr   string
	kind   core.Address
	server *http.Server
}

// headLimits returns the limits of heads in the newest configuration.
func (h *Host) headLimits() intake.HeadLimits {
	config := h.Config()
	if config == nil {
		return intake.HeadLimits{}
	}
	return intake.HeadLimits{Bytes: config.Limits.HeaderBytes, Timeout: config.Limits.HeaderTimeout}
}

// reload reads and checks the settings file on SIGHUP, and logs whether a restart is
// needed. Addresses and limits take effect at the next start; an invalid file changes
// nothing.
func (h *Host) reload(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		if h.settings.File == "" {
			continue
		}
		s, err := settings.Load(h.settings.File)
		if err != nil {
			klog.ErrorS(err, "settings not reloaded", "file", h.settings.File)
			continue
		}
		klog.InfoS("settings reloaded", "file", h.settings.File, "needs_restart", s.Host != h.settings.Host || s.Platform != h.settings.Platform)
	}
}
