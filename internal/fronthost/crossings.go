package fronthost

import (
	"context"
	"time"

	"github.com/sesamestand/sesamestand/internal/backend"
)

// countedBackends counts the bytes that calls exchange with backend servers in other data
// centres: paths, bodies and events, without the heads of HTTP.
type countedBackends struct {
	Backends
	host *Host
}

// isRemote reports whether a target is registered in another data centre.
func (c *countedBackends) isRemote(t backend.Target) bool {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	s := c.host.state.Servers.Get(t.ID)
	return s != nil && s.DataCentre != c.host.settings.Host.DataCentre
}

func (c *countedBackends) count(call backend.CallKind, sent, received int) {
	c.host.recorder.Add("cross_bytes_total", int64(sent), "call", string(call), "way", "sent")
	c.host.recorder.Add("cross_bytes_total", int64(received), "call", string(call), "way", "received")
}

// Call implements backend.Client.
func (c *countedBackends) Call(ctx context.Context, t backend.Target, r *backend.Request, timeout time.Duration) (*backend.Response, error) {
	response, err := c.Backends.Call(ctx, t, r, timeout)
	if c.isRemote(t) {
		c.count(backend.CallRequest, requestBytes(r), responseBytes(response))
	}
	return response, err
}

// Stream implements backend.Client.
func (c *countedBackends) Stream(ctx context.Context, t backend.Target, s *backend.Stream) backend.RunEnd {
	if !c.isRemote(t) {
		return c.Backends.Stream(ctx, t, s)
	}
	received := 0
	counted := *s
	counted.OnEvent = func(e backend.Event) {
		received += len(e.Raw)
		s.OnEvent(e)
	}
	end := c.Backends.Stream(ctx, t, &counted)
	c.count(backend.CallStream, requestBytes(s.Request), received+responseBytes(end.Response))
	return end
}

// Run implements backend.Client.
func (c *countedBackends) Run(ctx context.Context, t backend.Target, r *backend.Run, onEvent func(backend.Event)) backend.RunEnd {
	if !c.isRemote(t) {
		return c.Backends.Run(ctx, t, r, onEvent)
	}
	received := 0
	end := c.Backends.Run(ctx, t, r, func(e backend.Event) {
		received += len(e.Data)
		onEvent(e)
	})
	c.count(backend.CallRun, len(r.Path)+len(r.Body), received+responseBytes(end.Response))
	return end
}

func requestBytes(r *backend.Request) int { return len(r.URI) + len(r.Body) }

func responseBytes(r *backend.Response) int {
	if r == nil {
		return 0
	}
	return len(r.Body)
}
