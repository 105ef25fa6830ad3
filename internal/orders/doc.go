// Package orders runs the part of the owner role that controls engines: it
// follows the view stream, proposes views, reads the state of owned replicas
// back, and sends the orders that core/place asks for.
//
// It serves cluster.Ownership and cluster.ReplicaStates from immutable
// snapshots, so that callers never wait for the log or an engine. An order
// leaves only after a state read and a check of core/lease just before it.
package orders
