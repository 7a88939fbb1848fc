package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// peer is one connection that came in. Its fields belong to the mutex of peers.
type peer struct {
	net.Conn
	all      *peers
	since    time.Time // the last change of state
	begun    time.Time // the first byte of the request under way came; zero between requests
	terms    any       // what held then
	latest   any       // what held as the last bytes came
	answered bool      // written to since the last byte came
	active   bool      // the head of a request has been read
	entered  bool      // a handler has the request under way, and answers it
	received int64     // bytes read since the request under way began, those of one behind it among them
	behind   bool      // the first byte of the request behind the one under way has come
	served   bool      // a request before
	client   bool      // has handed in a message
	left     bool      // this side has ended: nothing is served any more
	over     bool      // the other side has ended, or the connection is broken
	closed   bool      // by whoever serves it
	hurried  bool      // waits for the other side no longer
	spilt    int       // bytes read since this side ended
	buffer   int       // the size of the server's read buffer, as its first Read shows it
	rests    bool      // a Read waits for the first byte of a request
	parting  bool      // ends as soon as it rests
	woken    bool      // for that: its Read does not wait any longer
	deadline time.Time // for reading, as the server set it

	refused chan struct{} // closed once the refusal has been written; nil for none
}

// Read marks where a request begins. After this side has ended, nothing that comes is passed on.
func (c *peer) Read(p []byte) (int, error) {
	for {
		c.reads(len(p))
		n, err := c.Conn.Read(p)
		switch c.came(n, len(p), err) {
		case passOn:
			return n, err
		case endOfInput:
			return 0, io.EOF
		}
	}
}

// reading is what becomes of what was read.
type reading int

const (
	passOn     reading = iota // to the server
	readOn                    // drop it, and read more
	endOfInput                // nothing more comes for the server
)

// came notes what was read, and tells what becomes of it. For one byte the server asks only behind a request, to see its
// client leave.
func (c *peer) came(n, asked int, err error) reading {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.rests = false
	timeout, _ := err.(net.Error)
	late := timeout != nil && timeout.Timeout()
	c.over = c.over || err != nil && !late
	if c.left {
		if c.spilt += n; c.spilt > lingerMost {
			c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
		if err != nil {
			return endOfInput
		}
		return readOn
	}
	c.received += int64(n)
	if n > 0 {
		c.behind = c.behind || c.entered && asked == 1
		c.begin()
	}
	if late && (c.parting || c.unanswered()) { // of what has begun, its client may have sent all by now
		c.end()
		return readOn
	}
	return passOn
}

// begin notes that bytes of a request have come. The mutex is held.
func (c *peer) begin() {
	if c.all.snapshot != nil {
		c.latest = c.all.snapshot()
	}
	if c.begun.IsZero() || c.answered {
		c.begun, c.terms = time.Now(), c.latest
	}
	c.answered = false
	c.stay()
}

// unanswered tells whether a request has begun that nobody but this connection can answer: neither a handler nor the
// server has begun to. The mutex is held.
func (c *peer) unanswered() bool { return !c.begun.IsZero() && !c.answered && !c.entered }

// Write marks what comes next as another request's. After this side has ended, nothing is written any more.
func (c *peer) Write(p []byte) (int, error) {
	c.all.mu.Lock()
	left := c.left
	c.answered = c.answered || !left
	c.all.mu.Unlock()
	if left {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline leaves that of a connection that this side has ended alone.
func (c *peer) SetWriteDeadline(t time.Time) error {
	c.all.mu.Lock()
	left := c.left
	c.all.mu.Unlock()
	if left {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline leaves that of a connection that this side has ended alone.
func (c *peer) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.left {
		return nil
	}
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
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
