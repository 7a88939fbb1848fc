package relay

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/listen"
)

// limitListener limits how many connections are open at once. A listener that stops accepting when it is full would
// leave all later connections unanswered, clients among them, for as long as the open ones last. This one continues
// to accept, and closes the connection that has gone longest without a request, first those that never submitted a
// message.
//
// Only the limitListener closes idle connections (see closeIdle and requestClose); net/http would also close one
// whose next request is being read.
type limitListener struct {
	net.Listener
	settingsSnapshot func() any // settings for a request whose first byte arrives now; nil if there are none
	freeDescriptors  func()     // closes connections elsewhere that can be spared; nil if there are none

	mu              sync.Mutex
	limit           int
	configuredLimit int       // value of limit without a shortage of descriptors
	lastShortage    time.Time // time of the last shortage of descriptors
	open            map[*inboundConn]struct{}
	lingering       int // number of open connections closed by this side, waiting for the remote side

	forcedCloses int // connections no longer in open that are about to be closed

	draining         bool      // the listener closes once its queue is empty
	acceptStarted    time.Time // start of the last Accept
	acceptTimeouts   int       // consecutive Accepts that timed out
	slowAccepts      int       // consecutive Accepts that had to wait for their connection
	listenerClosed   bool      // the listener has been closed
	responseDeadline time.Time // responses in progress may be written until then while the process stops

	changed *sync.Cond // signals that a connection was closed or is kept open
}

// partialRequestGrace is how long a request whose head is incomplete is protected while connections are at the limit.
const partialRequestGrace = 250 * time.Millisecond

func newLimitListener(l net.Listener, limit int) *limitListener {
	p := &limitListener{Listener: l, limit: limit, configuredLimit: limit, open: map[*inboundConn]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// connCount returns the number of open connections.
func (p *limitListener) connCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// setLimit sets the maximum number of connections; those beyond it stay until they end.
func (p *limitListener) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.configuredLimit = limit, limit
}

// Accept makes space for the connection that it returns.
func (p *limitListener) Accept() (net.Conn, error) {
	var backoff listen.Backoff
	for {
		p.beforeAccept()
		conn, err := p.Listener.Accept()
		if p.afterAccept(err) {
			continue
		}
		if isDescriptorShortage(err) {
			p.onDescriptorShortage(err)
			continue
		}
		if listen.Passes(err) {
			backoff.Wait(p.Addr(), err)
			continue
		}
		if err != nil {
			return nil, err
		}
		if !p.makeSpace() { // every connection has a request in progress
			p.refuseConn(conn)
			continue
		}
		c := &inboundConn{Conn: conn, listener: p, stateSince: time.Now()}
		p.mu.Lock()
		p.open[c] = struct{}{}
		if p.limit < p.configuredLimit && time.Since(p.lastShortage) > shortageRecovery { // raise the limit by one with each connection that fits
			p.limit++
		}
		p.mu.Unlock()
		return c, nil
	}
}

// onDescriptorShortage closes connections to free descriptors, which other parts of the relay need as much as clients
// do, since there are fewer than configured. The limit stays lower by shortageReduction for a while. It pauses at the
// end, so that callers do not spin while there are no descriptors.
func (p *limitListener) onDescriptorShortage(err error) {
	if p.freeDescriptors != nil {
		p.freeDescriptors()
	}
	p.mu.Lock()
	hadLingering := p.lingering > 0
	for n := 0; n < shortageReduction && p.lingering > 0; n++ {
		p.longestLingering().forceClose()
	}
	if p.lastShortage = time.Now(); !hadLingering {
		p.limit = max(1, min(p.limit, len(p.open)-shortageReduction))
		slog.Error("out of descriptors", "err", err, "connections", len(p.open), "most from now on", p.limit,
			"remedy", "allow the process as many descriptors as limits.sockets says")
	}
	p.mu.Unlock()
	p.makeSpace()
	time.Sleep(shortageRetryDelay)
}

const (
	shortageReduction  = 8
	shortageRetryDelay = 20 * time.Millisecond
	shortageRecovery   = 10 * time.Second // time without a shortage after which the limit rises again
)

// makeSpace makes space for one more connection, and reports whether there is space.
func (p *limitListener) makeSpace() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.open)-p.lingering >= p.limit {
		victim := p.evictionCandidate()
		switch {
		case victim == nil:
			return false
		case !victim.requestStart.IsZero():
			victim.beginClose()
		case !p.closedOrKept(victim):
			return false
		}
	}
	p.limitLingering()
	return true
}

// maxLingering returns how many connections may wait for the remote side, in addition to those that are served.
func (p *limitListener) maxLingering() int { return max(2, p.limit/8) }

// evictionCandidate returns the connection to close for a new one, or nil if each serves a request. The caller holds
// the mutex.
func (p *limitListener) evictionCandidate() (candidate *inboundConn) {
	now := time.Now()
	rank := func(c *inboundConn) int {
		switch partial := !c.requestStart.IsZero(); {
		case !c.submittedMessage && (!partial || now.Sub(c.requestStart) > partialRequestGrace):
			return 0
		case !partial:
			return 1
		}
		return 2
	}
	for c := range p.open {
		if c.locallyClosed || c.active {
			continue
		}
		if candidate == nil || rank(c) < rank(candidate) || rank(c) == rank(candidate) && c.stateSince.Before(candidate.stateSince) {
			candidate = c
		}
	}
	return candidate
}

// setConnState follows the server's view of a connection.
func (p *limitListener) setConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*inboundConn); ok && (state == http.StateActive || state == http.StateIdle) {
		p.mu.Lock()
		c.active = state == http.StateActive
		if !c.locallyClosed {
			c.stateSince = time.Now()
		}
		switch {
		case c.active:
			c.keepOpen()
		case c.responded: // input that was read ahead shows at the next Read, and arrived with the last bytes
			c.requestStart, c.requestSettings = time.Time{}, c.latestSettings
		}
		if state == http.StateIdle {
			c.served, c.handling, c.pipelined = true, false, false
		}
		p.mu.Unlock()
	}
}
