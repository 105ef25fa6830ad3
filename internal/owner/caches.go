package owner

import "context"

// followCaches reads the cache events of the owned replicas.
func (c *Controller) followCaches(context.Context) {}
