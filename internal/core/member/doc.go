// Package member implements the membership protocol of entry hosts, a variant of
// SWIM: direct and indirect probes for failure detection, suspicion with
// refutation by incarnation, join and leave, and updates that spread by gossip.
//
// The package does no I/O and reads no clock. The caller passes in the time and
// received messages, and sends the messages that are returned. The protocol
// guarantees:
//
//   - The rows of a member are ordered by incarnation, then by state: alive,
//     suspect, dead.
//   - Only the member itself raises its incarnation, and it never lowers it.
//   - A member that runs and is reachable refutes every suspicion and every
//     report of its death.
//   - Dead members are still probed at a low rate, so that both sides of a
//     network partition find each other again.
//   - Every message fits into MaxPacketBytes once encoded.
package member
