package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// inboundConn is a connection that a client or an operator opened. Its fields are protected by the mutex of its
// limitListener.
type inboundConn struct {
	net.Conn
	listener         *limitListener
	stateSince       time.Time // last change of state
	requestStart     time.Time // arrival of the first byte of the current request; zero between requests
	requestSettings  any       // settings in effect at requestStart
	latestSettings   any       // settings in effect when the last bytes arrived
	responded        bool      // something was written since the last bytes arrived
	active           bool      // the head of a request has been read
	handling         bool      // a handler has the current request and will answer it
	pipelined        bool      // the first byte of the request behind the current one has arrived
	readingBody      bool      // a handler reads the body of the current request
	headReadAhead    bool      // the whole head of the current request was read behind the request before
	evicted          bool      // the current request fails, to free its memory or its connection
	requestBytes     int64     // memory that the current request uses
	reserved         int64     // part of it that counts towards the limit for all requests
	restIgnored      bool      // the current request is malformed, so what follows it is not known to be a request
	served           bool      // an earlier request was served
	submittedMessage bool      // a message was accepted from it
	locallyClosed    bool      // this side has closed its sending direction; nothing is served any more
	remoteClosed     bool      // the remote side has closed, or the connection is broken
	closed           bool      // by the server
	forced           bool      // no longer waits for the remote side
	discarded        int       // bytes read since this side closed
	bufferSize       int       // size of the server's read buffer, known from its first Read
	idle             bool      // a Read waits for the first byte of a request
	closeRequested   bool      // to be closed as soon as it is idle
	closeReason      closeReason
	keptForInput     bool      // a requested close was cancelled for input that has not been read yet
	interrupted      bool      // its Read has been interrupted for the requested close
	readDeadline     time.Time // as set by the server

	refusal     string        // answers a request that is not served
	refusalDone chan struct{} // closed once the refusal has been written; nil if there is none

	pace          requestPace
	nextRequestAt time.Time

	scanner requestScanner // used by the goroutine that reads
	ahead   []byte         // input behind the current request, which is passed on after it
}

// Read records where a request begins. After this side has closed, it returns no more input.
func (c *inboundConn) Read(p []byte) (int, error) {
	for {
		c.awaitTurn()
		c.beforeRead(len(p))
		n, err := c.readInput(p)
		n, action := c.afterRead(p, n, err)
		switch action {
		case deliverRead:
			return n, err
		case reportEOF:
			return 0, io.EOF
		case discardRead:
			p = c.discardBuffer(p)
		}
	}
}

// discardBufferBytes is the least space for input that is discarded.
const discardBufferBytes = 1 << 10

// discardBuffer returns what to read into after input was discarded. Once this side has closed nothing is passed on any
// more, and the single byte that the server asks for while a request is handled would take a system call for each byte.
func (c *inboundConn) discardBuffer(p []byte) []byte {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.locallyClosed || len(p) >= discardBufferBytes {
		return p
	}
	return make([]byte, discardBufferBytes)
}

// readAction is what happens to bytes that were read.
type readAction int

const (
	deliverRead readAction = iota // pass them to the server
	discardRead                   // drop them and read more
	reportEOF                     // report the end of the input to the server
)

// afterRead records the result of a Read of n bytes into p, and returns how many of them are passed on now and what
// happens to them. The server asks for a single byte only while a request is being handled, to detect that its client
// disconnects.
func (c *inboundConn) afterRead(p []byte, n int, err error) (int, readAction) {
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
		c.ahead = nil
		if err != nil {
			return 0, reportEOF
		}
		return 0, discardRead
	}
	if n > 0 {
		c.keptForInput = false
		arrivedNow := len(c.ahead) == 0
		headBytes, fields := c.scanner.headSize()
		n = c.cutAtEnd(p[:n])
		c.pipelined = c.pipelined || c.handling && len(p) == 1
		c.headReadAhead = !arrivedNow && c.scanner.inBody
		c.beginRequest(arrivedNow)
		if !c.active && !c.acceptHead(headBytes, fields) {
			return 0, discardRead
		}
	}
	if timedOut && c.closeRequested && !c.keptForInput && readInputState(c.Conn).unread > 0 { // the wait ended before this goroutine ran
		c.keepOpen()
		c.keptForInput = true
		return 0, discardRead
	}
	if timedOut && (c.closeRequested || c.hasUnansweredRequest()) { // the client may have sent the whole request by now
		if !c.closeRequested {
			c.noteCloseReason(closedAtTimeout)
		}
		c.beginClose()
		return 0, discardRead
	}
	return n, deliverRead
}

// beginRequest records that bytes of a request are passed on, which arrived just now or earlier. The caller holds the
// mutex.
func (c *inboundConn) beginRequest(arrivedNow bool) {
	if c.listener.settingsSnapshot != nil && arrivedNow {
		c.latestSettings = c.listener.settingsSnapshot()
	}
	if c.requestStart.IsZero() || c.responded {
		c.requestStart, c.requestSettings = time.Now(), c.latestSettings
	}
	c.responded = false
	c.keepOpen()
}

// hasUnansweredRequest reports whether a request has begun that only this connection can answer, because neither a
// handler nor the server has begun to. The caller holds the mutex.
func (c *inboundConn) hasUnansweredRequest() bool {
	return !c.requestStart.IsZero() && !c.responded && !c.handling
}

// Write records that bytes read from now on belong to another request. After this side has closed, it writes nothing.
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

// SetWriteDeadline has no effect after this side has closed.
func (c *inboundConn) SetWriteDeadline(t time.Time) error {
	c.listener.mu.Lock()
	locallyClosed := c.locallyClosed
	c.listener.mu.Unlock()
	if locallyClosed {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline has no effect after this side has closed or has made the request fail.
func (c *inboundConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.locallyClosed || c.evicted {
		return nil
	}
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn lets a handler find the connection of its request.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// inboundConnOf returns the connection of a request, or nil if it has none.
func inboundConnOf(req *http.Request) *inboundConn {
	c, _ := req.Context().Value(connKey{}).(*inboundConn)
	return c
}

// netConnOf returns the underlying connection of a request, or nil if it has none.
func netConnOf(req *http.Request) net.Conn {
	if c := inboundConnOf(req); c != nil {
		return c.Conn
	}
	return nil
}

// settingsAtRequestStart returns the settings in effect when the current request began, or nil if they are unknown.
func (c *inboundConn) settingsAtRequestStart() any {
	if c == nil {
		return nil
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.requestSettings
}

// markSubmitter marks the connection of a request as one that submits messages.
func markSubmitter(req *http.Request) {
	if c := inboundConnOf(req); c != nil {
		c.listener.mu.Lock()
		c.submittedMessage = true
		c.listener.mu.Unlock()
	}
}
