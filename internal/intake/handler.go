package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sesamestand/sesamestand/internal/cluster"
	core "github.com/sesamestand/sesamestand/internal/core/intake"
	"github.com/sesamestand/sesamestand/internal/httpapi"
)

// retryAfter is when callers may send a request again for which there was no memory.
const retryAfter = time.Second

// Server returns an HTTP server whose connections come from a listener of the guard.
// observe, if not nil, is called with the states of connections.
func (g *Guard) Server(handler http.Handler, observe func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{
		Handler: g.handler(handler), IdleTimeout: idleTimeout,
		// The guard has shorter limits, which may change while the server runs.
		ReadHeaderTimeout: idleTimeout, MaxHeaderBytes: g.serverHeadBytes(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if guarded := guardedConn(c); guarded != nil {
				return context.WithValue(ctx, connKey{}, guarded)
			}
			return ctx
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if guarded := guardedConn(c); guarded != nil && state == http.StateIdle {
				guarded.idle()
			}
			if observe != nil {
				observe(c, state)
			}
		},
	}
}

type connKey struct{}

// guardedConn returns the connection of the guard that carries c, or nil.
func guardedConn(c net.Conn) *Conn {
	if encrypted, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = encrypted.NetConn()
	}
	guarded, _ := c.(*Conn)
	return guarded
}

// serverHeadBytes returns the limit of heads in net/http. It holds for encrypted
// connections, whose heads the guard can't see.
func (g *Guard) serverHeadBytes() int {
	if g.options.Heads == nil {
		return DefaultHeadBytes
	}
	return maxHeadBytes
}

// request is the memory of a request that is being handled. It implements httpapi.ClientMemory.
type request struct {
	conn  *Conn
	body  int64 // held by the body
	ended bool  // guarded by the guard's mu
}

// Hold implements httpapi.ClientMemory.
func (r *request) Hold(more int64) error {
	if err := r.conn.grow(r, more); err != nil {
		return err
	}
	g := r.conn.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	r.conn.beside += more
	return nil
}

// handler counts the memory of requests until next has ended.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		body := &body{ReadCloser: r.Body, conn: conn, ended: r.Body == http.NoBody || r.ContentLength == 0}
		conn.begin(!body.ended && r.ProtoMajor < 2)
		defer func() { conn.end(body.ended || r.ProtoMajor >= 2) }()
		request := &request{conn: conn}
		defer request.end()
		if conn.opaque && request.Hold(core.HeadBytes(0, headerLines(r.Header))) != nil {
			httpapi.WriteRefusalWithStatus(w, "", BodyRefusal(ErrNoMemory), http.StatusServiceUnavailable)
			return
		}
		r = r.WithContext(httpapi.WithClientMemory(r.Context(), request))
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

func headerLines(h http.Header) int {
	lines := 0
	for _, values := range h {
		lines += len(values)
	}
	return lines
}

// body notes the end of a body, after which its request may be passed on.
type body struct {
	io.ReadCloser
	conn  *Conn
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.conn.enter(core.Running)
	}
	return n, err
}

// ReadBody reads the body of a request of at most limit bytes. Its memory is counted until
// the response was sent. The error is an *http.MaxBytesError if the body is longer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	hold := func(int64) error { return nil }
	if request, ok := httpapi.ClientMemoryOf(r.Context()).(*request); ok {
		hold = request.holdBody
	}
	data, err := httpapi.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, hold)
	if errors.Is(err, httpapi.ErrBodyTooLong) {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return data, err
}

// Hold counts memory that a client's request takes beside its body, before it is taken. ctx
// is the context of the request.
func Hold(ctx context.Context, bytes int64) error {
	if m := httpapi.ClientMemoryOf(ctx); m != nil {
		return m.Hold(bytes)
	}
	return nil
}

func (r *request) holdBody(size int64) error {
	if err := r.conn.grow(r, size-r.body); err != nil {
		return err
	}
	r.body = size
	return nil
}

// end notes that the request is not handled any more. A call for it that still runs counts
// no further memory, which nobody would return.
func (r *request) end() {
	r.conn.guard.mu.Lock()
	defer r.conn.guard.mu.Unlock()
	r.ended = true
}

// BodyRefusal returns the refusal of a request whose body was not read or decoded. The
// request was not run.
func BodyRefusal(err error) *cluster.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonTooLarge, Message: "the body is over " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	case errors.Is(err, ErrNoMemory):
		return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonOverload, Message: err.Error(), RetryAfter: retryAfter}
	}
	return &cluster.Refusal{Outcome: cluster.OutcomeNotRun, Reason: cluster.ReasonBadRequest, Message: "the body could not be read: " + err.Error()}
}
