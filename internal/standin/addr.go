package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ipsUsed counts the loopback IPs that this process used.
var ipsUsed atomic.Uint32

// maxOctet bounds the parts of a loopback IP, so that none is 0 or 255.
const maxOctet = 250

// FreeAddrs returns n addresses for processes that are started and restarted. Each call
// uses a loopback IP of its own: on a shared IP, another process or an outgoing
// connection may take a port between its selection here and its use.
func FreeAddrs(n int) ([]string, error) {
	pid, number := os.Getpid(), int(ipsUsed.Add(1))
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%maxOctet, 1+(pid/maxOctet+number/maxOctet)%maxOctet, 1+number%maxOctet)
	var addrs []string
	for range n {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, eris.Wrap(err, "find free port")
		}
		// Listeners are closed only on return, so that no port is chosen twice.
		defer func() { _ = listener.Close() }()
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}
