// Package entry implements an entry host. It wires the roles of the host
// together, serves HTTP to callers, trainers and operators and gRPC to the other
// entry hosts, and drains in-flight requests on shutdown.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/access"
	"github.com/sesamestand/sesamestand/internal/callers"
	"github.com/sesamestand/sesamestand/internal/configs"
	"github.com/sesamestand/sesamestand/internal/core/drain"
	core "github.com/sesamestand/sesamestand/internal/core/intake"
	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/intake"
	"github.com/sesamestand/sesamestand/internal/inventory"
	"github.com/sesamestand/sesamestand/internal/limits"
	"github.com/sesamestand/sesamestand/internal/members"
	"github.com/sesamestand/sesamestand/internal/orders"
	"github.com/sesamestand/sesamestand/internal/owner"
	"github.com/sesamestand/sesamestand/internal/peer"
	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/services"
	"github.com/sesamestand/sesamestand/internal/settings"
	"github.com/sesamestand/sesamestand/internal/telemetry"
	"github.com/sesamestand/sesamestand/internal/tlsfiles"
	"github.com/sesamestand/sesamestand/internal/trainers"
	"github.com/sesamestand/sesamestand/internal/versions"
)

// Host is one entry host with all its roles.
type Host struct {
	settings  settings.Settings
	recorder  *telemetry.Recorder
	tls       *tlsfiles.Source
	pool      *peer.Pool
	members   *members.Controller
	orders    *orders.Controller
	inventory *inventory.Controller
	configs   *configs.Controller
	owner     *owner.Controller
	callers   *callers.Controller
	services  *services.Controller
	trainers  *trainers.Controller
	versions  *versions.Watcher
	limits    *limits.Controller
	gate      *access.Gate

	draining atomic.Bool
	active   httpapi.ActiveConns
	guard    *intake.Guard // of the addresses
	// window is the time that the host has for requests, or nil while it is not stopping.
	window atomic.Pointer[drain.Window]
	// serving ends, by stopServing, when requests must be given up so that they are
	// answered before the process ends.
	serving     context.Context
	stopServing context.CancelFunc

	aborted   chan struct{} // closed by Abort
	abortOnce sync.Once
}

// Abort ends Run without a drain. It simulates a crash of the host when several
// entry hosts run in one process.
func (h *Host) Abort() { h.abortOnce.Do(func() { close(h.aborted) }) }

// Run serves requests until ctx ends, then drains and returns. It also returns
// when a role fails or Abort is called.
func (h *Host) Run(ctx context.Context) error {
	httpListener, err := net.Listen("tcp", h.settings.Host.HTTPAddr)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	peerListener, err := peer.Listen(h.settings.Host.PeerAddr, h.guard.Peers)
	if err != nil {
		_ = httpListener.Close()
		return err
	}
	httpServer := h.guard.Server(h.routes(), h.active.Observe)
	httpListener = h.guard.Listen(httpListener, core.Callers, h.tls != nil)
	grpcServer := h.grpcServer()

	// The roles must outlive ctx, because the drain needs them.
	rolesCtx, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRoles()
	group, groupCtx := errgroup.WithContext(rolesCtx)
	go h.guard.Run(rolesCtx)
	group.Go(func() error { return h.serveHTTP(httpServer, httpListener) })
	group.Go(func() error { return grpcServer.Serve(peerListener) })
	for _, run := range []func(context.Context) error{
		h.members.Run, h.inventory.Run, h.configs.Run, h.orders.Run,
		h.owner.RunLoops, h.services.Run, h.trainers.Run, h.versions.Run,
	} {
		group.Go(func() error { return run(groupCtx) })
	}
	klog.InfoS("entry host started", "host", h.settings.Host.ID, "data_centre", h.settings.Host.DataCentre,
		"http_addr", h.settings.Host.HTTPAddr, "peer_addr", h.settings.Host.PeerAddr)

	select {
	case <-ctx.Done():
		h.drain(httpServer, grpcServer)
	case <-h.aborted:
		_ = httpServer.Close()
		grpcServer.Stop()
	case <-groupCtx.Done():
		_ = httpServer.Close()
		grpcServer.Stop()
	}
	stopRoles()
	h.pool.Close()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (h *Host) serveHTTP(server *http.Server, listener net.Listener) error {
	var err error
	if h.tls != nil {
		server.TLSConfig = h.tls.ServerConfig(false)
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (h *Host) grpcServer() *grpc.Server {
	server := grpc.NewServer(peer.ServerOptions(h.settings.Auth.ClusterToken, h.tls, h.guard.Known)...)
	peerpb.RegisterPeerServer(server, &peer.Server{
		RunHandler:      h.owner,
		ClaimHandler:    h.callers,
		IntentHandler:   h.services,
		TrainerHandler:  h.trainers,
		SnapshotHandler: h.configs,
		ExchangeHandler: h.owner,
	})
	peerpb.RegisterLimitsServer(server, &peer.LimitsServer{LimitsHandler: h.limits})
	return server
}
