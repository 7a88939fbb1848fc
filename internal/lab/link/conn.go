package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// newConn creates a connection and registers it with the link. It is complete before it is registered, because from
// then on a fault may reset it.
func (l *Link) newConn(sock, target *net.TCPConn, openedByParty bool) *Conn {
	c := &Conn{link: l, socket: sock, target: target, openedByParty: openedByParty, peerClosed: make(chan struct{})}
	c.fromPeer, c.toPeer = newQueue(&l.forward), newQueue(&l.reverse)
	if openedByParty { // the process is the link's To party: what it sends travels in the reverse direction
		c.fromPeer, c.toPeer = c.toPeer, c.fromPeer
	}
	c.fromPeer.onReset, c.toPeer.onReset = c.breakConn, c.breakConn
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.fromPeer.reset()
		c.toPeer.reset()
	}
	l.conns[c] = struct{}{}
	return c
}

// Conn is one connection through a link. The socket of the process under test (the peer) ends at the link's front; an
// emulated party uses Conn itself as its end of the connection.
type Conn struct {
	link          *Link
	fromPeer      *queue // bytes that the peer sends
	toPeer        *queue // bytes that are sent to the peer
	socket        *net.TCPConn
	target        *net.TCPConn // socket of the process at the other end; nil if an emulated party holds it
	openedByParty bool         // the emulated party opened the connection, not the peer

	unread         []byte
	receivedAt     int64 // when the bytes that Read returned last were read at the front, on the run's clock
	peerClosedOnce sync.Once
	peerClosed     chan struct{}
	peerClosedAt   atomic.Int64
	closed         atomic.Bool
	writeClosed    atomic.Bool // the emulated party has ended its sending and still reads
	broken         atomic.Bool // reset by the lab or by one of its faults
	// sent counts the bytes that were queued for the peer, written those that were written to its socket.
	sent, written atomic.Uint64
}

// Peer returns the name of the process under test.
func (c *Conn) Peer() string {
	if c.openedByParty {
		return c.link.To
	}
	return c.link.From
}

// Read reads bytes that the peer sent, once the link has delivered them.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		got, err := c.fromPeer.pop(64 << 10)
		if err != nil {
			return 0, err
		}
		if got.end != nil {
			return 0, got.readError()
		}
		c.unread, c.receivedAt = got.data, got.receivedAt
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// ReceivedAt returns when the bytes that Read returned last were read at the front, in microseconds on the run's clock.
func (c *Conn) ReceivedAt() int64 { return c.receivedAt }

// Write queues bytes for the peer.
func (c *Conn) Write(p []byte) (int, error) { return len(p), c.Send(p, nil) }

// Send queues bytes for the peer. If done is not nil, it is called after the last of them was written at the front, with the time
// just before that write, in microseconds on the run's clock, and whether the write succeeded. If the bytes are discarded, it is
// called with ok false.
func (c *Conn) Send(p []byte, done func(at int64, ok bool)) error {
	c.sent.Add(uint64(len(p)))
	return c.toPeer.push(chunk{data: append([]byte(nil), p...), receivedAt: c.link.net.Clock.Now(), done: done})
}

// SetReadDeadline sets the time at which Read fails with os.ErrDeadlineExceeded; zero means none. It always returns nil.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.fromPeer.setDeadline(t)
	return nil
}

// CloseWrite ends the sending direction after the queued bytes are delivered. Reading goes on.
func (c *Conn) CloseWrite() {
	if !c.writeClosed.Swap(true) {
		c.toPeer.pushEnd(io.EOF, c.link.net.Clock.Now())
	}
}

// Close ends the connection in order: queued bytes are still delivered. After CloseWrite it closes the socket at once.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if c.writeClosed.Load() {
		return c.socket.Close()
	}
	c.toPeer.pushEnd(io.EOF, c.link.net.Clock.Now())
	return nil
}

// Abort resets the connection and discards all queued bytes.
func (c *Conn) Abort() {
	c.closed.Store(true)
	c.fromPeer.reset()
	c.toPeer.reset()
	if c.target != nil {
		abort(c.target)
	}
	if c.socket != nil {
		abort(c.socket)
	}
	c.markPeerClosed()
}

// breakConn resets the connection as a network fault does.
func (c *Conn) breakConn() {
	c.broken.Store(true)
	c.Abort()
}

// Broken reports whether the network reset the connection, rather than the peer.
func (c *Conn) Broken() bool { return c.broken.Load() }

// PeerClosed returns a channel that is closed once the peer has ended its sending, whether or not the link has delivered
// that end to the other side.
func (c *Conn) PeerClosed() <-chan struct{} { return c.peerClosed }

// PeerClosedAt returns when the peer ended its sending, in microseconds on the run's clock; 0 if it has not.
func (c *Conn) PeerClosedAt() int64 { return c.peerClosedAt.Load() }

func (c *Conn) markPeerClosed() {
	c.peerClosedOnce.Do(func() {
		c.peerClosedAt.Store(c.link.net.Clock.Now())
		close(c.peerClosed)
	})
}

// readSocket reads a socket into a queue until the socket ends, then calls onClose, if any, and queues the end.
func (c *Conn) readSocket(from *net.TCPConn, to *queue, onClose func()) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		receivedAt := c.link.net.Clock.Now()
		if n > 0 {
			if to.push(chunk{data: append([]byte(nil), buf[:n]...), receivedAt: receivedAt}) != nil {
				abort(from)
				if onClose != nil {
					onClose()
				}
				return
			}
		}
		if err != nil {
			if onClose != nil {
				onClose()
			}
			endErr := io.EOF
			if !errors.Is(err, io.EOF) {
				endErr = errReset
			}
			to.pushEnd(endErr, receivedAt)
			return
		}
	}
}

// writeSocket writes a queue's chunks to a socket as they become due, until the queue or the socket ends.
func (c *Conn) writeSocket(from *queue, to *net.TCPConn) {
	defer c.unregister()
	for {
		got, err := from.pop(64 << 10)
		if err != nil {
			abort(to)
			return
		}
		if got.end != nil {
			if got.end == errReset {
				abort(to)
			} else if c.target != nil || c.writeClosed.Load() {
				to.CloseWrite()
			} else {
				to.Close()
			}
			return
		}
		// The time is taken before the write: the process may read the bytes and close before this goroutine runs again.
		at := c.link.net.Clock.Now()
		n, err := to.Write(got.data)
		if to == c.socket {
			c.written.Add(uint64(n))
		}
		if got.done != nil {
			got.done(at, err == nil)
		}
		if err != nil {
			from.reset()
			abort(to)
			return
		}
	}
}

// unregister removes a connection that has ended from its link.
func (c *Conn) unregister() {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	delete(c.link.conns, c)
	c.fromPeer.direction.remove(c.fromPeer)
	c.toPeer.direction.remove(c.toPeer)
}

// abort closes a socket with a reset.
func abort(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
