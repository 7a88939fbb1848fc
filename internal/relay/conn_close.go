package relay

import (
	"io"
	"net"
	"net/http"
	"time"
)

// How connections of clients end. A connection ends in order: this side ends its sending, and then reads to the other
// side's end, within bounds. What comes meanwhile is read as nobody's request: the client sees an end that crossed it,
// and sends it anew. To close at once would reset the connection over bytes that were not read, and with it an answer that
// is still on its way; and to serve what was read after the end would deliver what its client hands in once more.
//
// A request that has begun to be read is never dropped in silence: it is refused before the connection ends.

const (
	// lingerIn bounds how long the other side may take to end, once this side has: a round trip and what a busy
	// machine adds to that.
	lingerTimeout = 500 * time.Millisecond
	// lingerMost bounds what is read of it meanwhile, in bytes: a request of the longest body, and some more.
	maxLingerBytes = 4 * maxBodyBytes
	// lastReadsIn bounds for how long bytes are read that come in all the time, before a close.
	drainInputTimeout = 50 * time.Millisecond
	// hurriedMost bounds how many connections without a place are still to be closed.
	maxForcedCloses = 8
	// refuseIn bounds the writing of a refusal. It blocks only for a client that does not read its answers.
	refusalTimeout = 100 * time.Millisecond
)

// refusal answers a request that was read, in part or whole, and is not served.
const refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// end ends this side; whoever reads the connection reads on to its end. A request that has begun, and that no handler
// answers, is refused first, also one behind the last that the server answers. The mutex is held.
func (c *inboundConn) beginClose() {
	mustRefuse := (c.hasUnansweredRequest() || c.pipelined) && !c.remoteClosed
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

// refuse writes the refusal, and then ends this side's sending.
func (c *inboundConn) writeRefusal() {
	defer close(c.refusalDone)
	c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	io.WriteString(c.Conn, refusalResponse)
	c.closeWrite()
}

// shut ends this side's sending.
func (c *inboundConn) closeWrite() {
	if s, ok := c.Conn.(interface{ CloseWrite() error }); !ok || s.CloseWrite() != nil {
		c.Conn.Close() // broken, or in memory
	}
}

// Close ends the connection in order, without holding its caller up.
func (c *inboundConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed, c.active, c.closeRequested = true, false, false
	c.listener.changed.Broadcast()
	if !c.locallyClosed && c.remoteClosed {
		c.remove()
		return c.Conn.Close()
	}
	if !c.locallyClosed {
		c.beginClose()
		c.listener.limitLingering()
	}
	go c.linger()
	return nil
}

// linger reads to the other side's end, and closes the connection.
func (c *inboundConn) linger() {
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

// drain reads what lies there, within bounds: to close over it would reset the connection.
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

// hurry frees the place of a connection that waits for its other side: its reader waits no longer, and closes it. If many
// are in a hurry, it is closed at once. The mutex is held.
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

// trim hurries those that have waited longest for their other side, if they are too many. The mutex is held.
func (p *limitListener) limitLingering() {
	for p.lingering > p.maxLingering() {
		p.longestLingering().forceClose()
	}
}

// longestEnded is the connection that has waited longest for its other side; nil if none does. The mutex is held.
func (p *limitListener) longestLingering() (longest *inboundConn) {
	for c := range p.open {
		if c.locallyClosed && (longest == nil || c.stateSince.Before(longest.stateSince)) {
			longest = c
		}
	}
	return longest
}

// turnAway ends a connection for which there is no place: its request, if one comes, is refused.
func (p *limitListener) refuseConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &inboundConn{Conn: conn, listener: p, stateSince: time.Now(), locallyClosed: true, closed: true, refusalDone: make(chan struct{})}
	c.Conn.SetReadDeadline(c.stateSince.Add(lingerTimeout))
	p.open[c] = struct{}{}
	p.lingering++
	p.limitLingering()
	go func() {
		if n, _ := c.Conn.Read(make([]byte, 4<<10)); n > 0 {
			p.mu.Lock()
			c.requestStart = time.Now()
			p.mu.Unlock()
			c.writeRefusal()
		} else {
			close(c.refusalDone)
		}
		c.linger()
	}()
}

// forget frees the connection's place. The mutex is held.
func (c *inboundConn) remove() {
	if _, ok := c.listener.open[c]; !ok {
		return
	}
	delete(c.listener.open, c)
	if c.locallyClosed {
		c.listener.lingering--
	}
}

// enter has a request be served, unless its connection was ended before that: then it has been refused.
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

// served lets through only what came before its connection was ended.
func skipClosedConns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !inboundConnOf(req).beginHandling() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, req)
		inboundConnOf(req).endHandling(req)
	})
}
