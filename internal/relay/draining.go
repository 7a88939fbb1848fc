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
	queueAcceptTimeout = 20 * time.Millisecond
	// queueTicks is how many tries in a row have to run out: one may have done so before it asked the system, in a process
	// that got no core.
	queueEmptyTimeouts = 3
	// queueWait is how long a try takes at least for a connection that was not in the queue before it, and queueWaits how
	// many tries in a row have to take so long: with no core, one may do so over a queue that is not empty.
	slowAcceptMin  = 5 * time.Millisecond
	maxSlowAccepts = 10
	// freshPeer is how long a connection that has just come may be without a request: clients wait 400 ms for their answer.
	newConnGrace = 400 * time.Millisecond
	// emptyIn is how long connections may take to end once nothing more is decided.
	closeAllTimeout = 250 * time.Millisecond
)

// stopAccepting has the listener close once nobody waits in its queue, and tells whether it has. What is closed over a queue
// resets the connections there, with the requests that they may hold.
func (p *limitListener) stopAccepting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining || p.listenerClosed {
		return p.listenerClosed
	}
	p.draining = true
	l, ok := p.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || l.SetDeadline(time.Now().Add(queueAcceptTimeout)) != nil { // in memory; or the next process has it
		p.closeListener()
	}
	return p.listenerClosed
}

// closeListener closes the listener. The mutex is held.
func (p *limitListener) closeListener() {
	p.listenerClosed = true
	p.Listener.Close()
}

// willAccept bounds the next try to accept while the queue is emptied.
func (p *limitListener) beforeAccept() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptStarted = time.Now()
	if l, ok := p.Listener.(interface{ SetDeadline(time.Time) error }); ok && p.draining {
		l.SetDeadline(p.acceptStarted.Add(queueAcceptTimeout))
	}
}

// foundNothing tells whether a try to accept ran out. After some in a row the listener is closed; those count, too, that had
// to wait for their connection, so that new ones do not go on for ever.
func (p *limitListener) afterAccept(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	timedOut := p.draining && errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case errors.Is(err, net.ErrClosed):
		p.listenerClosed = true
	case !p.draining || p.listenerClosed:
	case timedOut:
		p.acceptTimeouts++
	default:
		p.acceptTimeouts = 0
		if p.slowAccepts++; time.Since(p.acceptStarted) < slowAcceptMin {
			p.slowAccepts = 0
		}
	}
	if !p.listenerClosed && (p.acceptTimeouts >= queueEmptyTimeouts || p.slowAccepts >= maxSlowAccepts) {
		p.closeListener()
	}
	return timedOut
}

// retire ends connections between requests: those that rest, and with all those that have not sent a whole head yet. It
// tells how many connections are left, whatever their state.
func (p *limitListener) closeIdle(includePartial bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		isNew := !c.served && time.Since(c.stateSince) < newConnGrace
		switch {
		case c.locallyClosed || c.active:
		case c.requestStart.IsZero() && (includePartial || !isNew):
			c.requestClose()
		case includePartial:
			c.beginClose()
		}
	}
	p.waitFor(p.noReadInterrupted)
	return len(p.open)
}

// answerUntil sets until when answers under way may go out as the process ends.
func (p *limitListener) setResponseDeadline(deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseDeadline = deadline
}

// empty ends all connections, each after its answer.
func (p *limitListener) closeAll(server *http.Server) {
	start := time.Now()
	for {
		listenerClosed := p.stopAccepting()
		p.closeIdle(true)
		if !p.mustWait(start, listenerClosed) {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	p.Listener.Close()
	server.Close()
}

// awaited tells whether the process stays for a connection, or for the listener's queue: answers go out as long as the stop
// lasts; what waits for its other side has emptyIn.
func (p *limitListener) mustWait(start time.Time, listenerClosed bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(start) >= closeAllTimeout && time.Now().After(p.responseDeadline) {
		return false
	}
	if !listenerClosed {
		return true
	}
	for c := range p.open {
		if !c.locallyClosed || c.refusalInProgress() || time.Since(c.stateSince) < closeAllTimeout {
			return true
		}
	}
	return false
}

// refusing tells whether a refusal is on its way. The mutex is held.
func (c *inboundConn) refusalInProgress() bool {
	if c.refusalDone == nil || c.requestStart.IsZero() {
		return false
	}
	select {
	case <-c.refusalDone:
		return false
	default:
		return true
	}
}
