package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/core/workspace"
	"github.com/sesamestand/sesamestand/internal/httpclient"
	"github.com/sesamestand/sesamestand/internal/netdial"
)

const (
	defaultProgressTimeout = 5 * time.Second
	defaultConnectTimeout  = time.Second
	// cancelTimeout bounds the cancel call that follows a progress timeout.
	cancelTimeout = 500 * time.Millisecond
	// maxTransports bounds the number of cached transports. Replicas are replaced
	// continuously, so the map would otherwise grow without bound.
	maxTransports = 4096
)

// Config holds the parameters of a Client. Zero values select the defaults.
type Config struct {
	// ProgressTimeout is the maximum time between two accepted chunks.
	ProgressTimeout time.Duration
	ConnectTimeout  time.Duration
	// Token is sent as a bearer token unless it is empty.
	Token string
}

// Client calls model engines. It is safe for concurrent use.
type Client struct {
	config     Config
	observe    ResponseObserver
	mu         sync.Mutex
	transports map[target]*http.Transport
}

// ResponseObserver is called with the response of an engine to each completion, before
// its body is read.
type ResponseObserver func(addr, requestID string, response *http.Response, sent time.Time)

// ObserveResponses sets the observer of responses. It must be called before the first
// call of Stream.
func (c *Client) ObserveResponses(observe ResponseObserver) { c.observe = observe }

// NewClient returns a client with the given parameters.
func NewClient(config Config) *Client {
	if config.ProgressTimeout <= 0 {
		config.ProgressTimeout = defaultProgressTimeout
	}
	if config.ConnectTimeout <= 0 {
		config.ConnectTimeout = defaultConnectTimeout
	}
	return &Client{config: config, transports: make(map[target]*http.Transport)}
}

// Stream runs a completion and calls sink for each new chunk in index order.
// It ignores chunks of other requests and chunks that it already received. It
// returns nil after the chunk with the finish reason, the error of sink if sink
// failed, the error of ctx if ctx ended, and a *StreamError otherwise.
func (c *Client) Stream(ctx context.Context, addr string, req GenerateRequest, sink func(Chunk) error) error {
	req.Stream = true
	body, err := json.Marshal(req)
	if err != nil {
		return &StreamError{Failure: FailureNotSent, Addr: addr, err: eris.Wrap(err, "encode completion request")}
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &streamRun{client: c, addr: addr, request: req, sink: sink, next: len(req.Delivered)}
	watchdog := time.AfterFunc(c.config.ProgressTimeout, func() {
		run.timedOut.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	run.stopTimer = func() { watchdog.Stop() }
	run.resetTimer = func() { watchdog.Reset(c.config.ProgressTimeout) }
	err = run.do(streamCtx, body)
	if err == nil || ctx.Err() != nil && !run.timedOut.Load() {
		return contextErrorIfFailed(err, ctx.Err())
	}
	if run.timedOut.Load() && !run.sinkFailed {
		c.discardTransport(addr)
		// The engine may still be running the request, because it does not
		// necessarily notice that the connection is broken.
		c.cancel(ctx, addr, req.RequestID)
	}
	return run.classify(err)
}

// contextErrorIfFailed returns nil if err is nil, and ctxErr otherwise.
func contextErrorIfFailed(err, ctxErr error) error {
	if err == nil {
		return nil
	}
	return ctxErr
}

// streamRun holds the state of one Stream call.
type streamRun struct {
	client     *Client
	addr       string
	request    GenerateRequest
	sink       func(Chunk) error
	stopTimer  func() // stops the progress timeout
	resetTimer func() // restarts the progress timeout
	next       int    // index of the next chunk to accept
	connected  atomic.Bool
	timedOut   atomic.Bool
	sinkFailed bool
	status     int
	received   int
}

func (r *streamRun) do(ctx context.Context, body []byte) error {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			netdial.ExpireAt(info.Conn, r.request.Expires)
			r.connected.Store(true)
		},
	})
	sent := time.Now()
	response, err := r.client.post(ctx, target{r.addr, !r.request.Expires.IsZero()}, "/v1/completions", r.request.Workspace, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if r.client.observe != nil {
		r.client.observe(r.addr, r.request.RequestID, response, sent)
	}
	if response.StatusCode != http.StatusOK {
		r.status = response.StatusCode
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return eris.Errorf("engine responded with status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	}
	return readEvents(response.Body, r.accept)
}

// accept processes one chunk and reports whether the answer is complete.
func (r *streamRun) accept(chunk Chunk) (done bool, err error) {
	if chunk.RequestID != r.request.RequestID || chunk.Index < r.next {
		return false, nil
	}
	if chunk.Index > r.next {
		return false, eris.Errorf("missing chunk: expected index %d, got %d", r.next, chunk.Index)
	}
	// The time that sink takes does not count towards the progress timeout, which
	// must not blame the engine for a caller that reads slowly.
	r.stopTimer()
	defer r.resetTimer()
	r.next++
	r.received++
	if err := r.sink(chunk); err != nil {
		r.sinkFailed = true
		return false, err
	}
	return chunk.FinishReason != "", nil
}

// classify returns err if sink caused it, and a *StreamError that wraps it
// otherwise.
func (r *streamRun) classify(err error) error {
	if r.sinkFailed {
		return err
	}
	failure := &StreamError{Addr: r.addr, Status: r.status, Received: r.received, err: err}
	switch {
	case !r.connected.Load():
		failure.Failure = FailureNotSent
	case errors.Is(err, netdial.ErrExpired):
		failure.Failure = FailureExpired
	case r.timedOut.Load():
		failure.Failure = FailureSilent
	case r.status != 0:
		failure.Failure = FailureRefused
	default:
		failure.Failure = FailureBroken
	}
	return failure
}

// target is an engine with the kind of its connections. Those of requests that expire are
// watched, see netdial.ExpireAt.
type target struct {
	addr    string
	expires bool
}

func (c *Client) post(ctx context.Context, t target, path, workspaceName string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create engine request")
	}
	request.Header.Set("Content-Type", "application/json")
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	if workspaceName != "" {
		request.Header.Set(workspace.Header, workspaceName)
	}
	response, err := httpclient.Transport{Transport: c.transport(t)}.RoundTrip(request)
	return response, eris.Wrapf(err, "call engine %s", t.addr)
}

// cancel asks an engine to stop a request, over a new connection. It is
// synchronous so that it cannot stop the next attempt, which has the same request
// ID and starts only after cancel returned.
func (c *Client) cancel(ctx context.Context, addr, requestID string) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	body, err := json.Marshal(map[string]string{"request_id": requestID})
	if err != nil {
		return
	}
	if response, err := c.post(ctx, target{addr: addr}, "/cancel", "", body); err == nil {
		response.Body.Close()
	}
}

// transport returns the transport of one engine. Each engine has its own
// connection pool, so that the pool of an engine that stopped responding can be
// discarded without affecting the others.
func (c *Client) transport(t target) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	transport, ok := c.transports[t]
	if ok {
		return transport
	}
	if len(c.transports) >= maxTransports {
		for _, old := range c.transports {
			old.CloseIdleConnections()
		}
		clear(c.transports)
	}
	dialer := &net.Dialer{Timeout: c.config.ConnectTimeout, KeepAlive: 5 * time.Second}
	dial := netdial.DiscardUnsent(dialer.DialContext)
	if t.expires {
		dial = netdial.WatchExpiry(dialer.DialContext)
	}
	transport = &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	c.transports[t] = transport
	return transport
}

// discardTransport makes later calls to an engine use new connections: if one
// connection stopped responding, idle ones to the same engine may be broken too.
func (c *Client) discardTransport(addr string) {
	for _, t := range []target{{addr, false}, {addr, true}} {
		c.mu.Lock()
		transport := c.transports[t]
		delete(c.transports, t)
		c.mu.Unlock()
		if transport != nil {
			transport.CloseIdleConnections()
		}
	}
}

// AcceptsConnections reports whether the engine accepts a new TCP connection.
func (c *Client) AcceptsConnections(ctx context.Context, addr string) bool {
	dialer := &net.Dialer{Timeout: c.config.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
