package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// peer is one connection that came in. Its fields belong to the mutex of peers.
type inboundConn struct {
	net.Conn
	listener         *limitListener
	stateSince       time.Time // the last change of state
	requestStart     time.Time // the first byte of the request under way came; zero between requests
	requestSettings  any       // what held then
	latestSettings   any       // what held as the last bytes came
	responded        bool      // written to since the last byte came
	active           bool      // the head of a request has been read
	handling         bool      // a handler has the request under way, and answers it
	received         int64     // bytes read since the request under way began, those of one behind it among them
	pipelined        bool      // the first byte of the request behind the one under way has come
	served           bool      // a request before
	submittedMessage bool      // has handed in a message
	locallyClosed    bool      // this side has ended: nothing is served any more
	remoteClosed     bool      // the other side has ended, or the connection is broken
	closed           bool      // by whoever serves it
	forced           bool      // waits for the other side no longer
	discarded        int       // bytes read since this side ended
	bufferSize       int       // the size of the server's read buffer, as its first Read shows it
	idle             bool      // a Read waits for the first byte of a request
	closeRequested   bool      // ends as soon as it rests
	interrupted      bool      // for that: its Read does not wait any longer
	readDeadline     time.Time // for reading, as the server set it

	refusalDone chan struct{} // closed once the refusal has been written; nil for none
}

// Read marks where a request begins. After this side has ended, nothing that comes is passed on.
func (c *inboundConn) Read(p []byte) (int, error) {
	for {
		c.beforeRead(len(p))
		n, err := c.Conn.Read(p)
		switch c.afterRead(n, len(p), err) {
		case deliverRead:
			return n, err
		case reportEOF:
			return 0, io.EOF
		}
	}
}

// reading is what becomes of what was read.
type readAction int

const (
	deliverRead readAction = iota // to the server
	discardRead                   // drop it, and read more
	reportEOF                     // nothing more comes for the server
)

// came notes what was read, and tells what becomes of it. For one byte the server asks only behind a request, to see its
// client leave.
func (c *inboundConn) afterRead(n, requested int, err error) readAction {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.idle = false
	netErr, _ := err.(net.Error)
	timedOut := netErr != nil && netErr.Timeout()
	c.remoteClosed = c.remoteClosed || err != nil && !timedOut
	if c.locallyClosed {
		if c.discarded += n; c.discarded > maxLingerBytes {
			c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
		if err != nil {
			return reportEOF
		}
		return discardRead
	}
	c.received += int64(n)
	if n > 0 {
		c.pipelined = c.pipelined || c.handling && requested == 1
		c.beginRequest()
	}
	if timedOut && (c.closeRequested || c.hasUnansweredRequest()) { // of what has begun, its client may have sent all by now
		c.beginClose()
		return discardRead
	}
	return deliverRead
}

// begin notes that bytes of a request have come. The mutex is held.
func (c *inboundConn) beginRequest() {
	if c.listener.settingsSnapshot != nil {
		c.latestSettings = c.listener.settingsSnapshot()
	}
	if c.requestStart.IsZero() || c.responded {
		c.requestStart, c.requestSettings = time.Now(), c.latestSettings
	}
	c.responded = false
	c.keepOpen()
}

// unanswered tells whether a request has begun that nobody but this connection can answer: neither a handler nor the
// server has begun to. The mutex is held.
func (c *inboundConn) hasUnansweredRequest() bool {
	return !c.requestStart.IsZero() && !c.responded && !c.handling
}

// Write marks what comes next as another request's. After this side has ended, nothing is written any more.
func (c *inboundConn) Write(p []byte) (int, error) {
	c.listener.mu.Lock()
	locallyClosed := c.locallyClosed
	c.responded = c.responded || !locallyClosed
	c.listener.mu.Unlock()
	if locallyClosed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline leaves that of a connection that this side has ended alone.
func (c *inboundConn) SetWriteDeadline(t time.Time) error {
	c.listener.mu.Lock()
	locallyClosed := c.locallyClosed
	c.listener.mu.Unlock()
	if locallyClosed {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline leaves that of a connection that this side has ended alone.
func (c *inboundConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.locallyClosed {
		return nil
	}
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

type connKey struct{}

// withPeer lets a handler find the connection that its request came on.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// peerOf is the connection of a request; nil for one that came without.
func inboundConnOf(req *http.Request) *inboundConn {
	c, _ := req.Context().Value(connKey{}).(*inboundConn)
	return c
}

// connOf is the connection on which a request came, as the system has it; nil for one that came without.
func netConnOf(req *http.Request) net.Conn {
	if c := inboundConnOf(req); c != nil {
		return c.Conn
	}
	return nil
}

// termsOf is what held as the request under way began; nil if that is not known.
func (c *inboundConn) settingsAtRequestStart() any {
	if c == nil {
		return nil
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.requestSettings
}

// isClient marks the connection of a request as that of one who hands in messages.
func markSubmitter(req *http.Request) {
	if c := inboundConnOf(req); c != nil {
		c.listener.mu.Lock()
		c.submittedMessage = true
		c.listener.mu.Unlock()
	}
}
