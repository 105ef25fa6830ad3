package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	core "github.com/sesamestand/sesamestand/internal/core/intake"
)

const (
	// writeBlockBytes is the size of the blocks in which a response is written, so that its
	// progress is seen.
	writeBlockBytes = 64 << 10
	// refusalTimeout bounds how long a client whose head is refused may go on sending. An
	// earlier close would reset the connection before the client reads the response.
	refusalTimeout = 500 * time.Millisecond
	// maxDiscardBytes bounds what it may send.
	maxDiscardBytes = 1 << 20
)

var (
	// ErrNoMemory is the error of a body for which there is no memory.
	ErrNoMemory = errors.New("the requests that are being read exceed the memory for them")
	errLongHead = errors.New("head exceeds the maximum size")
)

// stage is what the server does with a connection.
type stage int

const (
	expecting stage = iota // waits for a head, or reads it
	handling               // a handler runs
	finishing              // sends the rest of the response and discards the rest of the body
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	guard  *Guard
	id     core.ID
	peer   bool // carries gRPC
	opaque bool // the bytes are encrypted

	held   int64 // guarded by guard.mu
	beside int64 // part of held that the request takes beside its head and body; guarded by guard.mu

	mu     sync.Mutex
	stage  stage
	head   core.HeadScanner // of the head that is arriving
	closed bool
	ended  chan struct{} // closed with the connection
}

// Read implements net.Conn. It returns bytes of a head only once their memory is counted.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.peer {
		return n, err
	}
	c.progress(n)
	if headErr := c.receiveHead(p[:n]); headErr != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: headErr}
	}
	return n, err
}

// receiveHead counts bytes of a head.
func (c *Conn) receiveHead(block []byte) error {
	c.mu.Lock()
	if c.stage != expecting {
		c.mu.Unlock()
		return nil
	}
	c.head.Ended = false // the parser reads on, so the head has not ended for it
	if c.head.Bytes == 0 {
		c.enter(core.Head)
	}
	before := core.HeadBytes(c.head.Bytes, c.head.Lines)
	if c.opaque {
		c.head.Bytes += len(block) // lines are counted when the head was read
	} else {
		c.head.Scan(block)
	}
	bytes, size := c.head.Bytes, core.HeadBytes(c.head.Bytes, c.head.Lines)
	c.mu.Unlock()
	if !c.opaque && bytes > c.guard.maxHead() {
		c.guard.record("refused", core.LongHead, c.RemoteAddr())
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		return errLongHead
	}
	return c.grow(nil, size-before)
}

func (g *Guard) maxHead() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.headBytes
}

// refuse sends a response without a body to a head that is not read further, and discards
// what still arrives.
func (c *Conn) refuse(status int) {
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	line := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(c.Conn, line); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardBytes)
	}
}

// enter begins a phase of the connection.
func (c *Conn) enter(phase core.Phase) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Enter(c.id, phase, time.Now())
}

func (c *Conn) progress(bytes int) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Progress(c.id, bytes, time.Now())
}

// grow adds to what the connection holds, and waits for room for it. r is the request that
// is handled, or nil while its head arrives.
func (c *Conn) grow(r *request, bytes int64) error {
	deadline := time.NewTimer(roomTimeout)
	defer deadline.Stop()
	for {
		granted, changed, err := c.tryGrow(r, bytes)
		if granted || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-c.ended:
			return net.ErrClosed
		case <-deadline.C:
			c.guard.record("refused", core.NoMemory, c.RemoteAddr())
			return ErrNoMemory
		}
	}
}

// tryGrow adds to what the connection holds if there is room. Otherwise it closes
// connections and returns a channel that is closed when it can be tried again.
func (c *Conn) tryGrow(r *request, bytes int64) (granted bool, changed <-chan struct{}, err error) {
	g := c.guard
	g.mu.Lock()
	if r != nil && r.ended {
		g.mu.Unlock()
		return false, nil, net.ErrClosed
	}
	verdict, closing := g.table.Hold(c.id, c.held+bytes, time.Now())
	if verdict == core.Refuse {
		g.mu.Unlock()
		g.record("refused", core.NoMemory, c.RemoteAddr())
		return false, nil, ErrNoMemory
	}
	granted = verdict == core.Granted
	if granted {
		c.held += bytes
	}
	if granted && bytes < 0 {
		g.notify()
	}
	changed = g.changed
	g.mu.Unlock()
	g.close(closing)
	return granted, changed, nil
}

// add adds to what the connection holds, whether there is room or not.
func (c *Conn) add(bytes int64) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.held += bytes
	c.guard.table.Add(c.id, bytes)
}

func (c *Conn) besideHeld() int64 {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.beside
}

// begin notes that a handler begins.
func (c *Conn) begin(expectsBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage, c.head = handling, core.HeadScanner{}
	if expectsBody {
		c.enter(core.Body)
	} else {
		c.enter(core.Running)
	}
}

// end notes that the handler has ended.
func (c *Conn) end(bodyEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage = finishing
	if c.closed {
		c.guard.remove(c) // the handler took the connection over and closed it
	} else if !bodyEnded {
		c.enter(core.Body)
	}
}

// idle notes that the response was sent.
func (c *Conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage = expecting
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.held, c.beside = 0, 0
	g.table.Add(c.id, -g.table.HeldBy(c.id))
	g.table.Enter(c.id, core.Idle, time.Now())
	g.notify()
}

// Write implements net.Conn. Bytes that the kernel has not taken yet count as memory, unless
// the request has counted its response.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) <= writeBlockBytes {
		return c.writeBlock(p)
	}
	if uncounted := max(int64(len(p))-c.besideHeld(), 0); uncounted > 0 {
		c.add(uncounted)
		defer c.add(-uncounted)
	}
	written := 0
	for written < len(p) {
		n, err := c.writeBlock(p[written:min(len(p), written+writeBlockBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *Conn) writeBlock(p []byte) (int, error) {
	c.writing(true)
	defer c.writing(false)
	return c.Conn.Write(p)
}

func (c *Conn) writing(writing bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Writing(c.id, writing, time.Now())
}

// CloseWrite closes the sending side, which net/http does before it closes a connection
// whose client may still send.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// abort closes the connection for the sake of others. What its handler holds is returned
// when it has ended.
func (c *Conn) abort() {
	_ = c.SetLinger(0) // the client may read nothing, and its bytes must not stay in the kernel
	_ = c.closeConn()
}

func (c *Conn) closeConn() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		close(c.ended)
	}
	return c.Conn.Close()
}

// Close implements net.Conn. The server calls it when it has done with the connection, and
// a handler that took it over.
func (c *Conn) Close() error {
	err := c.closeConn()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage != handling {
		c.guard.remove(c)
	}
	return err
}

// SetLinger sets whether unsent bytes are sent or discarded when the connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
