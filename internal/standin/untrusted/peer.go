package untrusted

import (
	"bytes"
	"io"
	"net"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// peerStreams is the number of streams that a client opens on its connection.
	peerStreams = 24
	// maxFrameBytes is the largest frame that every HTTP/2 server takes.
	maxFrameBytes = 16 << 10
	// repeatedField is a field that refers to the newest entry of the dynamic table.
	repeatedField = 0x80 | 62
	peerMethod    = "/sesamestand.peer.v1.Limits/Acquire"
)

// PeerHeads opens streams to the peer address whose heads have the given size and are made
// of fields of one byte. The messages of the calls never arrive.
func (c *Crowd) PeerHeads(count int, addr string, headBytes int) {
	c.run(count, addr, func(_ int, conn net.Conn) {
		framer := newFramer(conn)
		if framer == nil {
			return
		}
		for stream := range peerStreams {
			if writeHead(framer, uint32(2*stream+1), headBytes, true) != nil {
				return
			}
		}
	})
}

// PeerLongHeads sends heads to the peer address that do not end.
func (c *Crowd) PeerLongHeads(count int, addr string) {
	c.run(count, addr, func(_ int, conn net.Conn) {
		if framer := newFramer(conn); framer != nil {
			_ = writeHead(framer, 1, endlessBytes, false)
		}
	})
}

// newFramer sends the preface of a connection, and discards what the host sends.
func newFramer(conn net.Conn) *http2.Framer {
	framer := http2.NewFramer(conn, nil)
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil || framer.WriteSettings() != nil {
		return nil
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	return framer
}

// writeHead writes a head of some headBytes in frames, and its end if it has one.
func writeHead(framer *http2.Framer, stream uint32, headBytes int, ends bool) error {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, field := range []hpack.HeaderField{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: peerMethod},
		{Name: ":authority", Value: "host"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"},
	} {
		field.Sensitive = true // keeps it out of the dynamic table
		if err := encoder.WriteField(field); err != nil {
			return err
		}
	}
	if err := encoder.WriteField(hpack.HeaderField{Name: "a", Value: "b"}); err != nil {
		return err
	}
	block.Write(bytes.Repeat([]byte{repeatedField}, headBytes-block.Len()))
	first := block.Next(maxFrameBytes)
	if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: first, EndHeaders: ends && block.Len() == 0}); err != nil {
		return err
	}
	for block.Len() > 0 {
		next := block.Next(maxFrameBytes)
		if err := framer.WriteContinuation(stream, ends && block.Len() == 0, next); err != nil {
			return err
		}
	}
	return nil
}
