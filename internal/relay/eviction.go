package relay

import "time"

// Which connections close when there are as many as the limit allows, and how a new one gets its space.

// partialRequestGrace is how long an incomplete request is protected while connections are at the limit.
const partialRequestGrace = 250 * time.Millisecond

// newRequestGrace is how long a connection without a request is protected: new ones mostly bring a request with them.
const newRequestGrace = 5 * time.Millisecond

// evictionBatch is how many connections without a request are closed at a time.
const evictionBatch = 8

// makeSpace makes space for one more connection, and reports whether there is space.
func (l *limitListener) makeSpace() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.open)-l.lingering >= l.limit {
		candidate := l.evictionCandidate()
		switch {
		case candidate == nil:
			return false
		case candidate.readingBody:
			candidate.evict(closedForSpace)
			if !l.waitFor(func() bool { return candidate.locallyClosed || candidate.closed }) {
				return false
			}
		case !candidate.requestStart.IsZero():
			candidate.evict(closedForSpace)
		case !l.closedOrKept(candidate):
			return false
		}
	}
	l.limitLingering()
	return true
}

// evictionCandidate returns the connection to close for a new one, or nil if there is none. The caller holds the mutex.
func (l *limitListener) evictionCandidate() (candidate *inboundConn) {
	now := time.Now()
	for c := range l.open {
		if !c.mayBeEvicted(now) {
			continue
		}
		if candidate == nil || c.evictionRank(now) < candidate.evictionRank(now) ||
			c.evictionRank(now) == candidate.evictionRank(now) && c.stateSince.Before(candidate.stateSince) {
			candidate = c
		}
	}
	return candidate
}

// mayBeEvicted reports whether a connection may be closed for another one: not while it serves a request, unless that
// waits for its body for long. The caller holds the mutex.
func (c *inboundConn) mayBeEvicted(now time.Time) bool {
	if c.locallyClosed || c.evicted {
		return false
	}
	if c.readingBody {
		return now.Sub(c.requestStart) > partialRequestGrace
	}
	return !c.active && (c.requestStart.IsZero() || c.inHead())
}

// evictionRank orders connections that may be evicted, those to close first with the lowest rank. The request of a new
// connection may be on its way. The caller holds the mutex.
func (c *inboundConn) evictionRank(now time.Time) int {
	partial := !c.requestStart.IsZero()
	switch {
	case !c.submittedMessage && c.quietFor(now) > partialRequestGrace:
		return 0
	case !partial && !c.submittedMessage && c.quietFor(now) > newRequestGrace:
		return 1
	case !partial && c.submittedMessage:
		return 2
	}
	return 3
}

// quietFor returns how long an incomplete request has lasted, or a connection has been without one. The caller holds the
// mutex.
func (c *inboundConn) quietFor(now time.Time) time.Duration {
	if !c.requestStart.IsZero() {
		return now.Sub(c.requestStart)
	}
	return now.Sub(c.stateSince)
}

// requestCloseOfQuiet requests the close of a connection, and of others that have been without a request for longer than
// the grace: closing one takes time, and a crowd needs space for more than one. The caller holds the mutex.
func (l *limitListener) requestCloseOfQuiet(first *inboundConn) {
	first.requestClose(closedForSpace)
	now, requested := time.Now(), 1
	for c := range l.open {
		if requested >= evictionBatch {
			return
		}
		if c.requestStart.IsZero() && !c.closeRequested && c.mayBeEvicted(now) && c.evictionRank(now) == 0 {
			c.requestClose(closedForSpace)
			requested++
		}
	}
}
