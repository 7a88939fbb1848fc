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
	lingerIn = 500 * time.Millisecond
	// lingerMost bounds what is read of it meanwhile, in bytes: a request of the longest body, and some more.
	lingerMost = 4 * maxBody
	// lastReadsIn bounds for how long bytes are read that come in all the time, before a close.
	lastReadsIn = 50 * time.Millisecond
	// hurriedMost bounds how many connections without a place are still to be closed.
	hurriedMost = 8
	// refuseIn bounds the writing of a refusal. It blocks only for a client that does not read its answers.
	refuseIn = 100 * time.Millisecond
)

// refusal answers a request that was read, in part or whole, and is not served.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// end ends this side; whoever reads the connection reads on to its end. A request that has begun, and that no handler
// answers, is refused first, also one behind the last that the server answers. The mutex is held.
func (c *peer) end() {
	refuse := (c.unanswered() || c.behind) && !c.over
	c.left, c.parting, c.since = true, false, time.Now()
	c.all.left++
	c.all.changed.Broadcast()
	c.Conn.SetReadDeadline(c.since.Add(lingerIn))
	if !refuse {
		c.shut()
		return
	}
	c.refused = make(chan struct{})
	go c.refuse()
}

// refuse writes the refusal, and then ends this side's sending.
func (c *peer) refuse() {
	defer close(c.refused)
	c.Conn.SetWriteDeadline(time.Now().Add(refuseIn))
	io.WriteString(c.Conn, refusal)
	c.shut()
}

// shut ends this side's sending.
func (c *peer) shut() {
	if s, ok := c.Conn.(interface{ CloseWrite() error }); !ok || s.CloseWrite() != nil {
		c.Conn.Close() // broken, or in memory
	}
}

// Close ends the connection in order, without holding its caller up.
func (c *peer) Close() error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed, c.active, c.parting = true, false, false
	c.all.changed.Broadcast()
	if !c.left && c.over {
		c.forget()
		return c.Conn.Close()
	}
	if !c.left {
		c.end()
		c.all.trim()
	}
	go c.linger()
	return nil
}

// linger reads to the other side's end, and closes the connection.
func (c *peer) linger() {
	for buf := make([]byte, 4<<10); ; {
		if _, err := c.Read(buf); err != nil {
			break
		}
	}
	if c.refused != nil {
		<-c.refused
	}
	c.drain()
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.forget()
	if c.hurried {
		c.all.hurried--
	}
	c.Conn.Close()
}

// drain reads what lies there, within bounds: to close over it would reset the connection.
func (c *peer) drain() {
	begin, buf := time.Now(), make([]byte, 4<<10)
	for all := 0; all < lingerMost; {
		c.Conn.SetReadDeadline(time.Now().Add(firstLook))
		n, err := c.Conn.Read(buf)
		if all += n; err != nil || time.Since(begin) > lastReadsIn {
			return
		}
	}
}

// hurry frees the place of a connection that waits for its other side: its reader waits no longer, and closes it. If many
// are in a hurry, it is closed at once. The mutex is held.
func (c *peer) hurry() {
	c.forget()
	if c.all.hurried >= hurriedMost {
		c.Conn.Close()
		return
	}
	c.all.hurried++
	c.hurried = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// trim hurries those that have waited longest for their other side, if they are too many. The mutex is held.
func (p *peers) trim() {
	for p.left > p.leftMost() {
		p.longestEnded().hurry()
	}
}

// longestEnded is the connection that has waited longest for its other side; nil if none does. The mutex is held.
func (p *peers) longestEnded() (out *peer) {
	for c := range p.open {
		if c.left && (out == nil || c.since.Before(out.since)) {
			out = c
		}
	}
	return out
}

// turnAway ends a connection for which there is no place: its request, if one comes, is refused.
func (p *peers) turnAway(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &peer{Conn: conn, all: p, since: time.Now(), left: true, closed: true, refused: make(chan struct{})}
	c.Conn.SetReadDeadline(c.since.Add(lingerIn))
	p.open[c] = struct{}{}
	p.left++
	p.trim()
	go func() {
		if n, _ := c.Conn.Read(make([]byte, 4<<10)); n > 0 {
			p.mu.Lock()
			c.begun = time.Now()
			p.mu.Unlock()
			c.refuse()
		} else {
			close(c.refused)
		}
		c.linger()
	}()
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

// enter has a request be served, unless its connection was ended before that: then it has been refused.
func (c *peer) enter() bool {
	if c == nil {
		return true
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.left {
		return false
	}
	c.active, c.entered = true, true
	c.beginBuffered()
	return true
}

// served lets through only what came before its connection was ended.
func served(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !peerOf(req).enter() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, req)
		peerOf(req).handled(req)
	})
}
