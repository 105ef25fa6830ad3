// Package orders implements the part of the owner role that controls engines:
// it follows the view stream, proposes views, reads the state of owned replicas,
// and sends the orders that core/place plans. A view is the agreed list of the
// hosts of a data centre that own its replicas. An order tells an engine to load
// a model, a weight version or an adapter, or to change its role.
//
// It serves cluster.Ownership and cluster.ReplicaStates from immutable
// snapshots, so that callers never wait for the log or an engine. Immediately
// before each order it reads the engine's state and checks with core/lease that
// the order is permitted.
package orders
