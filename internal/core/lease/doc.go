// Package lease decides which entry host owns which replica and which host may
// order it. It applies the records of the view stream in offset order, keeps
// the view of each data centre, and says when this host should propose a view.
//
// The contract:
//
//   - a record is accepted only if its base epoch is the epoch in force, so all
//     readers of the stream agree on the view;
//   - a reader that starts behind the start of the stream holds its first view
//     as provisional until a later record names it as base, and gives no order
//     under a provisional view;
//   - the fencing number of an order is the epoch of the view, the offset of
//     its record;
//   - for engines that ignore fencing numbers, orders of two holders are kept
//     apart in time by the lease term.
package lease
