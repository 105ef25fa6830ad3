// Package inventory polls the platform's host list of backend servers. The list
// may be outdated or unavailable; the last copy that was read stays in use.
package inventory

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/cluster"
	"github.com/sesamestand/sesamestand/internal/platform"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

const (
	pollInterval = time.Second
	readTimeout  = 3 * time.Second
)

// Controller polls the host list.
type Controller struct {
	list     platform.HostList
	recorder *telemetry.Recorder

	mu      sync.Mutex
	servers []platform.BackendServer
	failing bool // the last read failed
}

var _ cluster.Inventory = (*Controller)(nil)

// New returns a Controller without backend servers; Run reads the list.
func New(list platform.HostList, recorder *telemetry.Recorder) *Controller {
	return &Controller{list: list, recorder: recorder}
}

// BackendServers implements cluster.Inventory.
func (c *Controller) BackendServers() []platform.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers
}

// Ready reports whether at least one backend server is known. Without one, the
// host could only refuse requests.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.servers) > 0
}

// Run polls the host list until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		c.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Controller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	servers, err := c.list.BackendServers(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.recorder.Count("host_list_errors_total")
		if !c.failing {
			klog.ErrorS(err, "failed to read the host list, using the last known one")
		}
		c.failing = true
		return
	}
	c.failing = false
	c.servers = servers
}
