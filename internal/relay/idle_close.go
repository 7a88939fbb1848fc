package relay

import "time"

// How a connection between two requests ends. Nobody but its reader knows that nothing has been read of the next one: the
// system may have handed bytes to a Read that has not returned yet, and the server may hold bytes in its buffer, read with
// the request before. So whoever wants such a connection to end asks for it (part), and its reader ends it as soon as it
// waits for a request's first byte. A request that comes before that is served, and the connection stays.

const (
	// firstLook is how long the first Read of a connection may still find what lies there: new connections mostly come
	// with a request.
	firstReadTimeout = time.Millisecond
	// partIn bounds how long room and retire wait for connections to end or to show their requests.
	idleCloseTimeout = 100 * time.Millisecond
)

// part has the connection end as soon as it rests. The mutex is held.
func (c *inboundConn) requestClose() {
	c.closeRequested = true
	if c.idle && !c.interrupted {
		c.interruptRead()
	}
}

// wake has the Read that waits return. The mutex is held.
func (c *inboundConn) interruptRead() {
	c.interrupted = true
	until := time.Unix(1, 0)
	if !c.served {
		until = time.Now().Add(firstReadTimeout)
	}
	c.Conn.SetReadDeadline(until)
}

// stay takes back that the connection is to end: a request has begun. The mutex is held.
func (c *inboundConn) keepOpen() {
	if !c.closeRequested {
		return
	}
	if c.interrupted {
		c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.closeRequested, c.interrupted = false, false
	c.listener.changed.Broadcast()
}

// reads notes that the server waits for bytes, and has room for so many. What its buffer holds already is of the next
// request, and is known by the room that is left.
func (c *inboundConn) beforeRead(space int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.locallyClosed || c.active {
		return
	}
	c.bufferSize = max(c.bufferSize, space)
	if c.requestStart.IsZero() {
		c.received = int64(c.bufferSize - space)
	}
	if space < c.bufferSize {
		c.beginBufferedRequest()
	}
	if c.idle = c.requestStart.IsZero(); c.idle && c.closeRequested {
		if c.served {
			c.beginClose()
		} else {
			c.interruptRead()
		}
	}
}

// beginBuffered notes that a request has begun whose bytes the server had already. The mutex is held.
func (c *inboundConn) beginBufferedRequest() {
	if c.requestStart.IsZero() {
		c.requestStart, c.responded = time.Now(), false
		c.keepOpen()
	}
}

// parted waits until a connection has ended, or stays for a request that came. It tells whether one of them happened in
// time. The mutex is held, but not while it waits.
func (p *limitListener) closedOrKept(c *inboundConn) bool {
	c.requestClose()
	return p.waitFor(func() bool { return !c.closeRequested })
}

// await waits until a condition on the connections holds, and tells whether it came to hold in time. The mutex is held, but
// not while it waits.
func (p *limitListener) waitFor(condition func() bool) bool {
	if condition() {
		return true
	}
	timedOut := false
	timer := time.AfterFunc(idleCloseTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		timedOut = true
		p.changed.Broadcast()
	})
	defer timer.Stop()
	for !condition() {
		if timedOut {
			return false
		}
		p.changed.Wait()
	}
	return true
}

// noneWoken tells whether every Read that was to return for an end has returned. The mutex is held.
func (p *limitListener) noReadInterrupted() bool {
	for c := range p.open {
		if c.interrupted && c.closeRequested {
			return false
		}
	}
	return true
}
