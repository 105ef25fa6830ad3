// Package members implements the membership role of an entry host. It drives
// core/member with the clock and with UDP packets, and provides the membership
// and the newest weight versions to the other roles. Reads never wait for the
// network.
package members
