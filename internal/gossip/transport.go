package gossip

import (
	"context"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/core/member"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// receiveBufferBytes is the size of the socket's receive buffer. It holds packets
// that arrive while the process is busy or paused.
const receiveBufferBytes = 256 << 10

// Received is a message with the address of its sender.
type Received struct {
	Message member.Message
	Source  string
}

// Transport sends and receives messages on one UDP socket.
type Transport struct {
	codec    *Codec
	conn     *net.UDPConn
	recorder *telemetry.Recorder
}

// Listen opens the UDP socket of an entry host.
func Listen(addr, clusterToken string, recorder *telemetry.Recorder) (*Transport, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "peer address %q is not IP:port", addr)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, eris.Wrap(err, "open the membership UDP socket")
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		klog.ErrorS(err, "failed to set the receive buffer of the membership socket", "addr", addr)
	}
	return &Transport{codec: NewCodec(clusterToken), conn: conn, recorder: recorder}, nil
}

// Send sends one message. Errors are counted and otherwise treated like packet
// loss.
func (t *Transport) Send(s member.Send) {
	data, err := t.codec.Encode(s.Message)
	if err != nil {
		t.count("gossip_packets_dropped_total", "reason", "encode")
		klog.ErrorS(err, "failed to encode membership packet", "to", s.Message.To)
		return
	}
	to, err := netip.ParseAddrPort(s.Addr)
	if err != nil {
		t.count("gossip_packets_dropped_total", "reason", "address")
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		t.count("gossip_packets_dropped_total", "reason", "send")
		return
	}
	t.add("gossip_sent_bytes_total", len(data))
}

// Receive passes valid messages to handle until ctx ends, then closes the socket.
func (t *Transport) Receive(ctx context.Context, handle func(Received)) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buffer := make([]byte, member.MaxPacketBytes+1)
	for {
		n, source, err := t.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return nil
			}
			t.count("gossip_packets_dropped_total", "reason", "receive")
			continue
		}
		t.add("gossip_received_bytes_total", n)
		m, err := t.codec.Decode(buffer[:n])
		if err != nil {
			t.count("gossip_packets_dropped_total", "reason", "decode")
			klog.V(2).ErrorS(err, "dropped invalid membership packet", "source", source.String())
			continue
		}
		handle(Received{Message: m, Source: netip.AddrPortFrom(source.Addr().Unmap(), source.Port()).String()})
	}
}

// Close closes the socket of a transport that is not receiving.
func (t *Transport) Close() error { return t.conn.Close() }

func (t *Transport) count(name string, labels ...string) {
	if t.recorder != nil {
		t.recorder.Count(name, labels...)
	}
}

func (t *Transport) add(name string, n int) {
	if t.recorder != nil {
		t.recorder.Add(name, int64(n))
	}
}
