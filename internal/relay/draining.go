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
func (l *limitListener) stopAccepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining || l.listenerClosed {
		return l.listenerClosed
	}
	l.draining = true
	deadlineSetter, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || deadlineSetter.SetDeadline(time.Now().Add(queueAcceptTimeout)) != nil { // in memory, or the next process has it
		l.closeListener()
	}
	return l.listenerClosed
}

// closeListener closes the listener. The caller holds the mutex.
func (l *limitListener) closeListener() {
	l.listenerClosed = true
	l.Listener.Close()
}

// beforeAccept limits the next Accept while the queue is being emptied.
func (l *limitListener) beforeAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptStarted = time.Now()
	if deadlineSetter, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && l.draining {
		deadlineSetter.SetDeadline(l.acceptStarted.Add(queueAcceptTimeout))
	}
}

// afterAccept reports whether an Accept timed out. It closes the listener after several timeouts in a row, and also
// after several Accepts in a row that had to wait for their connection, so that new connections cannot keep it open
// forever.
func (l *limitListener) afterAccept(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	timedOut := l.draining && errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case errors.Is(err, net.ErrClosed):
		l.listenerClosed = true
	case !l.draining || l.listenerClosed:
	case timedOut:
		l.acceptTimeouts++
	default:
		l.acceptTimeouts = 0
		if l.slowAccepts++; time.Since(l.acceptStarted) < slowAcceptMin {
			l.slowAccepts = 0
		}
	}
	if !l.listenerClosed && (l.acceptTimeouts >= queueEmptyTimeouts || l.slowAccepts >= maxSlowAccepts) {
		l.closeListener()
	}
	return timedOut
}

// closeIdle closes connections between requests: idle ones, except new ones within newConnGrace. With includePartial
// it also closes these, and connections that have not sent a complete request head yet. It returns how many
// connections remain, in any state.
func (l *limitListener) closeIdle(includePartial bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		isNew := !c.served && time.Since(c.stateSince) < newConnGrace
		switch {
		case c.locallyClosed || c.active:
		case c.requestStart.IsZero() && (includePartial || !isNew):
			c.requestClose(closedToStop)
		case includePartial && c.inHead():
			c.noteCloseReason(closedToStop)
			c.beginClose()
		}
	}
	l.waitFor(l.noReadInterrupted)
	return len(l.open)
}

// setResponseDeadline sets until when responses in progress may be written while the process stops.
func (l *limitListener) setResponseDeadline(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responseDeadline = deadline
}

// closeAll closes all connections, each after its response.
func (l *limitListener) closeAll(server *http.Server) {
	start := time.Now()
	for {
		listenerClosed := l.stopAccepting()
		l.closeIdle(true)
		if !l.mustWait(start, listenerClosed) {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	l.Listener.Close()
	server.Close()
}

// mustWait reports whether the process has to stay for a connection or for the listener's queue. Responses may be
// written until the response deadline; connections that wait for the remote side to close have closeAllTimeout.
func (l *limitListener) mustWait(start time.Time, listenerClosed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(start) >= closeAllTimeout && time.Now().After(l.responseDeadline) {
		return false
	}
	if !listenerClosed {
		return true
	}
	for c := range l.open {
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
