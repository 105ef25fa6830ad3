// Package members runs the member role of an entry host: it drives
// core/member with the clock and with UDP packets, and serves the membership
// and the table of weight versions to the other roles. Reads never wait for
// the network.
package members
