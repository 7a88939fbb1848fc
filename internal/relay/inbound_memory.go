package relay

import (
	"errors"
	"time"
)

// The memory that the requests of all connections of a listener may use together. Requests that exceed it make the
// oldest one that is incomplete and uses part of it fail: a client that sends its request without pausing is served.

const (
	// freeRequestBytes is what each request may use in addition: the head and body of an ordinary message.
	freeRequestBytes = 4 << 10
	// headByteCost and headFieldCost are the bytes of memory for a byte and a field of a head, once net/http has parsed it.
	headByteCost  = 2
	headFieldCost = 128
	// clientMemoryDivisor and adminMemoryDivisor are the parts of the memory limit for requests at the two addresses.
	clientMemoryDivisor = 20
	adminMemoryDivisor  = 64
	// replicaMemoryDivisor is the same for calls of other relays at the fleet address.
	replicaMemoryDivisor = 8
	// maxMemoryWaiters and maxMemoryWait limit how many requests wait for memory at a time, and how long: clients wait
	// 400 ms for their answer.
	maxMemoryWaiters = 16
	maxMemoryWait    = 200 * time.Millisecond
	// memoryWindow is the time in which as much memory as the limit may be used anew.
	memoryWindow = 100 * time.Millisecond
)

// errNoMemory refuses a request because too many others are incomplete.
var errNoMemory = errors.New("too many incomplete requests")

// memoryPart returns a part of the memory limit, in bytes.
func (c *Config) memoryPart(divisor float64) int64 {
	memoryMB := c.MemoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return int64(memoryMB * 1e6 / divisor)
}

// setMemoryLimit sets how many bytes the requests of all connections may use together; 0 for no limit.
func (l *limitListener) setMemoryLimit(limit int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memoryLimit = limit
}

// reserve makes the request of a connection use more memory, and reports whether it may. If there is none, it waits for
// the memory of requests that end, or that fail for it. The caller holds the mutex, which is released during the wait.
func (l *limitListener) reserve(c *inboundConn, bytes int64) bool {
	c.requestBytes += bytes
	growth := max(0, c.requestBytes-freeRequestBytes) - c.reserved
	if growth <= 0 || l.memoryLimit <= 0 {
		return true
	}
	if !l.hasMemory(growth) && !l.awaitMemory(c, growth) {
		return false
	}
	c.reserved += growth
	l.reserved += growth
	l.windowBytes += growth
	return true
}

// hasMemory reports whether a request may use more memory now. As much as the limit may be used anew in each window: the
// collector has to free all of it, at the cost of the other requests. The caller holds the mutex.
func (l *limitListener) hasMemory(bytes int64) bool {
	if now := time.Now(); now.Sub(l.windowStart) >= memoryWindow {
		l.windowStart, l.windowBytes = now, 0
	}
	return l.reserved+bytes <= l.memoryLimit && l.windowBytes+bytes <= l.memoryLimit
}

// awaitMemory waits until memory is free for a connection's request, and reports whether it is. Few requests wait at a
// time, and not for long, so that the others are refused at once. The caller holds the mutex, which is released during
// the wait.
func (l *limitListener) awaitMemory(c *inboundConn, bytes int64) bool {
	if l.memoryWaiters >= maxMemoryWaiters {
		return false
	}
	l.memoryWaiters++
	defer func() { l.memoryWaiters-- }()
	failed := func() bool { return c.evicted || c.locallyClosed || c.closed }
	for start := time.Now(); !l.hasMemory(bytes) && time.Since(start) < maxMemoryWait; {
		l.evictFor(bytes, c)
		l.waitFor(func() bool { return failed() || l.hasMemory(bytes) })
		if failed() {
			return false
		}
	}
	return l.hasMemory(bytes)
}

// evictFor makes incomplete requests fail that had their time, the oldest first, until enough memory is free or is about
// to be. The caller holds the mutex.
func (l *limitListener) evictFor(bytes int64, needs *inboundConn) {
	excess := l.reserved + bytes - l.memoryLimit
	for c := range l.open {
		if c.evicted {
			excess -= c.reserved
		}
	}
	for excess > 0 {
		oldest := l.oldestReservation(needs)
		if oldest == nil {
			return
		}
		oldest.evict(closedForMemory)
		excess -= oldest.reserved
	}
}

// oldestReservation returns the oldest incomplete request that uses part of the limit for longer than the grace, but for
// one; nil if there is none. The caller holds the mutex.
func (l *limitListener) oldestReservation(except *inboundConn) (oldest *inboundConn) {
	latest := time.Now().Add(-partialRequestGrace)
	for c := range l.open {
		if c == except || c.reserved == 0 || !c.isIncomplete() || c.requestStart.After(latest) {
			continue
		}
		if oldest == nil || c.requestStart.Before(oldest.requestStart) {
			oldest = c
		}
	}
	return oldest
}

// releaseMemory ends the use of memory by a connection's request. The caller holds the mutex.
func (c *inboundConn) releaseMemory() {
	c.requestBytes = 0
	if c.reserved > 0 {
		c.listener.reserved -= c.reserved
		c.reserved = 0
		c.listener.changed.Broadcast()
	}
}

// isIncomplete reports whether part of the connection's request is still to come. The caller holds the mutex.
func (c *inboundConn) isIncomplete() bool {
	return !c.locallyClosed && !c.evicted && (c.readingBody || c.inHead())
}

// inHead reports whether a request has begun to arrive that the server has not begun to handle. One whose head was read
// completely behind the request before is not among them, as it is handled at once. The caller holds the mutex.
func (c *inboundConn) inHead() bool {
	return !c.active && !c.requestStart.IsZero() && !c.headReadAhead
}

// evict makes an incomplete request fail: it is refused, and its connection ends. The caller holds the mutex.
func (c *inboundConn) evict(reason closeReason) {
	c.evicted = true
	c.noteCloseReason(reason)
	if !c.active {
		c.beginClose()
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // the server stops reading, and releases what it has read
}

// beginBody reserves memory for the body of the current request, and reports whether it may be read.
func (c *inboundConn) beginBody(size int64) bool {
	if c == nil {
		return true
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readingBody = true
	if c.listener.reserve(c, size) {
		return true
	}
	if !c.evicted {
		c.evict(closedForMemory)
	}
	c.readingBody = false
	return false
}

// endBody ends the reading of a body. It reports whether the request had to fail meanwhile.
func (c *inboundConn) endBody() (evicted bool) {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readingBody = false
	return c.evicted
}
