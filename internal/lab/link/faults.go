package link

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are the faults of one direction of a link. The zero value has none.
type Faults struct {
	Cut             bool          // nothing is delivered; sent bytes are kept until the fault ends, as TCP would retransmit them
	Refused         bool          // new connections are refused
	Reset           bool          // each connection is reset after ResetAfterBytes
	ResetAfterBytes int64         // bytes that are delivered from the start of the fault until the reset
	Delay           time.Duration // delay of everything that is sent
	Jitter          time.Duration // upper bound of a random addition to Delay
	BytesPerSecond  int64         // 0 for no limit
	LossShare       float64       // probability that a chunk or datagram is lost; a connection is reset by the loss
	RetransmitShare float64       // probability that TCP has to retransmit a chunk
	RetransmitDelay time.Duration // by how much a retransmitted chunk, and everything after it, is delayed
	HalfOpen        bool          // the end of a connection is not delivered
	CloseDelay      time.Duration // additional delay of the end of a connection
	// SilentBefore silences the connections that were established before this time: they stay open and deliver nothing.
	// Later connections are not affected.
	SilentBefore time.Time
}

// combine returns the faults that result if both f and g are active. f may be nil.
func (f *Faults) combine(g *Faults) *Faults {
	if f == nil {
		return g
	}
	both := Faults{Cut: f.Cut || g.Cut, Refused: f.Refused || g.Refused, Reset: f.Reset || g.Reset, ResetAfterBytes: f.ResetAfterBytes + g.ResetAfterBytes,
		Delay: max(f.Delay, g.Delay), Jitter: max(f.Jitter, g.Jitter), BytesPerSecond: min(f.BytesPerSecond, g.BytesPerSecond), LossShare: max(f.LossShare, g.LossShare),
		RetransmitShare: max(f.RetransmitShare, g.RetransmitShare), RetransmitDelay: max(f.RetransmitDelay, g.RetransmitDelay), HalfOpen: f.HalfOpen || g.HalfOpen, CloseDelay: max(f.CloseDelay, g.CloseDelay),
		SilentBefore: f.SilentBefore}
	if both.SilentBefore.Before(g.SilentBefore) {
		both.SilentBefore = g.SilentBefore
	}
	if f.BytesPerSecond == 0 || g.BytesPerSecond == 0 {
		both.BytesPerSecond = max(f.BytesPerSecond, g.BytesPerSecond)
	}
	if f.Reset && g.Reset {
		both.ResetAfterBytes = min(f.ResetAfterBytes, g.ResetAfterBytes)
	}
	return &both
}

// direction is one direction of a link.
type direction struct {
	faults atomic.Pointer[Faults]
	mu     sync.Mutex
	queues map[*queue]struct{}
}

func (d *direction) current() *Faults {
	if f := d.faults.Load(); f != nil {
		return f
	}
	return &noFaults
}

var noFaults Faults

func (d *direction) add(q *queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queues[q] = struct{}{}
}

func (d *direction) remove(q *queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.queues, q)
}

func (d *direction) set(f *Faults) {
	d.faults.Store(f)
	d.mu.Lock()
	all := slices.Collect(maps.Keys(d.queues))
	d.mu.Unlock()
	for _, q := range all {
		q.notify()
	}
}

// Set sets the unnamed faults of both directions of a link; nil removes those of a direction. Faults set with SetNamed stay.
func (l *Link) Set(forward, reverse *Faults) { l.SetNamed("", forward, reverse) }

// SetNamed sets the faults of a name on both directions of a link, beside those of other names; nil for both removes the name.
// Faults that are active at the same time are combined: the longer delay and the smaller rate apply.
func (l *Link) SetNamed(name string, forward, reverse *Faults) {
	l.mu.Lock()
	if l.faults == nil {
		l.faults = map[string][2]*Faults{}
	}
	l.faults[name] = [2]*Faults{forward, reverse}
	if forward == nil && reverse == nil {
		delete(l.faults, name)
	}
	var combined [2]*Faults
	for i := range combined {
		for _, f := range l.faults {
			if f[i] != nil {
				combined[i] = combined[i].combine(f[i])
			}
		}
	}
	l.mu.Unlock()
	l.forward.set(combined[0])
	l.reverse.set(combined[1])
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.addr == nil || l.closed:
	case l.forward.current().Refused:
		l.listener.Close()
		l.listenerClosed = true
	case l.listenerClosed:
		l.listenerClosed = false
		listener, err := net.ListenTCP("tcp4", l.addr)
		if err != nil { // another program took the port: the party at the other end stays unreachable
			l.listenerClosed = true
			return
		}
		l.listener = listener
		go l.accept(listener)
		if l.cut() {
			l.fillBacklog()
		}
	case l.cut():
		l.fillBacklog()
	default:
		setBacklog(l.listener, listenBacklog)
		l.repaired.Broadcast()
	}
}

// fillBacklog makes the kernel drop connection requests, as if the machine did not exist: it fills the listener's backlog with
// connections, and accept takes no more. An Accept call that already waits removes one of them. The caller holds the lock.
func (l *Link) fillBacklog() {
	setBacklog(l.listener, 0)
	l.fillers = map[string]bool{}
	for range maxFillers {
		filler, err := net.DialTimeout("tcp4", l.addr.String(), fillerDialTimeout)
		if err == nil {
			l.fillers[filler.LocalAddr().String()] = true
			defer filler.Close() // it still occupies its place in the backlog
		} else if l.acceptPaused {
			return
		}
		if !l.acceptPaused {
			l.mu.Unlock()
			time.Sleep(time.Millisecond)
			l.mu.Lock()
		}
		if !l.cut() || l.closed {
			return
		}
	}
}

const (
	listenBacklog     = 4096
	maxFillers        = 100
	fillerDialTimeout = 10 * time.Millisecond
)
