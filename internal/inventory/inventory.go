// Package inventory follows the platform's list of backend servers. The list
// lags and can be out of reach; the newest copy that could be read is kept.
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
	failing bool
}

var _ cluster.Inventory = (*Controller)(nil)

// New returns a controller that has read nothing yet.
func New(list platform.HostList, recorder *telemetry.Recorder) *Controller {
	return &Controller{list: list, recorder: recorder}
}

// BackendServers implements cluster.Inventory.
func (c *Controller) BackendServers() []platform.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers
}

// Ready says whether at least one backend server is known. Without one, a host
// could only refuse.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.servers) > 0
}

// Run polls until ctx ends.
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
			klog.ErrorS(err, "read the host list; keeping the former one")
		}
		c.failing = true
		return
	}
	c.failing = false
	c.servers = servers
}
