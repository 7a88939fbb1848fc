package relay

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// How client connections end when the process stops: the listener closes once its accept queue is empty, idle
// connections are closed, and requests that were read are answered.

const (
	// queueAcceptTimeout limits one Accept while the queue is being emptied.
	queueAcceptTimeout = 20 * time.Millisecond
	// queueEmptyTimeouts is how many consecutive Accepts have to time out before the queue counts as empty. One may
	// time out before it asked the system, in a process that was not scheduled.
	queueEmptyTimeouts = 3
	// slowAcceptMin is the minimum duration of an Accept that had to wait for a connection, because there was none in
	// the queue, and maxSlowAccepts is how many consecutive Accepts have to take that long. In a process that is not
	// scheduled, a single one may do so although the queue is not empty.
	slowAcceptMin  = 5 * time.Millisecond
	maxSlowAccepts = 10
	// newConnGrace is how long a new connection may remain without a request: clients wait 400 ms for their answer.
	newConnGrace = 400 * time.Millisecond
	// closeAllTimeout is how long connections may take to end once no more decisions are made.
	closeAllTimeout = 250 * time.Millisecond
)

// stopAccepting makes the listener close once its queue is empty, and reports whether it is closed. Closing it
// earlier would reset the connections in the queue, together with the requests that they may hold.
func (p *limitListener) stopAccepting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining || p.listenerClosed {
		return p.listenerClosed
	}
	p.draining = true
	l, ok := p.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || l.SetDeadline(time.Now().Add(queueAcceptTimeout)) != nil { // in memory, or the next process has it
		p.closeListener()
	}
	return p.listenerClosed
}

// closeListener closes the listener. The caller holds the mutex.
func (p *limitListener) closeListener() {
	p.listenerClosed = true
	p.Listener.Close()
}

// beforeAccept limits the next Accept while the queue is being emptied.
func (p *limitListener) beforeAccept() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptStarted = time.Now()
	if l, ok := p.Listener.(interface{ SetDeadline(time.Time) error }); ok && p.draining {
		l.SetDeadline(p.acceptStarted.Add(queueAcceptTimeout))
	}
}

// afterAccept reports whether an Accept timed out. It closes the listener after several timeouts in a row, and also
// after several Accepts in a row that had to wait for their connection, so that new connections cannot keep it open
// forever.
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

// closeIdle closes connections between requests: idle ones, and with includePartial also those that have not sent a
// complete request head yet. It returns how many connections remain, in any state.
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

// setResponseDeadline sets until when responses in progress may be written while the process stops.
func (p *limitListener) setResponseDeadline(deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseDeadline = deadline
}

// closeAll closes all connections, each after its response.
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

// mustWait reports whether the process has to stay for a connection or for the listener's queue. Responses may be
// written until the response deadline; connections that wait for the remote side to close have closeAllTimeout.
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

// refusalInProgress reports whether a refusal is being written. The caller holds the mutex.
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
