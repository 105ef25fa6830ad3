package services

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/httpapi"
	"github.com/sesamestand/sesamestand/internal/httpclient"
	"github.com/sesamestand/sesamestand/internal/netdial"
	"github.com/sesamestand/sesamestand/internal/platform"
)

const (
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds the body of a response, which is held in memory.
	maxResponseBytes = 16 << 20
)

// errResponseTooLarge reports a response whose body exceeds maxResponseBytes.
var errResponseTooLarge = errors.New("the answer is over 16 MiB")

// client sends calls to backend servers and does not retry them.
//
// Each call has a connection of its own. On a connection that is used again, Go's HTTP
// transport may take bytes after one answer for the answer to the next call, and when it
// breaks before the response, the transport resends the request on its own, including a
// POST that carries an Idempotency-Key and whose body can be rewound. The body cannot be
// rewound here. Redirects are returned to the caller, because following one would repeat
// the call.
type client struct {
	token  string
	bodies *httpapi.BodyBudget
	// observe is called with each response before its body is read.
	observe func(server platform.BackendServer, requestID string, response *http.Response, sent time.Time)
}

func newClient(token string, bodies *httpapi.BodyBudget, observe func(platform.BackendServer, string, *http.Response, time.Time)) *client {
	return &client{token: token, bodies: bodies, observe: observe}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newTransport returns a transport that uses each connection once, and that sets
// connected when one was established. Connections expire as those of netdial.Expiring.
func newTransport(connected *atomic.Bool, expires time.Time) *http.Transport {
	dial := netdial.Expiring((&net.Dialer{Timeout: dialTimeout}).DialContext, expires)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err == nil {
				connected.Store(true)
			}
			return conn, err
		},
		DisableKeepAlives:  true,
		DisableCompression: true, // responses are forwarded unchanged
	}
}

// sendOnce sends a call on a new connection. The result reached reports whether
// the connection was established; if so, the backend server may have received
// the call even if an error is returned. It must not receive the call after expires, a time
// on the clock of boottime.Now, unless that is zero.
func (c *client) sendOnce(ctx context.Context, server platform.BackendServer, r *request, key string, expires time.Time) (a *bufferedResponse, reached bool, err error) {
	var connected atomic.Bool
	transport := newTransport(&connected, expires)
	defer transport.CloseIdleConnections()
	a, err = c.send(ctx, &http.Client{Transport: httpclient.Transport{Transport: transport}, CheckRedirect: noRedirect}, server, r, key)
	return a, connected.Load(), err
}

func (c *client) send(ctx context.Context, client *http.Client, server platform.BackendServer, r *request, key string) (*bufferedResponse, error) {
	var body io.Reader
	if len(r.body) > 0 {
		body = &nonRewindableReader{data: r.body}
	}
	outgoing, err := http.NewRequestWithContext(ctx, r.method, "http://"+server.Addr+r.uri, body)
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}
	outgoing.ContentLength = int64(len(r.body))
	outgoing.Header = r.header.Clone()
	outgoing.Header.Del("Authorization") // the caller's token authenticates it to the entry host only
	if c.token != "" {
		outgoing.Header.Set("Authorization", "Bearer "+c.token)
	}
	setWorkspace(outgoing.Header, r.caller)
	outgoing.Header.Set(httpapi.HeaderRequestID, r.id)
	if key != "" {
		outgoing.Header.Set(httpapi.HeaderIdempotencyKey, key)
	}
	sent := time.Now()
	response, err := client.Do(outgoing)
	if err != nil {
		return nil, eris.Wrapf(err, "call backend server %s", server.ID)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusSwitchingProtocols {
		return nil, eris.Wrapf(httpapi.ErrUpgraded, "call backend server %s", server.ID)
	}
	c.observe(server, r.id, response, sent)
	data, err := c.bodies.ReadResponse(ctx, response, maxResponseBytes)
	if errors.Is(err, httpapi.ErrBodyTooLong) {
		return nil, errResponseTooLarge
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read the answer of backend server %s", server.ID)
	}
	if err := httpapi.CheckBody(response, data); err != nil {
		return nil, eris.Wrapf(err, "read the answer of backend server %s", server.ID)
	}
	return &bufferedResponse{status: response.StatusCode, header: endToEndHeaders(response.Header), body: data}, nil
}

// nonRewindableReader is a request body of a type that net/http does not know, so
// that the transport cannot rewind it and send it a second time.
type nonRewindableReader struct{ data []byte }

func (r *nonRewindableReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}
