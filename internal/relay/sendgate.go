package relay

import (
	"errors"
	"sync"
	"time"
)

// errWithheld is why a request was not written: something forbids it since it was decided.
var errWithheld = errors.New("withheld")

// sendGate counts requests between the last look at what may forbid them and their first write. Whoever forbids something waits
// until those that may have looked before have been written, so that nothing begins behind its back.
type sendGate struct {
	mutex   sync.Mutex
	current *senders
}

// senders are the requests that entered a gate between two settlements.
type senders struct {
	count   int
	settled chan struct{} // closed once the count is zero for good
	closed  bool          // nobody enters any more
}

// enter counts a request in, before it looks.
func (g *sendGate) enter() *senders {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.current == nil {
		g.current = &senders{settled: make(chan struct{})}
	}
	g.current.count++
	return g.current
}

// leave counts a request out, once it has been written or withheld.
func (g *sendGate) leave(s *senders) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s.count--
	s.settleIfEmpty()
}

// settle waits until all that entered before have left, for so long at the most, and tells whether they have.
func (g *sendGate) settle(most time.Duration) bool {
	g.mutex.Lock()
	before := g.current
	g.current = nil
	if before != nil {
		before.closed = true
		before.settleIfEmpty()
	}
	g.mutex.Unlock()
	if before == nil {
		return true
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-before.settled:
		return true
	case <-timer.C:
		return false
	}
}

// settleIfEmpty ends the wait of whoever settles, if nobody is left to wait for.
func (s *senders) settleIfEmpty() {
	if s.closed && s.count == 0 {
		close(s.settled)
	}
}

// admit lets a request begin, or withholds it; leave is to be called once its first bytes have been written.
func (r *Relay) admit(c *call, messages int) (leave func(), err error) {
	entered := r.writeGate.enter()
	if reason := r.withhold(c); reason != notWithheld {
		r.writeGate.leave(entered)
		r.figures.withheld(reason, messages)
		return nil, errWithheld
	}
	return func() { r.writeGate.leave(entered) }, nil
}
