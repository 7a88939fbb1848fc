package relay

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"time"
)

// How client connections end. This side closes its sending direction and then reads until the remote side has closed
// as well, within limits. Anything that arrives meanwhile is discarded: the client sees that the connection was
// closed before its request was answered, and sends it again. Closing at once would reset the connection because of
// unread bytes, and lose a response that is still being transmitted. Serving what was read after the close would
// deliver a message that the client submits a second time.
//
// A request of which bytes have been read is never dropped silently: it is refused before the connection ends.

const (
	// lingerTimeout is how long the remote side may take to close after this side has: a round trip and the delays of
	// a busy machine.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes limits the bytes that are read and discarded meanwhile: a request with the largest body, and
	// some more.
	maxLingerBytes = 4 * maxBodyBytes
	// drainInputTimeout limits how long input that keeps arriving is read before the final close.
	drainInputTimeout = 50 * time.Millisecond
	// maxForcedCloses limits the connections that no longer count towards the limit but are not closed yet.
	maxForcedCloses = 8
	// refusalTimeout limits the writing of a refusal, which blocks only if the client does not read its responses.
	refusalTimeout = 100 * time.Millisecond
)

const (
	// refusalResponse answers a request that was read, partly or completely, and is not served.
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// headTooLargeResponse answers a request whose head exceeds a limit.
	headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// beginClose closes the sending direction; the reader of the connection continues until the remote side has closed. A
// request that has begun and that no handler answers is refused first, including one pipelined behind the last
// request that the server answers. The caller holds the mutex.
func (c *inboundConn) beginClose() {
	mustRefuse := (c.hasUnansweredRequest() || c.pipelined) && !c.remoteClosed && !c.restIgnored
	c.locallyClosed, c.closeRequested, c.stateSince = true, false, time.Now()
	c.listener.lingering++
	c.listener.changed.Broadcast()
	c.Conn.SetReadDeadline(c.stateSince.Add(lingerTimeout))
	if !mustRefuse {
		c.closeWrite()
		return
	}
	c.refusalDone = make(chan struct{})
	go c.writeRefusal()
}

// writeRefusal writes the refusal and then closes the sending direction.
func (c *inboundConn) writeRefusal() {
	defer close(c.refusalDone)
	c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	io.WriteString(c.Conn, cmp.Or(c.refusal, refusalResponse))
	c.closeWrite()
}

// closeWrite closes the sending direction.
func (c *inboundConn) closeWrite() {
	if s, ok := c.Conn.(interface{ CloseWrite() error }); !ok || s.CloseWrite() != nil {
		c.Conn.Close() // the connection is broken, or in memory
	}
}

// Close begins an orderly end of the connection, without blocking its caller.
func (c *inboundConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed, c.active, c.closeRequested = true, false, false
	c.listener.changed.Broadcast()
	if !c.locallyClosed && c.remoteClosed {
		c.noteCloseReason(closedByPeer)
		c.remove()
		return c.Conn.Close()
	}
	if !c.locallyClosed {
		c.noteCloseReason(closedAfterReply)
		c.beginClose()
		c.listener.limitLingering()
	}
	go c.linger()
	return nil
}

// linger reads until the remote side has closed, and then closes the connection.
func (c *inboundConn) linger() {
	c.listener.mu.Lock()
	if !c.forced {
		c.Conn.SetReadDeadline(c.stateSince.Add(lingerTimeout))
	}
	c.listener.mu.Unlock()
	for buf := make([]byte, 4<<10); ; {
		if _, err := c.Read(buf); err != nil {
			break
		}
	}
	if c.refusalDone != nil {
		<-c.refusalDone
	}
	c.drainInput()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.remove()
	if c.forced {
		c.listener.forcedCloses--
	}
	c.Conn.Close()
}

// drainInput reads the input that is already there, within limits: closing the connection over it would reset it.
func (c *inboundConn) drainInput() {
	start, buf := time.Now(), make([]byte, 4<<10)
	for total := 0; total < maxLingerBytes; {
		c.Conn.SetReadDeadline(time.Now().Add(firstReadTimeout))
		n, err := c.Conn.Read(buf)
		if total += n; err != nil || time.Since(start) > drainInputTimeout {
			return
		}
	}
}

// forceClose stops waiting for the remote side: the reader of the connection is interrupted and closes it, and the
// connection no longer counts towards the limit. If too many are in this state, the connection is closed at once. The
// caller holds the mutex.
func (c *inboundConn) forceClose() {
	c.remove()
	if c.listener.forcedCloses >= maxForcedCloses {
		c.Conn.Close()
		return
	}
	c.listener.forcedCloses++
	c.forced = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// limitLingering forces the close of the connections that have waited longest for the remote side, if there are too
// many. The caller holds the mutex.
func (l *limitListener) limitLingering() {
	for l.lingering > l.maxLingering() {
		l.longestLingering().forceClose()
	}
}

// longestLingering returns the connection that has waited longest for the remote side, or nil if none does. The
// caller holds the mutex.
func (l *limitListener) longestLingering() (longest *inboundConn) {
	for c := range l.open {
		if c.locallyClosed && (longest == nil || c.stateSince.Before(longest.stateSince)) {
			longest = c
		}
	}
	return longest
}

// refuseConn ends a connection beyond the limit. Its request, if one arrives, is refused.
func (l *limitListener) refuseConn(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &inboundConn{Conn: conn, listener: l, stateSince: time.Now(), locallyClosed: true, closed: true, refusalDone: make(chan struct{}), closeReason: closedOverLimit}
	c.Conn.SetReadDeadline(c.stateSince.Add(lingerTimeout))
	l.open[c] = struct{}{}
	l.lingering++
	l.limitLingering()
	go func() {
		if n, _ := c.Conn.Read(make([]byte, 4<<10)); n > 0 {
			l.mu.Lock()
			c.requestStart = time.Now()
			l.mu.Unlock()
			c.writeRefusal()
		} else {
			close(c.refusalDone)
		}
		c.linger()
	}()
}

// remove takes the connection out of the open ones. The caller holds the mutex.
func (c *inboundConn) remove() {
	if _, ok := c.listener.open[c]; !ok {
		return
	}
	delete(c.listener.open, c)
	c.releaseMemory()
	c.listener.countClose(c)
	if c.locallyClosed {
		c.listener.lingering--
	}
}

// beginHandling reports whether a request may be served. It may not if its connection was closed before, since the
// request has been refused then.
func (c *inboundConn) beginHandling() bool {
	if c == nil {
		return true
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.locallyClosed {
		return false
	}
	c.active, c.handling = true, true
	c.beginBufferedRequest()
	return true
}

// skipClosedConns serves only requests that were read before their connection was closed.
func skipClosedConns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		conn := inboundConnOf(req)
		if !conn.beginHandling() {
			panic(http.ErrAbortHandler)
		}
		defer conn.endHandling()
		if req.ContentLength > maxBodyBytes {
			rejectLargeBody(w, req)
			return
		}
		next.ServeHTTP(w, req)
	})
}
