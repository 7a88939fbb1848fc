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
type peers struct {
	net.Listener
	snapshot func() any // of what holds for a request from its first byte on; nil for nothing
	lack     func()     // gives back what others hold and can do without; nil for nothing

	mu   sync.Mutex
	most int
	full int       // most, as long as there are descriptors
	last time.Time // that there were not
	open map[*peer]struct{}
	left int // of open: ended from this side, and waiting for the other

	hurried int // no longer open, and about to be closed

	stopping bool      // the listener closes once its queue is empty
	tried    time.Time // the last try to accept began
	ranOut   int       // tries in a row that did
	waited   int       // tries in a row that had to wait for their connection
	accepted bool      // the listener has been closed
	answerBy time.Time // until then answers under way may go out as the process ends

	changed *sync.Cond // a connection has ended, or is to stay
}

// partialIn is how long a request that has begun, but whose head is not whole, is left alone while places are short.
const partialIn = 250 * time.Millisecond

func newPeers(l net.Listener, most int) *peers {
	p := &peers{Listener: l, most: most, full: most, open: map[*peer]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// count tells how many connections there are.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// allow sets how many there may be; those that are too many stay until they end.
func (p *peers) allow(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most, p.full = most, most
}

// Accept makes room for the connection that it returns.
func (p *peers) Accept() (net.Conn, error) {
	var backoff listen.Backoff
	for {
		p.willAccept()
		conn, err := p.Listener.Accept()
		if p.foundNothing(err) {
			continue
		}
		if outOf(err) {
			p.short(err)
			continue
		}
		if listen.IsTransient(err) {
			backoff.Wait(p.Addr(), err)
			continue
		}
		if err != nil {
			return nil, err
		}
		if !p.room() { // every place has a request under way
			p.turnAway(conn)
			continue
		}
		c := &peer{Conn: conn, all: p, since: time.Now()}
		p.mu.Lock()
		p.open[c] = struct{}{}
		if p.most < p.full && time.Since(p.last) > shortFor { // one more with each that fits
			p.most++
		}
		p.mu.Unlock()
		return c, nil
	}
}

// short gives back descriptors that others need as much as clients do, for there are fewer than the settings say: for a
// while there are so many places fewer. It pauses, so that nobody spins while there are none.
func (p *peers) short(err error) {
	if p.lack != nil {
		p.lack()
	}
	p.mu.Lock()
	waited := p.left > 0
	for n := 0; n < descriptorsBack && p.left > 0; n++ {
		p.longestEnded().hurry()
	}
	if p.last = time.Now(); !waited {
		p.most = max(1, min(p.most, len(p.open)-descriptorsBack))
		slog.Error("out of descriptors", "err", err, "connections", len(p.open), "most from now on", p.most,
			"remedy", "allow the process as many descriptors as limits.sockets says")
	}
	p.mu.Unlock()
	p.room()
	time.Sleep(shortPause)
}

const (
	descriptorsBack = 8
	shortPause      = 20 * time.Millisecond
	shortFor        = 10 * time.Second // until there may be more again
)

// room makes room for one more connection, and tells whether there is.
func (p *peers) room() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.open)-p.left >= p.most {
		out := p.oldest()
		switch {
		case out == nil:
			return false
		case !out.begun.IsZero():
			out.end()
		case !p.parted(out):
			return false
		}
	}
	p.trim()
	return true
}

// leftMost is how many connections may wait for their other side, beside those that are served.
func (p *peers) leftMost() int { return max(2, p.most/8) }

// oldest is the connection that goes for another; nil if each serves a request. The mutex is held.
func (p *peers) oldest() (out *peer) {
	now := time.Now()
	rank := func(c *peer) int {
		switch partial := !c.begun.IsZero(); {
		case !c.client && (!partial || now.Sub(c.begun) > partialIn):
			return 0
		case !partial:
			return 1
		}
		return 2
	}
	for c := range p.open {
		if c.left || c.active {
			continue
		}
		if out == nil || rank(c) < rank(out) || rank(c) == rank(out) && c.since.Before(out.since) {
			out = c
		}
	}
	return out
}

// note follows the server's view of a connection.
func (p *peers) note(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*peer); ok && (state == http.StateActive || state == http.StateIdle) {
		p.mu.Lock()
		c.active = state == http.StateActive
		if !c.left {
			c.since = time.Now()
		}
		switch {
		case c.active:
			c.stay()
		case c.answered: // what was read ahead shows at the next Read, and came with the last bytes
			c.begun, c.terms = time.Time{}, c.latest
		}
		if state == http.StateIdle {
			c.served, c.entered, c.behind = true, false, false
		}
		p.mu.Unlock()
	}
}
