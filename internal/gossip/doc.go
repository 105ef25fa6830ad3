// Package gossip implements the UDP transport of core/member. It encodes messages
// as protobuf, signs them by HMAC-SHA256 with the cluster token, and drops packets
// that are too long, malformed or signed with another token. A packet never
// exceeds member.MaxPacketBytes.
package gossip
