// Package member decides the membership of entry hosts: probes, indirect
// probes, suspicion with refutation by incarnation, join, leave and failure.
//
// The package does no I/O and reads no clock. The caller passes the time and
// received messages in, and sends the messages that come back. The contract:
//
//   - a row of a member is ordered by incarnation, then alive, suspect, dead;
//   - only the member itself raises its incarnation, and it never lowers it;
//   - a member that runs and is reachable refutes every suspicion and death;
//   - dead members are still probed at a low rate, so that both sides of a
//     network partition find each other again;
//   - every message fits into MaxPacketBytes once encoded.
package member
