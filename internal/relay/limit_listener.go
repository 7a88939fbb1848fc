package relay

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/listen"
)

// peers bounds how many connections come in at once. A listener that stops accepting when
// it is full leaves everyone after that unanswered, clients among them, for as long as those
// who hold the places like. This one goes on accepting and ends the connection that has
// been longest without a request: first those that never handed in a message.
//
// It alone ends connections that rest (see retire and part). net/http would close one whose next request is being read.
type limitListener struct {
	net.Listener
	settingsSnapshot func() any // of what holds for a request from its first byte on; nil for nothing
	freeDescriptors  func()     // gives back what others hold and can do without; nil for nothing

	mu              sync.Mutex
	limit           int
	configuredLimit int       // most, as long as there are descriptors
	lastShortage    time.Time // that there were not
	open            map[*inboundConn]struct{}
	lingering       int // of open: ended from this side, and waiting for the other

	forcedCloses int // no longer open, and about to be closed

	draining         bool      // the listener closes once its queue is empty
	acceptStarted    time.Time // the last try to accept began
	acceptTimeouts   int       // tries in a row that did
	slowAccepts      int       // tries in a row that had to wait for their connection
	listenerClosed   bool      // the listener has been closed
	responseDeadline time.Time // until then answers under way may go out as the process ends

	changed *sync.Cond // a connection has ended, or is to stay
}

// partialIn is how long a request that has begun, but whose head is not whole, is left alone while places are short.
const partialRequestGrace = 250 * time.Millisecond

func newLimitListener(l net.Listener, limit int) *limitListener {
	p := &limitListener{Listener: l, limit: limit, configuredLimit: limit, open: map[*inboundConn]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// count tells how many connections there are.
func (p *limitListener) connCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// allow sets how many there may be; those that are too many stay until they end.
func (p *limitListener) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.configuredLimit = limit, limit
}

// Accept makes room for the connection that it returns.
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
		if !p.makeSpace() { // every place has a request under way
			p.refuseConn(conn)
			continue
		}
		c := &inboundConn{Conn: conn, listener: p, stateSince: time.Now()}
		p.mu.Lock()
		p.open[c] = struct{}{}
		if p.limit < p.configuredLimit && time.Since(p.lastShortage) > shortageRecovery { // one more with each that fits
			p.limit++
		}
		p.mu.Unlock()
		return c, nil
	}
}

// short gives back descriptors that others need as much as clients do, for there are fewer than the settings say: for a
// while there are so many places fewer. It pauses, so that nobody spins while there are none.
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
	shortageRecovery   = 10 * time.Second // until there may be more again
)

// room makes room for one more connection, and tells whether there is.
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

// leftMost is how many connections may wait for their other side, beside those that are served.
func (p *limitListener) maxLingering() int { return max(2, p.limit/8) }

// oldest is the connection that goes for another; nil if each serves a request. The mutex is held.
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

// note follows the server's view of a connection.
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
		case c.responded: // what was read ahead shows at the next Read, and came with the last bytes
			c.requestStart, c.requestSettings = time.Time{}, c.latestSettings
		}
		if state == http.StateIdle {
			c.served, c.handling, c.pipelined = true, false, false
		}
		p.mu.Unlock()
	}
}
