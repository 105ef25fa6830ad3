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
	"github.com/sesamestand/sesamestand/internal/platform"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout closes pooled connections early, because an open connection can
	// go silent while new ones work.
	idleTimeout = 30 * time.Second
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 16 << 20
)

// errAnswerTooLarge reports an answer over maxAnswerBytes.
var errAnswerTooLarge = errors.New("the answer is over 16 MiB")

// client sends calls to backend servers. It never repeats a call.
//
// Go's transport sends a request again by itself when a pooled connection
// breaks before the answer, also a POST that carries an Idempotency-Key and
// whose body it can rewind. Calls that must not be repeated therefore use a
// connection of their own, on which the transport has nothing to retry, and a
// body that it cannot rewind. Redirects are passed to the caller, because
// following one repeats the call.
type client struct {
	token  string
	pooled *http.Client
}

func newClient(token string) *client {
	return &client{token: token, pooled: &http.Client{
		Transport:     newTransport(false, nil),
		CheckRedirect: noRedirect,
	}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newTransport(single bool, connected *atomic.Bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err == nil && connected != nil {
				connected.Store(true)
			}
			return conn, err
		},
		DisableKeepAlives:   single,
		DisableCompression:  true, // answers are passed on as they are
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     idleTimeout,
	}
}

// once sends a call on a new connection. Reached says whether a connection was
// made, so that the backend server may have got the call.
func (c *client) once(ctx context.Context, server platform.BackendServer, r *request, key string) (a *answer, reached bool, err error) {
	var connected atomic.Bool
	transport := newTransport(true, &connected)
	defer transport.CloseIdleConnections()
	a, err = c.send(ctx, &http.Client{Transport: transport, CheckRedirect: noRedirect}, server, r, key)
	return a, connected.Load(), err
}

// repeatable sends a request that may run more than once. A retry uses a new
// connection, because the pooled ones may have gone silent.
func (c *client) repeatable(ctx context.Context, server platform.BackendServer, r *request, retry bool) (*answer, error) {
	if retry {
		a, _, err := c.once(ctx, server, r, "")
		return a, err
	}
	a, err := c.send(ctx, c.pooled, server, r, "")
	if err != nil {
		c.pooled.CloseIdleConnections()
	}
	return a, err
}

func (c *client) send(ctx context.Context, client *http.Client, server platform.BackendServer, r *request, key string) (*answer, error) {
	var body io.Reader
	if len(r.body) > 0 {
		body = &plainReader{data: r.body}
	}
	outgoing, err := http.NewRequestWithContext(ctx, r.method, "http://"+server.Addr+r.uri, body)
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}
	outgoing.ContentLength = int64(len(r.body))
	outgoing.Header = r.header.Clone()
	outgoing.Header.Del("Authorization") // the caller's token is for the entry host
	if c.token != "" {
		outgoing.Header.Set("Authorization", "Bearer "+c.token)
	}
	outgoing.Header.Set(httpapi.HeaderRequestID, r.id)
	if key != "" {
		outgoing.Header.Set(httpapi.HeaderIdempotencyKey, key)
	}
	response, err := client.Do(outgoing)
	if err != nil {
		return nil, eris.Wrapf(err, "call backend server %s", server.ID)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "read the answer of backend server %s", server.ID)
	}
	if len(data) > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return &answer{status: response.StatusCode, header: passedOn(response.Header), body: data}, nil
}

// plainReader is a body of a type that net/http does not know, so that the
// transport cannot rewind it to send it a second time.
type plainReader struct{ data []byte }

func (r *plainReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}
