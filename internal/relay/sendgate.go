package relay

import (
	"errors"
	"sync"
	"time"
)

// errWithheld means that a request was not written because something has forbidden it since it was decided.
var errWithheld = errors.New("withheld")

// sendGate counts requests between their last check for anything that forbids them and their first write. Whoever
// forbids something then waits until the requests that may have been checked before are written, so that none begins
// afterwards without noticing.
type sendGate struct {
	mutex   sync.Mutex
	current *senders
}

// senders are the requests that entered a gate between two calls of drain.
type senders struct {
	count   int
	drained chan struct{} // closed once the count has reached zero for good
	closed  bool          // no more requests enter
}

// enter counts a request before its check.
func (g *sendGate) enter() *senders {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.current == nil {
		g.current = &senders{drained: make(chan struct{})}
	}
	g.current.count++
	return g.current
}

// leave stops counting a request that has been written or withheld.
func (g *sendGate) leave(s *senders) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s.count--
	s.signalIfDrained()
}

// drain waits, at most for the timeout, until all requests that entered before have left, and reports whether they
// have.
func (g *sendGate) drain(timeout time.Duration) bool {
	g.mutex.Lock()
	entered := g.current
	g.current = nil
	if entered != nil {
		entered.closed = true
		entered.signalIfDrained()
	}
	g.mutex.Unlock()
	if entered == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-entered.drained:
		return true
	case <-timer.C:
		return false
	}
}

// signalIfDrained ends the wait in drain if no requests are left.
func (s *senders) signalIfDrained() {
	if s.closed && s.count == 0 {
		close(s.drained)
	}
}

// beginSend allows a request to be written, or withholds it. The caller has to call finish once the first bytes have
// been written.
func (r *Relay) beginSend(c *call, messages int) (finish func(), err error) {
	entered := r.writeGate.enter()
	if reason := r.checkWithhold(c); reason != notWithheld {
		r.writeGate.leave(entered)
		r.metrics.countWithheld(reason, messages)
		return nil, errWithheld
	}
	return func() { r.writeGate.leave(entered) }, nil
}
