package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// newConn makes a connection of a link, whole before the link knows of it: it may be reset from then on.
func (l *Link) newConn(sock, far *net.TCPConn, dialled bool) *Conn {
	c := &Conn{link: l, sock: sock, far: far, dialled: dialled, gone: make(chan struct{})}
	c.in, c.out = newQueue(&l.there), newQueue(&l.back)
	if dialled { // the process is at the far end: what it sends is the way back
		c.in, c.out = c.out, c.in
	}
	c.in.onReset, c.out.onReset = c.breakOff, c.breakOff
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		c.in.reset()
		c.out.reset()
	}
	l.conns[c] = struct{}{}
	return c
}

// Conn is one connection through a link. A party of the lab reads and writes it as its end.
type Conn struct {
	link    *Link
	in      *queue // what the process at the front sends
	out     *queue // what it is sent
	sock    *net.TCPConn
	far     *net.TCPConn // a process at the other end
	dialled bool

	rest   []byte
	came   int64 // of what Read returned last
	once   sync.Once
	gone   chan struct{}
	goneAt atomic.Int64
	shut   atomic.Bool
	half   atomic.Bool // the lab's party has ended its sending, and reads on
	broken atomic.Bool // by the lab or one of its faults
	// sent is how many bytes have been sent on their way to the front, written how many of them have been written there.
	sent, written atomic.Uint64
}

// Peer is the name of the process at the front.
func (c *Conn) Peer() string {
	if c.dialled {
		return c.link.To
	}
	return c.link.From
}

// Read reads what came through.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		got, err := c.in.pop(64 << 10)
		if err != nil {
			return 0, err
		}
		if got.end != nil {
			return 0, got.eof()
		}
		c.rest, c.came = got.data, got.came
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Came is when what Read returned last was read at the front, on the run's clock.
func (c *Conn) Came() int64 { return c.came }

// Write sends bytes on their way.
func (c *Conn) Write(p []byte) (int, error) { return len(p), c.Send(p, nil) }

// Send sends bytes on their way, and tells when the last of them was written at the front, or that it never was.
func (c *Conn) Send(p []byte, after func(at int64, ok bool)) error {
	c.sent.Add(uint64(len(p)))
	return c.out.push(chunk{data: append([]byte(nil), p...), came: c.link.net.Clock.Now(), after: after})
}

// SetReadDeadline bounds Read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// CloseWrite ends the sending of the lab's party once what is on its way has come, and lets it read on.
func (c *Conn) CloseWrite() {
	if !c.half.Swap(true) {
		c.out.end(io.EOF, c.link.net.Clock.Now())
	}
}

// Close ends the connection in order: what is on its way still comes.
func (c *Conn) Close() error {
	if c.shut.Swap(true) {
		return nil
	}
	if c.half.Load() {
		return c.sock.Close()
	}
	c.out.end(io.EOF, c.link.net.Clock.Now())
	return nil
}

// Abort resets the connection.
func (c *Conn) Abort() {
	c.shut.Store(true)
	c.in.reset()
	c.out.reset()
	if c.far != nil {
		abort(c.far)
	}
	if c.sock != nil {
		abort(c.sock)
	}
	c.leave()
}

// breakOff resets the connection as a fault of the network does.
func (c *Conn) breakOff() {
	c.broken.Store(true)
	c.Abort()
}

// Broken tells whether the network broke the connection, and not the process at the front.
func (c *Conn) Broken() bool { return c.broken.Load() }

// Gone is closed once the process at the front has ended its sending, whether the other end has heard or not.
func (c *Conn) Gone() <-chan struct{} { return c.gone }

// GoneAt is when that was.
func (c *Conn) GoneAt() int64 { return c.goneAt.Load() }

func (c *Conn) leave() {
	c.once.Do(func() {
		c.goneAt.Store(c.link.net.Clock.Now())
		close(c.gone)
	})
}

// carryIn takes in what a socket brings.
func (c *Conn) carryIn(from *net.TCPConn, to *queue, left func()) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		came := c.link.net.Clock.Now()
		if n > 0 {
			if to.push(chunk{data: append([]byte(nil), buf[:n]...), came: came}) != nil {
				abort(from)
				if left != nil {
					left()
				}
				return
			}
		}
		if err != nil {
			if left != nil {
				left()
			}
			how := io.EOF
			if !errors.Is(err, io.EOF) {
				how = errReset
			}
			to.end(how, came)
			return
		}
	}
}

// carryOut brings a socket what is due.
func (c *Conn) carryOut(from *queue, to *net.TCPConn) {
	defer c.drop()
	for {
		got, err := from.pop(64 << 10)
		if err != nil {
			abort(to)
			return
		}
		if got.end != nil {
			if got.end == errReset {
				abort(to)
			} else if c.far != nil || c.half.Load() {
				to.CloseWrite()
			} else {
				to.Close()
			}
			return
		}
		// Stamped before it is written: the process may read it, and close, before this goes on.
		at := c.link.net.Clock.Now()
		n, err := to.Write(got.data)
		if to == c.sock {
			c.written.Add(uint64(n))
		}
		if got.after != nil {
			got.after(at, err == nil)
		}
		if err != nil {
			from.reset()
			abort(to)
			return
		}
	}
}

// drop forgets a connection that has ended.
func (c *Conn) drop() {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	delete(c.link.conns, c)
	c.in.way.remove(c.in)
	c.out.way.remove(c.out)
}

// abort closes a socket with a reset.
func abort(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
