// Package lease decides which entry host owns which replica and which host may
// send orders to it. It applies the records of the view stream in offset order,
// maintains the view of each data centre, that is, the set of hosts that own
// its replicas, and decides when this host proposes a new view.
//
// The protocol:
//
//   - A record is accepted only if its base epoch is the current epoch, so all
//     readers of the stream agree on the view.
//   - A reader that starts after the beginning of the stream treats its first
//     view as provisional until a later record names it as base, and sends no
//     orders under a provisional view.
//   - The fencing number of an order is the epoch of the view, which is the
//     offset of the view's record.
//   - For engines that ignore fencing numbers, the lease term separates the
//     orders of two successive owners in time.
package lease
