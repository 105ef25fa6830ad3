package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net/netip"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/sesamestand/sesamestand/internal/core/member"
	"github.com/sesamestand/sesamestand/internal/gossip/gossippb"
)

// Errors for invalid packets.
var (
	ErrTooLong   = errors.New("packet exceeds the maximum size")
	ErrSignature = errors.New("packet signature does not match the cluster token")
)

// Codec encodes messages to signed packets and decodes them.
type Codec struct {
	key []byte
}

// NewCodec returns a codec that signs packets with the cluster token.
func NewCodec(clusterToken string) *Codec {
	return &Codec{key: []byte(clusterToken)}
}

// Encode returns the signed packet of a message.
func (c *Codec) Encode(m member.Message) ([]byte, error) {
	packet := &gossippb.Packet{Kind: int32(m.Kind), Seq: m.Seq, From: m.From, To: m.To, Subject: m.Subject,
		SubjectAddr: m.SubjectAddr, WantRows: m.WantRows, SyncOf: m.SyncDataCentre}
	for _, row := range m.Updates {
		addr, err := encodeAddr(row.Addr)
		if err != nil {
			return nil, eris.Wrapf(err, "encode the address of member %q", row.ID)
		}
		packet.Updates = append(packet.Updates, &gossippb.Row{Id: row.ID, DataCentre: row.DataCentre, Addr: addr,
			Incarnation: row.Incarnation, State: int32(row.State), Leaving: row.Leaving, Accuser: row.Reporter})
	}
	for _, v := range m.Versions {
		packet.Versions = append(packet.Versions, &gossippb.ModelVersion{Model: v.Model, Version: v.Version})
	}
	for _, d := range m.Digests {
		packet.Digests = append(packet.Digests, &gossippb.Digest{DataCentre: d.DataCentre, Sum: d.Sum})
	}
	body, err := proto.Marshal(packet)
	if err != nil {
		return nil, eris.Wrap(err, "encode packet")
	}
	data, err := proto.Marshal(&gossippb.Envelope{Signature: c.sign(body), Packet: body})
	if err != nil {
		return nil, eris.Wrap(err, "encode envelope")
	}
	if len(data) > member.MaxPacketBytes {
		return nil, eris.Wrapf(ErrTooLong, "%d bytes", len(data))
	}
	return data, nil
}

// Decode verifies the signature of a packet and returns its message.
func (c *Codec) Decode(data []byte) (member.Message, error) {
	var m member.Message
	if len(data) > member.MaxPacketBytes {
		return m, ErrTooLong
	}
	var envelope gossippb.Envelope
	if err := proto.Unmarshal(data, &envelope); err != nil {
		return m, eris.Wrap(err, "decode envelope")
	}
	if !hmac.Equal(envelope.Signature, c.sign(envelope.Packet)) {
		return m, ErrSignature
	}
	var packet gossippb.Packet
	if err := proto.Unmarshal(envelope.Packet, &packet); err != nil {
		return m, eris.Wrap(err, "decode packet")
	}
	return decodeMessage(&packet)
}

func decodeMessage(packet *gossippb.Packet) (member.Message, error) {
	m := member.Message{Kind: member.Kind(packet.Kind), Seq: packet.Seq, From: packet.From, To: packet.To,
		Subject: packet.Subject, SubjectAddr: packet.SubjectAddr, WantRows: packet.WantRows, SyncDataCentre: packet.SyncOf}
	for _, row := range packet.Updates {
		addr, err := decodeAddr(row.Addr)
		if err != nil {
			return m, eris.Wrapf(err, "decode the address of member %q", row.Id)
		}
		if row.State < int32(member.Alive) || row.State > int32(member.Dead) {
			return m, eris.Errorf("member %q has the unknown state %d", row.Id, row.State)
		}
		m.Updates = append(m.Updates, member.Row{ID: row.Id, DataCentre: row.DataCentre, Addr: addr,
			Incarnation: row.Incarnation, State: member.State(row.State), Leaving: row.Leaving,
			Reporter: row.Accuser})
	}
	for _, v := range packet.Versions {
		m.Versions = append(m.Versions, member.ModelVersion{Model: v.Model, Version: v.Version})
	}
	for _, d := range packet.Digests {
		m.Digests = append(m.Digests, member.Digest{DataCentre: d.DataCentre, Sum: d.Sum})
	}
	return m, nil
}

func (c *Codec) sign(body []byte) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write(body)
	return mac.Sum(nil)
}

// encodeAddr encodes an address as the bytes of its IP followed by the port in
// big-endian order.
func encodeAddr(addr string) ([]byte, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q is not IP:port", addr)
	}
	ip := parsed.Addr().Unmap().AsSlice()
	return append(ip, byte(parsed.Port()>>8), byte(parsed.Port())), nil
}

func decodeAddr(data []byte) (string, error) {
	if len(data) < 2 {
		return "", eris.New("address is too short")
	}
	ip, ok := netip.AddrFromSlice(data[:len(data)-2])
	if !ok {
		return "", eris.Errorf("address has an invalid length of %d bytes", len(data))
	}
	port := uint16(data[len(data)-2])<<8 | uint16(data[len(data)-1])
	return netip.AddrPortFrom(ip, port).String(), nil
}
