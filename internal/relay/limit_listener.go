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
	closes       closeCounts

	memoryLimit int64 // bytes that the requests of all connections may use together; 0 for no limit
	reserved    int64 // bytes that they use

	memoryWaiters int // requests that wait for memory
	windowStart   time.Time
	windowBytes   int64 // bytes that requests began to use since windowStart
	pace          sharedPace

	draining         bool      // the listener closes once its queue is empty
	acceptStarted    time.Time // start of the last Accept
	acceptTimeouts   int       // consecutive Accepts that timed out
	slowAccepts      int       // consecutive Accepts that had to wait for their connection
	listenerClosed   bool      // the listener has been closed
	responseDeadline time.Time // responses in progress may be written until then while the process stops

	changed *sync.Cond // signals that a connection was closed or is kept open
}

// newLimitListener returns a listener that limits the connections accepted by another one.
func newLimitListener(l net.Listener, limit int) *limitListener {
	p := &limitListener{Listener: l, limit: limit, configuredLimit: limit, open: map[*inboundConn]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// connCount returns the number of open connections.
func (l *limitListener) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// setLimit sets the maximum number of connections; those beyond it stay until they end.
func (l *limitListener) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.configuredLimit = limit, limit
}

// Accept makes space for the connection that it returns.
func (l *limitListener) Accept() (net.Conn, error) {
	var backoff listen.Backoff
	for {
		l.beforeAccept()
		conn, err := l.Listener.Accept()
		if l.afterAccept(err) {
			continue
		}
		if isDescriptorShortage(err) {
			l.onDescriptorShortage(err)
			continue
		}
		if listen.IsTransient(err) {
			backoff.Wait(l.Addr(), err)
			continue
		}
		if err != nil {
			return nil, err
		}
		if !l.makeSpace() { // every connection has a request in progress
			l.refuseConn(conn)
			continue
		}
		c := &inboundConn{Conn: conn, listener: l, stateSince: time.Now()}
		l.mu.Lock()
		l.open[c] = struct{}{}
		if l.limit < l.configuredLimit && time.Since(l.lastShortage) > shortageRecovery { // rises by one per connection
			l.limit++
		}
		l.mu.Unlock()
		return c, nil
	}
}

// onDescriptorShortage closes connections to free descriptors, which other parts of the relay need as much as clients
// do, since there are fewer than configured. If no connection was waiting for the remote side, the limit becomes
// shortageReduction less than the open connections, and rises again later. It pauses at the end, so that callers do not
// spin while there are no descriptors.
func (l *limitListener) onDescriptorShortage(err error) {
	if l.freeDescriptors != nil {
		l.freeDescriptors()
	}
	l.mu.Lock()
	hadLingering := l.lingering > 0
	for closed := 0; closed < shortageReduction && l.lingering > 0; closed++ {
		l.longestLingering().forceClose()
	}
	if l.lastShortage = time.Now(); !hadLingering {
		l.limit = max(1, min(l.limit, len(l.open)-shortageReduction))
		slog.Error("out of descriptors", "err", err, "connections", len(l.open), "most from now on", l.limit,
			"remedy", "allow the process as many descriptors as limits.sockets says")
	}
	l.mu.Unlock()
	l.makeSpace()
	time.Sleep(shortageRetryDelay)
}

// How a shortage of descriptors is handled.
const (
	shortageReduction  = 8                     // connections to close at a shortage
	shortageRetryDelay = 20 * time.Millisecond // pause before the next attempt
	shortageRecovery   = 10 * time.Second      // time without a shortage after which the limit rises again
)

// maxLingering returns how many connections may wait for the remote side, in addition to those that are served.
func (l *limitListener) maxLingering() int { return max(2, l.limit/8) }

// setConnState follows the server's view of a connection.
func (l *limitListener) setConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*inboundConn); ok && (state == http.StateActive || state == http.StateIdle) {
		l.mu.Lock()
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
			c.releaseMemory()
			c.countRequest()
			c.served, c.handling, c.pipelined = true, false, false
		}
		l.mu.Unlock()
	}
}
