// Package place decides what each replica of a data centre should run (model,
// weight version, adapters and role) and which orders bring it there.
//
// The owners of a data centre are the hosts among which its replicas are
// divided. Every owner computes the same assignment and the same rollout order
// from the host list, the declarations and the newest version, so that owners
// need not exchange messages about single replicas.
//
// A weight rollout visits the replicas of a model in a pseudo-random order that
// depends on the version. The order is divided into chains: the first
// maxStoreLoads replicas load from the weight store, and each further replica
// waits for a predecessor and copies the weights from it. The number of chains
// that run in parallel is at most the number of replicas that may be unavailable
// under the declared minimum serving share. An owner therefore reads the state
// of one replica of another owner for each of its own.
//
// After a fixed time, and at once when the chains are unreliable (the host list
// has changed, or a version has superseded another during its rollout), the
// owners switch to counting. They rotate through time slots: in its slot, an
// owner reads the state of all replicas of the model, counts those that do not
// serve, and orders only as many swaps as the share allows. Failed swaps are
// retried only by counting.
//
// The package does no I/O and reads no clock.
package place
