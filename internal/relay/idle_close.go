package relay

import "time"

// How a connection between two requests is closed. Only its reader knows that nothing of the next request has been
// read: the system may have passed bytes to a Read that has not returned yet, and the server may have bytes in its
// buffer that were read with the previous request. A close is therefore only requested (requestClose), and the reader
// carries it out when it next waits for the first byte of a request. If a request arrives before that, it is served,
// and the connection stays open.

const (
	// firstReadTimeout is how long the first Read of a connection may still find input that is already there: new
	// connections mostly bring a request with them.
	firstReadTimeout = time.Millisecond
	// idleCloseTimeout limits how long makeSpace and closeIdle wait for connections to close or to show their
	// requests.
	idleCloseTimeout = 100 * time.Millisecond
)

// requestClose makes the connection close, for a reason, as soon as it is idle. The caller holds the mutex.
func (c *inboundConn) requestClose(reason closeReason) {
	c.noteCloseReason(reason)
	c.closeRequested = true
	if c.idle && !c.interrupted {
		c.interruptRead()
	}
}

// interruptRead makes the waiting Read return. The caller holds the mutex.
func (c *inboundConn) interruptRead() {
	c.interrupted = true
	until := time.Unix(1, 0)
	if !c.served {
		until = time.Now().Add(firstReadTimeout)
	}
	c.Conn.SetReadDeadline(until)
}

// keepOpen cancels a requested close because a request has begun. The caller holds the mutex.
func (c *inboundConn) keepOpen() {
	if !c.closeRequested {
		return
	}
	if c.interrupted {
		c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.closeRequested, c.interrupted, c.closeReason = false, false, closedUnknown
	c.listener.changed.Broadcast()
}

// beforeRead records that the server waits for bytes and has the given space in its buffer. Bytes that are in the
// buffer already belong to the next request; their number follows from the remaining space.
func (c *inboundConn) beforeRead(space int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.locallyClosed || c.active {
		return
	}
	c.bufferSize = max(c.bufferSize, space)
	if space < c.bufferSize || len(c.ahead) > 0 {
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

// beginBufferedRequest records that a request has begun whose bytes the server has already read. The caller holds the
// mutex.
func (c *inboundConn) beginBufferedRequest() {
	if c.requestStart.IsZero() {
		c.requestStart, c.responded = time.Now(), false
		c.keepOpen()
	}
}

// closedOrKept waits until a connection is closed, or is kept open for a request that arrived. It reports whether
// either happened in time. The caller holds the mutex, which is released during the wait.
func (l *limitListener) closedOrKept(c *inboundConn) bool {
	l.requestCloseOfQuiet(c)
	return l.waitFor(func() bool { return !c.closeRequested })
}

// waitFor waits until a condition on the connections is true, and reports whether that happened in time. The caller
// holds the mutex, which is released during the wait.
func (l *limitListener) waitFor(condition func() bool) bool {
	if condition() {
		return true
	}
	timedOut := false
	timer := time.AfterFunc(idleCloseTimeout, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		timedOut = true
		l.changed.Broadcast()
	})
	defer timer.Stop()
	for !condition() {
		if timedOut {
			return false
		}
		l.changed.Wait()
	}
	return true
}

// noReadInterrupted reports whether every Read that was interrupted for a close has returned. The caller holds the
// mutex.
func (l *limitListener) noReadInterrupted() bool {
	for c := range l.open {
		if c.interrupted && c.closeRequested {
			return false
		}
	}
	return true
}
