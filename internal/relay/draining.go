package relay

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// How the connections of clients end with the process: the listener closes once its queue is empty, connections that rest
// end, and what was read is answered.

const (
	// queueTick bounds a try to accept while the queue is emptied.
	queueTick = 20 * time.Millisecond
	// queueTicks is how many tries in a row have to run out: one may have done so before it asked the system, in a process
	// that got no core.
	queueTicks = 3
	// queueWait is how long a try takes at least for a connection that was not in the queue before it, and queueWaits how
	// many tries in a row have to take so long: with no core, one may do so over a queue that is not empty.
	queueWait  = 5 * time.Millisecond
	queueWaits = 10
	// freshPeer is how long a connection that has just come may be without a request: clients wait 400 ms for their answer.
	freshPeer = 400 * time.Millisecond
	// emptyIn is how long connections may take to end once nothing more is decided.
	emptyIn = 250 * time.Millisecond
)

// stopAccepting has the listener close once nobody waits in its queue, and tells whether it has. What is closed over a queue
// resets the connections there, with the requests that they may hold.
func (p *peers) stopAccepting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping || p.accepted {
		return p.accepted
	}
	p.stopping = true
	l, ok := p.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || l.SetDeadline(time.Now().Add(queueTick)) != nil { // in memory; or the next process has it
		p.closeListener()
	}
	return p.accepted
}

// closeListener closes the listener. The mutex is held.
func (p *peers) closeListener() {
	p.accepted = true
	p.Listener.Close()
}

// willAccept bounds the next try to accept while the queue is emptied.
func (p *peers) willAccept() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tried = time.Now()
	if l, ok := p.Listener.(interface{ SetDeadline(time.Time) error }); ok && p.stopping {
		l.SetDeadline(p.tried.Add(queueTick))
	}
}

// foundNothing tells whether a try to accept ran out. After some in a row the listener is closed; those count, too, that had
// to wait for their connection, so that new ones do not go on for ever.
func (p *peers) foundNothing(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ranOut := p.stopping && errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case errors.Is(err, net.ErrClosed):
		p.accepted = true
	case !p.stopping || p.accepted:
	case ranOut:
		p.ranOut++
	default:
		p.ranOut = 0
		if p.waited++; time.Since(p.tried) < queueWait {
			p.waited = 0
		}
	}
	if !p.accepted && (p.ranOut >= queueTicks || p.waited >= queueWaits) {
		p.closeListener()
	}
	return ranOut
}

// retire ends connections between requests: those that rest, and with all those that have not sent a whole head yet. It
// tells how many connections are left, whatever their state.
func (p *peers) retire(all bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		fresh := !c.served && time.Since(c.since) < freshPeer
		switch {
		case c.left || c.active:
		case c.begun.IsZero() && (all || !fresh):
			c.part()
		case all:
			c.end()
		}
	}
	p.await(p.noneWoken)
	return len(p.open)
}

// answerUntil sets until when answers under way may go out as the process ends.
func (p *peers) answerUntil(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerBy = t
}

// empty ends all connections, each after its answer.
func (p *peers) empty(s *http.Server) {
	begin := time.Now()
	for {
		accepted := p.stopAccepting()
		p.retire(true)
		if !p.awaited(begin, accepted) {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	p.Listener.Close()
	s.Close()
}

// awaited tells whether the process stays for a connection, or for the listener's queue: answers go out as long as the stop
// lasts; what waits for its other side has emptyIn.
func (p *peers) awaited(begin time.Time, accepted bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(begin) >= emptyIn && time.Now().After(p.answerBy) {
		return false
	}
	if !accepted {
		return true
	}
	for c := range p.open {
		if !c.left || c.refusing() || time.Since(c.since) < emptyIn {
			return true
		}
	}
	return false
}

// refusing tells whether a refusal is on its way. The mutex is held.
func (c *peer) refusing() bool {
	if c.refused == nil || c.begun.IsZero() {
		return false
	}
	select {
	case <-c.refused:
		return false
	default:
		return true
	}
}
