package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// peer is one connection that came in. Its fields belong to the mutex of peers.
//
// A connection ends in order: this side ends its sending, and then reads to the other side's end, within bounds. What
// comes meanwhile is read as nobody's request: the client sees an end that crossed it, and sends it anew. To close at once
// would reset the connection over bytes that were not read, and with it an answer that is still on its way; and to serve
// what was read after the end would deliver what its client hands in once more.
type peer struct {
	net.Conn
	all      *peers
	since    time.Time // the last change of state
	begun    time.Time // the first byte of the request under way came; zero between requests
	terms    any       // what held then
	answered bool      // written to since the last byte came
	active   bool      // the head of a request has been read
	served   bool      // a request before
	client   bool      // has handed in a message
	left     bool      // this side has ended: nothing is served any more
	over     bool      // the other side has ended, or the connection is broken
	closed   bool      // by whoever serves it
	spilt    int       // bytes read since this side ended
}

const (
	// lingerIn bounds how long the other side may take to end, once this side has: a round trip and what a busy
	// machine adds to that.
	lingerIn = 500 * time.Millisecond
	// lingerMost bounds what is read of it meanwhile, in bytes: a request of the longest body, and some more.
	lingerMost = 4 * maxBody
)

// end ends this side; whoever reads the connection reads on to its end. The mutex is held.
func (c *peer) end() {
	c.left, c.since = true, time.Now()
	c.all.left++
	if s, ok := c.Conn.(interface{ CloseWrite() error }); !ok || s.CloseWrite() != nil {
		c.Conn.Close() // broken, or in memory
		return
	}
	c.Conn.SetReadDeadline(c.since.Add(lingerIn))
}

// Read marks where a request begins. After this side has ended, nothing that comes is passed on.
func (c *peer) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.came(n, err) {
			return n, err
		}
		if err != nil {
			return 0, io.EOF
		}
	}
}

// came notes what was read, and tells whether it is for nobody.
func (c *peer) came(n int, err error) bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if timeout, ok := err.(net.Error); err != nil && !(ok && timeout.Timeout()) {
		c.over = true
	}
	if c.left {
		if c.spilt += n; c.spilt > lingerMost {
			c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
		return true
	}
	if n > 0 {
		if c.begun.IsZero() || c.answered {
			c.begun = time.Now()
			if c.all.snapshot != nil {
				c.terms = c.all.snapshot()
			}
		}
		c.answered = false
	}
	return false
}

// Write marks what comes next as another request's.
func (c *peer) Write(p []byte) (int, error) {
	c.all.mu.Lock()
	c.answered = true
	c.all.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline leaves that of a connection that this side has ended alone.
func (c *peer) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.left {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close ends the connection in order, without holding its caller up.
func (c *peer) Close() error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed, c.active = true, false
	if c.left || c.over || c.all.left >= c.all.leftMost() {
		c.forget()
		return c.Conn.Close()
	}
	c.end()
	go func() {
		for buf := make([]byte, 4<<10); ; {
			if _, err := c.Read(buf); err != nil {
				break
			}
		}
		c.all.mu.Lock()
		defer c.all.mu.Unlock()
		c.forget()
		c.Conn.Close()
	}()
	return nil
}

// forget frees the connection's place. The mutex is held.
func (c *peer) forget() {
	if _, ok := c.all.open[c]; !ok {
		return
	}
	delete(c.all.open, c)
	if c.left {
		c.all.left--
	}
}

type peerKey struct{}

// withPeer lets a handler find the connection that its request came on.
func withPeer(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, peerKey{}, conn)
}

// peerOf is the connection of a request; nil for one that came without.
func peerOf(req *http.Request) *peer {
	c, _ := req.Context().Value(peerKey{}).(*peer)
	return c
}

// connOf is the connection on which a request came, as the system has it; nil for one that came without.
func connOf(req *http.Request) net.Conn {
	if c := peerOf(req); c != nil {
		return c.Conn
	}
	return nil
}

// enter has a request be served, unless its connection was ended before that: then nobody could be answered.
func (c *peer) enter() bool {
	if c == nil {
		return true
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.left {
		return false
	}
	c.active = true
	return true
}

// termsOf is what held as the request under way began; nil if that is not known.
func (c *peer) termsOf() any {
	if c == nil {
		return nil
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.terms
}

// isClient marks the connection of a request as that of one who hands in messages.
func isClient(req *http.Request) {
	if c := peerOf(req); c != nil {
		c.all.mu.Lock()
		c.client = true
		c.all.mu.Unlock()
	}
}
