package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/peer/peerpb"
	"github.com/sesamestand/sesamestand/internal/tlsfiles"
)

const (
	tokenHeader = "sesamestand-cluster-token"

	// maxConsecutiveTimeouts is the number of consecutive timeouts of calls with a
	// short deadline after which a connection counts as unresponsive and is replaced.
	// A single timeout may be caused by a slow peer.
	maxConsecutiveTimeouts = 2

	// maxDrainTime is the longest time that a replaced connection stays open for
	// the streams that still use it.
	maxDrainTime = 10 * time.Minute

	// maxMessageBytes limits the size of one gRPC message. Responses to the pull
	// calls of trainers are the largest.
	maxMessageBytes = 64 << 20

	// maxHeadBytes limits the head of a call, whose fields count 32 bytes each beside their
	// text. Calls of entry hosts have some ten fields.
	maxHeadBytes = 16 << 10
	// maxStreams limits the calls on one connection. A host has one call for each request
	// of its callers to a replica of the peer.
	maxStreams = 4096
	// handshakeTimeout bounds the time until a connection speaks gRPC.
	handshakeTimeout = 10 * time.Second
)

// ErrNotSent is the error of a stream that could not be opened, e.g. because the peer
// refuses connections. The peer has not received the request.
var ErrNotSent = errors.New("the request was not sent to the peer")

// Pool holds one connection per peer address. It is safe for concurrent use.
type Pool struct {
	token string
	tls   *tlsfiles.Source

	mu    sync.Mutex
	conns map[string]*connection
}

type connection struct {
	conn                *grpc.ClientConn
	consecutiveTimeouts atomic.Int32 // of calls with a short deadline
	streams             atomic.Int32
}

var _ Clients = (*Pool)(nil)

// NewPool returns a pool that authenticates with the cluster token. A nil source
// means plain TCP without TLS.
func NewPool(token string, source *tlsfiles.Source) *Pool {
	return &Pool{token: token, tls: source, conns: make(map[string]*connection)}
}

// Client implements Clients.
func (p *Pool) Client(addr string) (peerpb.PeerClient, error) {
	c, err := p.connection(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(c.conn), nil
}

// Acquire calls the Limits service of the host at an address.
func (p *Pool) Acquire(ctx context.Context, addr string, request *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	c, err := p.connection(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewLimitsClient(c.conn).Acquire(ctx, request)
}

// ReportUsage calls the Usage service of the host at an address.
func (p *Pool) ReportUsage(ctx context.Context, addr string, counts *peerpb.UsageCounts) (*peerpb.UsageReply, error) {
	c, err := p.connection(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewUsageClient(c.conn).ReportUsage(ctx, counts)
}

// connection returns the connection to an address, and creates it if absent.
func (p *Pool) connection(addr string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok {
		return c, nil
	}
	c, err := p.dial(addr)
	if err != nil {
		return nil, err
	}
	p.conns[addr] = c
	return c, nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		_ = c.conn.Close()
		delete(p.conns, addr)
	}
}

func (p *Pool) dial(addr string) (*connection, error) {
	c := &connection{}
	transport := insecure.NewCredentials()
	if p.tls != nil {
		transport = credentials.NewTLS(p.tls.ClientConfig())
	}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(transport),
		grpc.WithUnaryInterceptor(p.observeUnary(addr, c)),
		grpc.WithStreamInterceptor(p.observeStream(c)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		// The default backoff grows to two minutes, which is much longer than a
		// peer takes to restart.
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: 2 * time.Second,
		}),
		// Attempts made by transport retries would not count towards the retry
		// budget.
		grpc.WithDisableRetry(),
	)
	if err != nil {
		return nil, eris.Wrapf(err, "create a connection to peer %s", addr)
	}
	c.conn = conn
	return c, nil
}

// authorize adds the cluster token to the metadata of an outgoing call.
func (p *Pool) authorize(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, tokenHeader, p.token)
}

// shortCalls are the methods whose calls have a short deadline and a cheap handler.
var shortCalls = []string{peerpb.Peer_Exchange_FullMethodName, peerpb.Limits_Acquire_FullMethodName, peerpb.Usage_ReportUsage_FullMethodName}

// observeUnary returns an interceptor that adds the cluster token to calls, and
// that replaces c when calls with a short deadline time out on it, because a new
// connection to the same peer may work. The handlers of these calls are cheap, so that
// a timeout indicates an unresponsive connection rather than a slow call.
func (p *Pool) observeUnary(addr string, c *connection) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		err := invoker(p.authorize(ctx), method, req, reply, cc, opts...)
		if !slices.Contains(shortCalls, method) {
			return err
		}
		switch {
		case err == nil:
			c.consecutiveTimeouts.Store(0)
		case status.Code(err) == codes.DeadlineExceeded && c.consecutiveTimeouts.Add(1) >= maxConsecutiveTimeouts:
			p.replace(addr, c)
		}
		return err
	}
}

// observeStream returns an interceptor that adds the cluster token to streams, counts
// the open streams of c and marks the errors of streams that could not be opened.
func (p *Pool) observeStream(c *connection) grpc.StreamClientInterceptor {
	return func(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
		c.streams.Add(1)
		opts = append(opts, grpc.OnFinish(func(error) { c.streams.Add(-1) }))
		stream, err := streamer(p.authorize(ctx), desc, cc, method, opts...)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return stream, nil
	}
}

// replace removes c from the pool. Its streams continue until they end or their
// own progress timeout aborts them. c is closed when the last one has ended, or
// after retireTimeout.
func (p *Pool) replace(addr string, c *connection) {
	p.mu.Lock()
	if p.conns[addr] != c {
		p.mu.Unlock()
		return
	}
	delete(p.conns, addr)
	p.mu.Unlock()
	klog.InfoS("replacing an unresponsive peer connection", "peer", addr)
	go func() {
		for deadline := time.Now().Add(maxDrainTime); c.streams.Load() > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Second)
		}
		_ = c.conn.Close()
	}()
}

// ServerOptions returns the options of the gRPC server: authentication with the
// cluster token, message limits, and TLS if source is not nil.
func ServerOptions(token string, source *tlsfiles.Source, known func(net.Addr)) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeadBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshakeTimeout),
		// Refuses a call before its message is read.
		grpc.InTapHandle(func(ctx context.Context, info *tap.Info) (context.Context, error) {
			if err := checkToken(info.Header, token); err != nil {
				return nil, err
			}
			if client, ok := grpcpeer.FromContext(ctx); ok && known != nil {
				known(client.Addr)
			}
			return ctx, nil
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	}
	if source != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(source.ServerConfig(true))))
	}
	return options
}

func checkToken(md metadata.MD, token string) error {
	for _, given := range md.Get(tokenHeader) {
		if subtle.ConstantTimeCompare([]byte(given), []byte(token)) == 1 {
			return nil
		}
	}
	return status.Error(codes.Unauthenticated, "the cluster token is missing or wrong")
}
