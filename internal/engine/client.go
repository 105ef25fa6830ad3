package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultProgressTimeout = 5 * time.Second
	defaultConnectTimeout  = time.Second
	// cancelTimeout bounds the cancel call after a connection went silent.
	cancelTimeout = 500 * time.Millisecond
	// maxTransports bounds the transports kept; replicas are replaced all the
	// time, so the map would otherwise grow without end.
	maxTransports = 4096
)

// Config holds the parameters of a Client. Zero values mean defaults.
type Config struct {
	// ProgressTimeout is the longest gap between two accepted chunks.
	ProgressTimeout time.Duration
	ConnectTimeout  time.Duration
	// Token is sent as bearer token; empty sends none.
	Token string
}

// Client calls model engines. It is safe for concurrent use.
type Client struct {
	config     Config
	mu         sync.Mutex
	transports map[string]*http.Transport
}

// NewClient returns a client for model engines.
func NewClient(config Config) *Client {
	if config.ProgressTimeout <= 0 {
		config.ProgressTimeout = defaultProgressTimeout
	}
	if config.ConnectTimeout <= 0 {
		config.ConnectTimeout = defaultConnectTimeout
	}
	return &Client{config: config, transports: make(map[string]*http.Transport)}
}

// Stream runs a completion and calls sink for each new chunk in index order.
// It drops chunks of other requests and chunks seen before. It returns nil
// after the chunk with the finish reason, the error of sink, the error of ctx
// when ctx ended, and a *StreamError otherwise.
func (c *Client) Stream(ctx context.Context, addr string, req GenerateRequest, sink func(Chunk) error) error {
	req.Stream = true
	body, err := json.Marshal(req)
	if err != nil {
		return &StreamError{Failure: FailureNotSent, Addr: addr, err: eris.Wrap(err, "encode the request")}
	}
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &streamRun{client: c, addr: addr, request: req, sink: sink, next: len(req.Delivered)}
	watchdog := time.AfterFunc(c.config.ProgressTimeout, func() {
		run.silent.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	run.pause = func() { watchdog.Stop() }
	run.progress = func() { watchdog.Reset(c.config.ProgressTimeout) }
	err = run.do(streamCtx, body)
	if err == nil || ctx.Err() != nil && !run.silent.Load() {
		return firstError(err, ctx.Err())
	}
	if run.silent.Load() && !run.sinkFailed {
		c.dropTransport(addr)
		// The engine may still work on a request whose connection is dead.
		c.cancel(ctx, addr, req.RequestID)
	}
	return run.classify(err)
}

func firstError(err, ctxErr error) error {
	if err == nil {
		return nil
	}
	return ctxErr
}

// streamRun is the state of one Stream call.
type streamRun struct {
	client     *Client
	addr       string
	request    GenerateRequest
	sink       func(Chunk) error
	pause      func() // stops the progress timeout
	progress   func() // starts it again
	next       int    // index of the next chunk to accept
	connected  atomic.Bool
	silent     atomic.Bool
	sinkFailed bool
	status     int
	received   int
}

func (r *streamRun) do(ctx context.Context, body []byte) error {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { r.connected.Store(true) },
	})
	response, err := r.client.post(ctx, r.addr, "/v1/completions", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		r.status = response.StatusCode
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return eris.Errorf("engine answered status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	}
	return readEvents(response.Body, r.accept)
}

// accept takes one chunk and reports whether the answer is whole.
func (r *streamRun) accept(chunk Chunk) (done bool, err error) {
	if chunk.RequestID != r.request.RequestID || chunk.Index < r.next {
		return false, nil
	}
	if chunk.Index > r.next {
		return false, eris.Errorf("chunk %d is missing; got chunk %d", r.next, chunk.Index)
	}
	// A caller that reads slowly does not make the engine silent.
	r.pause()
	defer r.progress()
	r.next++
	r.received++
	if err := r.sink(chunk); err != nil {
		r.sinkFailed = true
		return false, err
	}
	return chunk.FinishReason != "", nil
}

func (r *streamRun) classify(err error) error {
	if r.sinkFailed {
		return err
	}
	failure := &StreamError{Addr: r.addr, Status: r.status, Received: r.received, err: err}
	switch {
	case !r.connected.Load():
		failure.Failure = FailureNotSent
	case r.silent.Load():
		failure.Failure = FailureSilent
	case r.status != 0:
		failure.Failure = FailureRefused
	default:
		failure.Failure = FailureBroken
	}
	return failure
}

func (c *Client) post(ctx context.Context, addr, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create the request")
	}
	request.Header.Set("Content-Type", "application/json")
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	response, err := c.transport(addr).RoundTrip(request)
	return response, eris.Wrapf(err, "call engine %s", addr)
}

// cancel tells an engine to stop a request, over a new connection. It returns
// before a new attempt may start, so that it cannot stop that attempt.
func (c *Client) cancel(ctx context.Context, addr, requestID string) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	body, err := json.Marshal(map[string]string{"request_id": requestID})
	if err != nil {
		return
	}
	if response, err := c.post(ctx, addr, "/cancel", body); err == nil {
		response.Body.Close()
	}
}

// transport returns the connection pool of one engine. Each engine has its
// own, so that the pool of an engine whose connections went silent can be
// dropped alone.
func (c *Client) transport(addr string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	transport, ok := c.transports[addr]
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
	transport = &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	c.transports[addr] = transport
	return transport
}

// dropTransport makes later calls to an engine use new connections: when one
// connection went silent, idle ones to the same engine may be silent as well.
func (c *Client) dropTransport(addr string) {
	c.mu.Lock()
	transport := c.transports[addr]
	delete(c.transports, addr)
	c.mu.Unlock()
	if transport != nil {
		transport.CloseIdleConnections()
	}
}

// AcceptsConnections reports whether the engine accepts a new connection.
func (c *Client) AcceptsConnections(ctx context.Context, addr string) bool {
	dialer := &net.Dialer{Timeout: c.config.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
