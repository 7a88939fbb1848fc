package relay

import "time"

// The pace of requests on a connection. A client that writes requests without waiting for answers would keep the
// processor busy: its connection always has input, so that the others are only looked at when its time slice ends.

const (
	paceWindow = 50 * time.Millisecond
	// maxPacedRequests is how many requests all connections together may start in a window, beyond the
	// minConnRequests of each.
	maxPacedRequests = 200
	minConnRequests  = 2
	maxConnRequests  = 20
)

// requestPace counts the requests that a connection starts in a window of time.
type requestPace struct {
	windowStart time.Time
	requests    int
}

// sharedPace counts the connections that start requests in a window of time.
type sharedPace struct {
	windowStart             time.Time
	connections, lastWindow int // in the current window and in the one before
}

// count counts a connection that starts its first request in a window.
func (s *sharedPace) count(now time.Time) {
	switch elapsed := now.Sub(s.windowStart); {
	case elapsed >= 2*paceWindow:
		s.windowStart, s.connections, s.lastWindow = now, 0, 0
	case elapsed >= paceWindow:
		s.windowStart, s.connections, s.lastWindow = now, 0, s.connections
	}
	s.connections++
}

// connRequests returns how many requests one connection may start in a window.
func (s *sharedPace) connRequests() int {
	busy := max(1, s.connections, s.lastWindow)
	return min(max(minConnRequests, maxPacedRequests/busy), maxConnRequests)
}

// start counts a request, and returns how long the next one of the connection has to wait.
func (p *requestPace) start(now time.Time, shared *sharedPace) time.Duration {
	if now.Sub(p.windowStart) >= paceWindow {
		p.windowStart, p.requests = now, 0
		shared.count(now)
	}
	p.requests++
	if p.requests <= shared.connRequests() {
		return 0
	}
	return p.windowStart.Add(paceWindow).Sub(now)
}

// countRequest counts a request that was answered. The caller holds the mutex.
func (c *inboundConn) countRequest() {
	now := time.Now()
	c.nextRequestAt = now.Add(c.pace.start(now, &c.listener.pace))
}

// awaitTurn waits until the connection may start its next request. It is called by the goroutine that reads.
func (c *inboundConn) awaitTurn() {
	c.listener.mu.Lock()
	wait := time.Duration(0)
	if !c.active && !c.locallyClosed {
		wait = time.Until(c.nextRequestAt)
	}
	c.listener.mu.Unlock()
	time.Sleep(wait)
}
