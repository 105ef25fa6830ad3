// Package place decides what each replica of a data centre should run and
// which orders bring it there: model, weight version, adapters and role.
//
// Every owner of the data centre computes the same assignment and the same
// rollout order from the host list, the declarations and the newest version,
// so that owners need no messages about single replicas.
//
// A weight rollout visits the replicas of a model in a pseudo-random order that
// depends on the version. The order is cut into chains: the first storeLoads
// replicas load from the weight store, each further one waits for a predecessor
// and copies the weights from it, and at most as many chains run side by side
// as replicas may be missing by the declared share. An owner therefore reads
// one foreign replica for each of its own.
//
// After a fixed time, and at once when the chains cannot be trusted (a changed
// host list, a version that superseded another in mid-rollout), the owners
// take turns instead: in its turn an owner reads the state of all replicas of
// the model, counts those that do not serve, and orders only as many swaps as
// the share allows. Failed swaps are repeated only in turns.
//
// The package does no I/O and reads no clock.
package place
