// Package gossip is the UDP transport of core/member. It encodes messages as
// protobuf, signs them with HMAC-SHA256 under the cluster's token, and drops
// packets that are too long, malformed or signed with another token. A packet
// never exceeds member.MaxPacketBytes.
package gossip
